// SPDX-License-Identifier: BSD-2-Clause
// Runs all registered tests, or those whose name contains the first argument, and prints the real counts.
#include "libraries/net/fiber_scheduler.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

namespace {

void run_matching(CppUnit::Test& test, std::string const& wanted, CppUnit::TestResult& result)
{
    if (test.getChildTestCount() == 0) {
        if (test.getName().find(wanted) != std::string::npos)
            test.run(&result);
        return;
    }
    for (int index = 0; index < test.getChildTestCount(); ++index)
        run_matching(*test.getChildTestAt(index), wanted, result);
}

} // namespace

int main(int count, char** arguments)
{
    shedhill::net::process_io();
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collected;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collected);
    result.addListener(&progress);
    auto* const tests = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    run_matching(*tests, count > 1 ? arguments[1] : "", result);
    CppUnit::CompilerOutputter(&collected, std::cerr).write();
    auto const failed = collected.testFailuresTotal();
    std::cout << collected.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    std::_Exit(failed == 0 && collected.runTests() > 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
