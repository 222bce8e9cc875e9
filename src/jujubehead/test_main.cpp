#include <CppUTest/CommandLineTestRunner.h> // for RunAllTests

int
main(int argc, char** argv)
{
  // Libraries allocate once and keep; CppUTest would count that as a leak. The
  // address sanitizer build looks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
