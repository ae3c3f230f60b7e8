// SPDX-License-Identifier: BSD-2-Clause
// Tests how many endpoints of a fleet are lost to a request that crashes them, and that other requests are still
// served.
#include "tests/dispatch/crash_simulation.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class crash_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_fleet_test);
    CPPUNIT_TEST(one_caller_who_retries_crashes_three_endpoints);
    CPPUNIT_TEST(simultaneous_copies_are_not_sent_after_the_third_crash);
    CPPUNIT_TEST(slow_retries_crash_three_endpoints);
    CPPUNIT_TEST(a_frozen_router_receives_the_crash_records_later);
    CPPUNIT_TEST(routers_that_restart_one_after_another_receive_the_crash_records);
    CPPUNIT_TEST(a_request_that_becomes_harmless_is_served_again);
    CPPUNIT_TEST(a_hot_request_is_served_after_the_loss_of_most_endpoints);
    CPPUNIT_TEST(a_hot_request_is_served_after_resets_of_all_connections);
    CPPUNIT_TEST(a_hot_request_is_served_beside_a_harmful_one);
    CPPUNIT_TEST(a_hot_request_is_served_after_the_last_endpoints_crash_together);
    CPPUNIT_TEST(a_hot_request_is_served_after_losses_of_different_causes);
    CPPUNIT_TEST(nothing_is_sent_after_the_third_crash_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

    // Content of a request that crashes each endpoint which runs it.
    static inline content_hash const harmful { 666 };
    // Content of a harmless request that callers send every ten milliseconds, so that it is in flight at every fault.
    static inline content_hash const hot { 1 };
    // Time in which the routers receive the report of the third crash.
    static constexpr milliseconds propagation_time { 3000 };
    // Harmful requests that may still reach endpoints after this time.
    static constexpr std::size_t max_sent_after_third = 3;
    // Time after the last fault in which endpoints have restarted and short quarantines have ended.
    static constexpr milliseconds recovery_time { 11800 };

    static void check_limits(crash_simulation const& simulation, std::size_t max_lost)
    {
        CPPUNIT_ASSERT(simulation.endpoints_lost_to(harmful) <= max_lost);
        CPPUNIT_ASSERT(simulation.sent_after_third_crash(harmful, propagation_time) <= max_sent_after_third);
    }

    static crash_simulation start_simulation()
    {
        crash_simulation simulation({});
        simulation.set_harmful(harmful, true);
        simulation.wait(milliseconds(5000));
        return simulation;
    }

    // Sends the harmful request repeatedly, each time to the next router.
    static void ask_repeatedly(
        crash_simulation& simulation, std::size_t times, milliseconds pause, std::size_t copies = 1)
    {
        for (std::size_t time = 0; time < times; ++time) {
            for (std::size_t copy = 0; copy < copies; ++copy)
                simulation.ask((time + copy) % simulation.routers(), harmful);
            simulation.wait(pause);
        }
    }

    void one_caller_who_retries_crashes_three_endpoints()
    {
        auto simulation = start_simulation();
        ask_repeatedly(simulation, 30, milliseconds(400));
        check_limits(simulation, 3);
    }

    void simultaneous_copies_are_not_sent_after_the_third_crash()
    {
        auto simulation = start_simulation();
        ask_repeatedly(simulation, 60, milliseconds(50), 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, simulation.sent_after_third_crash(harmful, propagation_time));
    }

    void slow_retries_crash_three_endpoints()
    {
        auto simulation = start_simulation();
        ask_repeatedly(simulation, 10, milliseconds(3000));
        check_limits(simulation, 3);
    }

    void a_frozen_router_receives_the_crash_records_later()
    {
        auto simulation = start_simulation();
        simulation.ask(0, harmful);
        simulation.freeze_router(1, milliseconds(2000));
        simulation.wait(milliseconds(400));
        simulation.ask(2, harmful);
        simulation.wait(milliseconds(2000));
        ask_repeatedly(simulation, 20, milliseconds(400));
        check_limits(simulation, 3);
    }

    void routers_that_restart_one_after_another_receive_the_crash_records()
    {
        auto simulation = start_simulation();
        ask_repeatedly(simulation, 6, milliseconds(400));
        for (std::size_t router = 0; router < simulation.routers(); ++router) {
            simulation.restart_router(router);
            simulation.wait(milliseconds(500));
            ask_repeatedly(simulation, 6, milliseconds(400));
        }
        check_limits(simulation, 3);
    }

    void a_request_that_becomes_harmless_is_served_again()
    {
        auto simulation = start_simulation();
        simulation.ask(0, harmful);
        simulation.wait(milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, simulation.endpoints_lost_to(harmful));
        simulation.set_harmful(harmful, false);
        ask_repeatedly(simulation, 6, milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, simulation.served(harmful));
    }

    static bool is_served_everywhere(crash_simulation& simulation, content_hash content)
    {
        // Lets the requests in flight end first.
        simulation.wait(milliseconds(200));
        auto const before = simulation.served(content);
        for (std::size_t router = 0; router < simulation.routers(); ++router) {
            simulation.ask(router, content);
            simulation.wait(milliseconds(400));
        }
        return simulation.served(content) == before + simulation.routers();
    }

    static void check_served(crash_simulation& simulation, content_hash content)
    {
        CPPUNIT_ASSERT(is_served_everywhere(simulation, content));
    }

    static void keep_asking(crash_simulation& simulation, content_hash content, milliseconds time)
    {
        constexpr milliseconds pause { 10 };
        std::size_t asked = 0;
        for (auto left = time; left > milliseconds(0); left -= pause) {
            simulation.ask(++asked % simulation.routers(), content);
            simulation.wait(pause);
        }
    }

    void a_hot_request_is_served_after_the_loss_of_most_endpoints()
    {
        auto simulation = start_simulation();
        for (std::size_t endpoint = 0; endpoint < 6; ++endpoint) {
            keep_asking(simulation, hot, milliseconds(300));
            simulation.crash_endpoint(endpoint);
        }
        simulation.wait(milliseconds(5000));
        check_served(simulation, hot);
        keep_asking(simulation, hot, milliseconds(300));
        for (std::size_t endpoint = 0; endpoint < 6; ++endpoint)
            simulation.crash_endpoint(endpoint);
        keep_asking(simulation, hot, milliseconds(5000));
        check_served(simulation, hot);
    }

    void a_hot_request_is_served_after_resets_of_all_connections()
    {
        auto simulation = start_simulation();
        for (int reset_count = 0; reset_count < 20; ++reset_count) {
            keep_asking(simulation, hot, milliseconds(200));
            simulation.reset_connections();
        }
        simulation.wait(milliseconds(1000));
        check_served(simulation, hot);
    }

    enum class fault_kind {
        router_restarts,
        router_freezes,
        endpoint_crashes,
        connections_break,
        half_of_endpoints_crash
    };

    // A fault, or for any other value of `kind` a harmful request in one to four copies, followed by hot requests.
    struct fault_step {
        int kind { 0 };
        // Selects the router or endpoint, the length of a freeze and the number of copies.
        int choice { 0 };
        // Duration for which the hot request is sent after the fault, in steps of ten milliseconds.
        int hot_steps { 1 };
    };

    static void inject(crash_simulation& simulation, fault_step const& step)
    {
        auto const drawn = static_cast<std::size_t>(step.choice);
        switch (static_cast<fault_kind>(step.kind)) {
        case fault_kind::router_restarts:
            return simulation.restart_router(drawn % simulation.routers());
        case fault_kind::router_freezes:
            return simulation.freeze_router(drawn % simulation.routers(), milliseconds(100 * step.choice));
        case fault_kind::endpoint_crashes:
            return simulation.crash_endpoint(drawn % simulation.endpoints());
        case fault_kind::connections_break:
            return simulation.reset_connections();
        case fault_kind::half_of_endpoints_crash:
            for (std::size_t index = 0; index < simulation.endpoints(); index += 2)
                simulation.crash_endpoint(index);
            return;
        }
        for (std::size_t copy = 0; copy < 1 + drawn % 4; ++copy)
            simulation.ask((drawn + copy) % simulation.routers(), harmful);
    }

    static crash_simulation simulate(std::vector<fault_step> const& steps)
    {
        auto simulation = start_simulation();
        for (auto const& step : steps) {
            inject(simulation, step);
            keep_asking(simulation, hot, milliseconds(10 * step.hot_steps));
        }
        return simulation;
    }

    static void check_served_after(std::vector<fault_step> const& steps)
    {
        auto simulation = simulate(steps);
        simulation.wait(recovery_time);
        check_served(simulation, hot);
    }

    // Half of the endpoints crash, and the other half is lost to a harmful request that arrives in four copies at a
    // time.
    void a_hot_request_is_served_beside_a_harmful_one()
    {
        check_served_after({ { 4, 0, 6 }, { 0, 4, 14 }, { 0, 0, 8 }, { 5, 11, 8 } });
    }

    // Two harmful copies crash three of the last four endpoints within 70 ms.
    void a_hot_request_is_served_after_the_last_endpoints_crash_together()
    {
        check_served_after({ { 4, 0, 39 }, { 1, 0, 23 }, { 0, 17, 21 }, { 5, 1, 4 } });
    }

    // Four harmful copies crash two endpoints within 10 ms, and a second later half of the endpoints are lost for
    // another reason.
    void a_hot_request_is_served_after_losses_of_different_causes()
    {
        check_served_after({ { 4, 0, 39 }, { 0, 2, 22 }, { 0, 0, 29 }, { 0, 0, 35 }, { 1, 0, 25 }, { 1, 10, 38 },
            { 5, 3, 21 }, { 0, 0, 23 }, { 0, 0, 21 }, { 0, 0, 21 }, { 0, 0, 27 }, { 4, 0, 1 } });
    }

    void nothing_is_sent_after_the_third_crash_under_random_faults()
    {
        testing::check_property("a request that crashes endpoints does not go on", [] {
            auto const drawn = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 40), rc::gen::inRange(1, 80)));
            std::vector<fault_step> steps;
            steps.reserve(drawn.size());
            for (auto const& [kind, choice, hot_steps] : drawn)
                steps.push_back({ kind, choice, hot_steps });
            auto simulation = simulate(steps);
            RC_ASSERT(simulation.sent_after_third_crash(harmful, propagation_time) <= max_sent_after_third);
            simulation.wait(recovery_time);
            RC_ASSERT(is_served_everywhere(simulation, hot));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_fleet_test);

} // namespace shedhill::dispatch
