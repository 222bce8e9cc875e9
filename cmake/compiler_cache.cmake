# Uses ccache where it is installed. Objects are found again from any checkout:
# paths count relative to the source directory, and the build directory not at
# all.
find_program(JUJUBEHEAD_CCACHE ccache)
if(JUJUBEHEAD_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER
    "${CMAKE_COMMAND}" -E env
    "CCACHE_BASEDIR=${PROJECT_SOURCE_DIR}"
    CCACHE_NOHASHDIR=1
    CCACHE_MAXSIZE=10G # Bears the plain and both sanitizer builds.
    "${JUJUBEHEAD_CCACHE}")
endif()
