# One sanitizer build at a time, chosen by JUJUBEHEAD_SANITIZER.
#
# Coroutines over Beast take this compiler minutes a file with a sanitizer at
# -O2 -g; lighter settings find the same faults.
if(JUJUBEHEAD_SANITIZER)
  set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")
endif()
if(JUJUBEHEAD_SANITIZER STREQUAL "address")
  # With instrumented code the compiler takes Asio's own pair of allocation
  # functions for coroutine frames for a mismatch.
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer
    -fno-sanitize-recover=all -Wno-mismatched-new-delete)
  add_link_options(-fsanitize=address,undefined)
elseif(JUJUBEHEAD_SANITIZER STREQUAL "thread")
  # Asio uses std::atomic_thread_fence, which the thread sanitizer of this
  # compiler does not model and warns of. In instrumented code its flow analysis
  # takes empty optional values of coroutines for uninitialized ones.
  add_compile_options(-fsanitize=thread -fno-omit-frame-pointer -Wno-tsan
    -Wno-maybe-uninitialized)
  add_link_options(-fsanitize=thread)
elseif(NOT JUJUBEHEAD_SANITIZER STREQUAL "")
  message(FATAL_ERROR "JUJUBEHEAD_SANITIZER: unknown '${JUJUBEHEAD_SANITIZER}'")
endif()
