// SPDX-License-Identifier: BSD-2-Clause
// Runs all registered tests, or those whose name contains the first argument, and prints the numbers of passed and
// failed tests.
#include "libraries/net/fiber_scheduler.h"

#include <algorithm>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

// Returns the test names at the start of the lines of KNOWN-RED.txt, which lists tests that fail for a known fault that
// is not yet fixed.
std::vector<std::string> read_known_failures()
{
    std::vector<std::string> names;
    std::ifstream file(std::string(SHEDHILL_SOURCE_DIR) + "/KNOWN-RED.txt");
    std::string line;
    while (std::getline(file, line))
        names.push_back(line.substr(0, line.find(':')));
    return names;
}

bool is_listed(std::vector<std::string> const& names, std::string const& test)
{
    return std::ranges::any_of(
        names, [&](std::string const& name) { return !name.empty() && test.ends_with("::" + name); });
}

// Runs a test that is known to fail, and prints its result without counting it.
void run_known_failure(CppUnit::Test& test)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    result.addListener(&collector);
    test.run(&result);
    std::cout << "known to be red: " << test.getName() << (collector.wasSuccessful() ? " passes now" : " fails")
              << std::endl;
}

void run_matching(CppUnit::Test& test, std::string const& name_part, std::vector<std::string> const& known_failures,
    CppUnit::TestResult& result)
{
    if (test.getChildTestCount() == 0) {
        if (test.getName().find(name_part) == std::string::npos)
            return;
        if (is_listed(known_failures, test.getName()))
            run_known_failure(test);
        else
            test.run(&result);
        return;
    }
    for (int index = 0; index < test.getChildTestCount(); ++index)
        run_matching(*test.getChildTestAt(index), name_part, known_failures, result);
}

} // namespace

int main(int count, char** arguments)
{
    shedhill::net::process_io_context();
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    auto* const tests = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    run_matching(*tests, count > 1 ? arguments[1] : "", read_known_failures(), result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    auto const failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    std::_Exit(failed == 0 && collector.runTests() > 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
