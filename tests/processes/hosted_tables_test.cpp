// SPDX-License-Identifier: BSD-2-Clause
// Tests with real processes that rows that are removed from the store's tables are removed at every router, also at
// those that do not watch the store.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <utility>

namespace shedhill::harness {

class hosted_tables_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_tables_test);
    CPPUNIT_TEST(rows_removed_while_the_history_is_lost_are_removed_at_every_router);
    CPPUNIT_TEST(rows_removed_while_all_watchers_restart_are_removed_at_every_router);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t routers = 4;

    // Two of the four routers of one failure domain watch the store.
    static hosted_fleet start_fleet()
    {
        hosted_fleet_options options;
        options.routers = routers;
        options.replicas = 2;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        CPPUNIT_ASSERT(settles_on_two_watchers(*fleet));
        return std::move(*fleet);
    }

    // All routers watch the store until they have heard of each other.
    static bool settles_on_two_watchers(hosted_fleet const& fleet)
    {
        constexpr int required_checks = 100;
        int checks = 0;
        std::vector<std::size_t> watchers;
        return wait_until([&] {
            auto const before = std::exchange(watchers, watchers_of(fleet));
            checks = watchers.size() == 2 && watchers == before ? checks + 1 : 0;
            return checks >= required_checks;
        });
    }

    static std::vector<std::size_t> watchers_of(hosted_fleet const& fleet)
    {
        std::vector<std::size_t> watchers;
        for (std::size_t router = 0; router < routers; ++router) {
            if (fleet.metric(router, "shedhill_follows_store") > 0)
                watchers.push_back(router);
        }
        return watchers;
    }

    static bool reaches_every_router(hosted_fleet const& fleet, std::string const& metric, double value)
    {
        for (std::size_t router = 0; router < routers; ++router) {
            if (!wait_until([&] { return fleet.metric(router, metric) == value; }))
                return false;
        }
        return true;
    }

    // Guards against requests to endpoints that have left, and against a failure domain that stays evacuated: the store
    // lost its history when the rows were removed, so that the watchers read both tables again.
    void rows_removed_while_the_history_is_lost_are_removed_at_every_router()
    {
        auto fleet = start_fleet();
        fleet.evacuate("south");
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_evacuated_domains", 1));
        fleet.control_store(
            { { "remove",
                  boost::json::array { boost::json::object { { "table", "op" }, { "key", "evacuate/south" } },
                      boost::json::object { { "table", "servers" }, { "key", fleet.incarnation(1) } } } },
                { "forget", true } });
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_listed_endpoints", 1));
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_evacuated_domains", 0));
    }

    // Guards against requests to endpoints that have left: the routers that watch the store were killed while the entry
    // was removed.
    void rows_removed_while_all_watchers_restart_are_removed_at_every_router()
    {
        auto fleet = start_fleet();
        auto const watchers = watchers_of(fleet);
        for (auto const router : watchers)
            fleet.router(router).kill();
        fleet.unlist_replica(1);
        for (auto const router : watchers)
            CPPUNIT_ASSERT(fleet.restart_router(router));
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_listed_endpoints", 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_tables_test);

} // namespace shedhill::harness
