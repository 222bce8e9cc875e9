# Uses ccache where it is installed.
find_program(JUJUBEHEAD_CCACHE ccache)
if(JUJUBEHEAD_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${JUJUBEHEAD_CCACHE}")
endif()
