// SPDX-License-Identifier: BSD-2-Clause
// Tests that a request which fails at every endpoint does not lead to ejections.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class failing_request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failing_request_test);
    CPPUNIT_TEST(a_request_that_fails_everywhere_ejects_nobody);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static std::size_t ejected(driver& fleet)
    {
        auto const held_endpoints = fleet.reducer().held_endpoints(fleet.now());
        return static_cast<std::size_t>(
            std::ranges::count(held_endpoints, hold_reason::ejected, &held_endpoint::reason));
    }

    // The failing request arrives 20 times a second, together with three times as many that succeed.
    void a_request_that_fails_everywhere_ejects_nobody()
    {
        constexpr std::size_t max_attempts = 2;
        driver fleet;
        constexpr int endpoints = 8;
        std::vector<endpoint_entry> entries;
        entries.reserve(endpoints);
        for (int index = 0; index < endpoints; ++index)
            entries.push_back(driver::make_endpoint("p" + std::to_string(index), "plain", 1000));
        fleet.start(entries);
        std::size_t max_ejected = 0;
        for (int time = 0; time < 100; ++time) {
            auto const failing = fleet.ask("/look/failing");
            for (std::size_t attempt = 1; attempt <= max_attempts; ++attempt) {
                if (fleet.sent_for(failing).size() == attempt)
                    fleet.end(failing, attempt_end::failed, 500);
            }
            for (int other = 0; other < 3; ++other)
                fleet.end(fleet.ask("/look/good"), attempt_end::complete, 200);
            max_ejected = std::max(max_ejected, ejected(fleet));
            fleet.wait(milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, max_ejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failing_request_test);

} // namespace shedhill::dispatch
