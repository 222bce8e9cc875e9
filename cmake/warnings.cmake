# Strict warnings, as errors.
add_library(jujubehead_warnings INTERFACE)
target_compile_options(jujubehead_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wnon-virtual-dtor
  -Wold-style-cast -Woverloaded-virtual -Werror
  # Wrong about the coroutine frames of Asio's awaitable in g++ 12.
  -Wno-mismatched-new-delete)
