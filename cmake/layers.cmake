# A layer is a library that links only the layers below it.

# jujubehead_layer(<name> BELOW <libraries> SOURCES <files>)
function(jujubehead_layer aName)
  cmake_parse_arguments(LAYER "" "" "BELOW;SOURCES" ${ARGN})
  add_library(jujubehead_${aName} STATIC ${LAYER_SOURCES})
  target_include_directories(jujubehead_${aName}
    PUBLIC "${PROJECT_SOURCE_DIR}/include"
    PRIVATE "${PROJECT_SOURCE_DIR}/src")
  target_link_libraries(jujubehead_${aName}
    PUBLIC ${LAYER_BELOW}
    PRIVATE jujubehead_warnings)
endfunction()

# jujubehead_test(<name> LINK <libraries> SOURCES <x_test.cpp files>)
function(jujubehead_test aName)
  if(NOT JUJUBEHEAD_TESTS)
    return()
  endif()
  cmake_parse_arguments(TEST "" "" "LINK;SOURCES" ${ARGN})
  add_executable(${aName} ${TEST_SOURCES} "${PROJECT_SOURCE_DIR}/src/jujubehead/test_main.cpp")
  target_include_directories(${aName} PRIVATE "${PROJECT_SOURCE_DIR}/src" "${PROJECT_SOURCE_DIR}")
  target_link_libraries(${aName} PRIVATE ${TEST_LINK} PkgConfig::CPPUTEST rapidcheck jujubehead_warnings)
  # CppUTest's macro over operator new breaks the standard headers that follow
  # it; the address sanitizer looks for leaks instead.
  target_compile_definitions(${aName} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  add_test(NAME ${aName} COMMAND ${aName})
  set_tests_properties(${aName} PROPERTIES
    TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261202")
endfunction()
