// Runs all registered test fixtures, or those named on the command line.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>

#include <cstdlib>
#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    // RapidCheck properties run with a fixed seed unless the environment sets another one.
    setenv("RC_PARAMS", "seed=1", 0);

    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        for (int i = 1; i < argc; ++i)
            runner.run(result, argv[i]);
        if (argc == 1)
            runner.run(result);
    } catch (const std::exception& error) {
        std::cerr << "unknown test: " << error.what() << '\n';
        return 2;
    }

    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int passed = collector.runTests() - collector.testFailuresTotal();
    std::cout << passed << " passed, " << collector.testFailuresTotal() << " failed\n";
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
