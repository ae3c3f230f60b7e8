// SPDX-License-Identifier: BSD-2-Clause
// Runs all registered tests, or those whose name contains the first argument, and prints the real counts.
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

// The names at the beginning of the lines of KNOWN-RED.txt: tests that fail for a fault that is known and not yet
// mended.
std::vector<std::string> read_known_red()
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

// Runs a test that is known to be red by itself: it is seen, and does not count.
void run_known_red(CppUnit::Test& test)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collected;
    result.addListener(&collected);
    test.run(&result);
    std::cout << "known to be red: " << test.getName() << (collected.wasSuccessful() ? " passes now" : " fails")
              << std::endl;
}

void run_matching(CppUnit::Test& test, std::string const& wanted, std::vector<std::string> const& known_red,
    CppUnit::TestResult& result)
{
    if (test.getChildTestCount() == 0) {
        if (test.getName().find(wanted) == std::string::npos)
            return;
        if (is_listed(known_red, test.getName()))
            run_known_red(test);
        else
            test.run(&result);
        return;
    }
    for (int index = 0; index < test.getChildTestCount(); ++index)
        run_matching(*test.getChildTestAt(index), wanted, known_red, result);
}

} // namespace

int main(int count, char** arguments)
{
    shedhill::net::process_io_context();
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collected;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collected);
    result.addListener(&progress);
    auto* const tests = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    run_matching(*tests, count > 1 ? arguments[1] : "", read_known_red(), result);
    CppUnit::CompilerOutputter(&collected, std::cerr).write();
    auto const failed = collected.testFailuresTotal();
    std::cout << collected.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    std::_Exit(failed == 0 && collected.runTests() > 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
