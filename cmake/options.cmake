# What a builder may choose.
option(JUJUBEHEAD_TESTS "Build the tests" ON)
set(JUJUBEHEAD_SANITIZER "" CACHE STRING "Empty, 'address' (with undefined) or 'thread'")

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
