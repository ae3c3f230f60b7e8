// SPDX-License-Identifier: BSD-2-Clause
// Fair shares over the whole fleet, and no idle slot while work waits.
#include "tests/joined/load.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::joined {

class sharing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sharing_test);
    CPPUNIT_TEST(equal_teams_on_unequal_routers_get_equal_shares);
    CPPUNIT_TEST(weights_divide_the_capacity);
    CPPUNIT_TEST(a_small_team_beside_floods_is_not_starved);
    CPPUNIT_TEST(a_team_back_from_idle_has_no_credit);
    CPPUNIT_TEST(no_slot_is_idle_while_work_waits_anywhere);
    CPPUNIT_TEST(shares_stay_even_over_restarts_of_routers);
    CPPUNIT_TEST(shares_even_out_after_a_partition);
    CPPUNIT_TEST(the_gap_is_near_that_of_perfect_counters);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<team_load> two_teams() { return { { "a", 1, { 0 }, 200, 40 }, { "b", 1, { 0, 1 }, 200, 40 } }; }

    static double ratio(load_result const& result, std::string const& left, std::string const& right)
    {
        return static_cast<double>(result.served.at(left)) / static_cast<double>(result.served.at(right));
    }

    void equal_teams_on_unequal_routers_get_equal_shares()
    {
        load_plan plan;
        plan.teams = two_teams();
        auto const result = run_load(plan);
        CPPUNIT_ASSERT(ratio(result, "a", "b") > 0.9 && ratio(result, "a", "b") < 1.1);
    }

    void weights_divide_the_capacity()
    {
        load_plan plan;
        plan.teams = two_teams();
        plan.teams[0].weight = 3;
        auto const result = run_load(plan);
        CPPUNIT_ASSERT(ratio(result, "a", "b") > 2.6 && ratio(result, "a", "b") < 3.4);
    }

    void a_small_team_beside_floods_is_not_starved()
    {
        load_plan plan;
        plan.fleet.routers = 3;
        plan.fleet.endpoints = 4;
        for (int index = 0; index < 15; ++index)
            plan.teams.push_back({ "flood-" + std::to_string(index), 1, { 0, 1, 2 }, 60, 60 });
        // One request at a time, now and then.
        plan.teams.push_back({ "editors", 1, { 1 }, 1, 10 });
        auto const result = run_load(plan);
        CPPUNIT_ASSERT(result.longest_wait.at("editors") < milliseconds(3000));
        CPPUNIT_ASSERT(result.finished.at("editors") >= 20);
    }

    void a_team_back_from_idle_has_no_credit()
    {
        load_plan plan;
        plan.teams = two_teams();
        plan.teams[1].starts_after = milliseconds(40000);
        plan.measure_from = milliseconds(41000);
        plan.run_for = milliseconds(70000);
        auto const result = run_load(plan);
        // Without the lift team b would get everything for forty seconds.
        CPPUNIT_ASSERT(ratio(result, "a", "b") > 0.75);
    }

    void no_slot_is_idle_while_work_waits_anywhere()
    {
        load_plan plan;
        plan.fleet.routers = 4;
        plan.fleet.endpoints = 12;
        plan.fleet.router.subset_size = 4;
        // All work comes in at one router, which at first sees a third of the endpoints.
        plan.teams = { { "a", 1, { 2 }, 200, 40 } };
        auto const result = run_load(plan);
        CPPUNIT_ASSERT(result.utilisation > 0.99);
    }

    void shares_stay_even_over_restarts_of_routers()
    {
        load_plan plan;
        plan.fleet.routers = 3;
        plan.teams = two_teams();
        plan.failure = [](joined_fleet& fleet) {
            fleet.restart_router(2);
            fleet.restart_router(1);
        };
        auto const result = run_load(plan);
        CPPUNIT_ASSERT(ratio(result, "a", "b") > 0.75 && ratio(result, "a", "b") < 1.33);
    }

    void shares_even_out_after_a_partition()
    {
        load_plan plan;
        plan.teams = two_teams();
        plan.failure = [](joined_fleet& fleet) { fleet.block_routers(0, 1, true); };
        plan.repair = [](joined_fleet& fleet) { fleet.block_routers(0, 1, false); };
        plan.run_for = milliseconds(60000);
        auto const result = run_load(plan);
        CPPUNIT_ASSERT(result.gap_after_repair < result.seconds_of_share * 10);
    }

    void the_gap_is_near_that_of_perfect_counters()
    {
        auto const product = run_load(uneven_load(12, 8, 24, 7)).worst_gap;
        auto perfect_plan = uneven_load(12, 8, 24, 7);
        perfect_plan.fleet.endpoint.policy = endpoint::choice_policy::perfect_counters;
        CPPUNIT_ASSERT(product < 1.5 * run_load(perfect_plan).worst_gap);
        // Each router by its own counters alone.
        auto apart_plan = uneven_load(12, 8, 24, 7);
        apart_plan.fleet.endpoint.policy = endpoint::choice_policy::least_level;
        apart_plan.fleet.router.report_interval = milliseconds(100000000);
        CPPUNIT_ASSERT(product * 3 < run_load(apart_plan).worst_gap);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sharing_test);

} // namespace shedhill::joined
