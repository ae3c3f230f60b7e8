// SPDX-License-Identifier: BSD-2-Clause
// Compares the records of whole sessions with golden files. SHEDHILL_UPDATE_GOLDEN=1 rewrites the files.
#include "tests/joined/joined_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace shedhill::joined {

class golden_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(golden_test);
    CPPUNIT_TEST(a_quiet_session);
    CPPUNIT_TEST(a_session_with_failures);
    CPPUNIT_TEST_SUITE_END();

    static fleet_options recorded()
    {
        fleet_options settings;
        settings.routers = 1;
        settings.endpoints = 2;
        settings.max_chunks = 2;
        settings.is_recording = true;
        return settings;
    }

    static void compare(joined_fleet const& fleet, std::string const& name)
    {
        std::string recorded;
        for (auto const& line : fleet.record())
            recorded += line + "\n";
        auto const path = std::string(SHEDHILL_SOURCE_DIR) + "/tests/joined/golden/" + name + ".txt";
        if (std::getenv("SHEDHILL_UPDATE_GOLDEN") != nullptr)
            std::ofstream(path) << recorded;
        std::ifstream file(path);
        std::ostringstream expected;
        expected << file.rdbuf();
        CPPUNIT_ASSERT_EQUAL(expected.str(), recorded);
    }

    static request_plan plan(std::string const& body, std::string const& key = {})
    {
        request_plan request;
        request.team = "a";
        request.body = body;
        request.idempotency_key = key;
        return request;
    }

    void a_quiet_session()
    {
        joined_fleet fleet(recorded());
        fleet.declare_simple({ { "a", 1 } });
        fleet.advance(milliseconds(1000));
        fleet.submit(plan("stew"));
        fleet.advance(milliseconds(500));
        fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(500));
        compare(fleet, "a_quiet_session");
    }

    void a_session_with_failures()
    {
        joined_fleet fleet(recorded());
        fleet.declare_simple({ { "a", 1 } });
        fleet.advance(milliseconds(1000));
        fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(60));
        fleet.cut(0, 0);
        fleet.cut(0, 1);
        fleet.advance(milliseconds(500));
        fleet.submit(plan("clutch", "order-1"));
        fleet.set_platform_down(true);
        fleet.advance(milliseconds(100));
        fleet.submit(plan("another", "order-2"));
        fleet.advance(milliseconds(100));
        fleet.drain_router(0);
        fleet.advance(milliseconds(100));
        compare(fleet, "a_session_with_failures");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(golden_test);

} // namespace shedhill::joined
