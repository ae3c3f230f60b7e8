// SPDX-License-Identifier: BSD-2-Clause
// Tests leaving endpoints, the propagation of configuration revisions, and restarts while the platform is down.
#include "tests/joined/joined_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::joined {

class membership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(a_leaving_endpoint_gets_nothing_new_though_the_list_lags);
    CPPUNIT_TEST(a_new_revision_is_in_force_everywhere_in_seconds);
    CPPUNIT_TEST(a_router_behind_receives_the_revision_from_its_peers);
    CPPUNIT_TEST(a_router_cut_off_from_the_platform_stops_serving_stale_rules);
    CPPUNIT_TEST(a_restart_with_the_platform_down_asks_a_peer);
    CPPUNIT_TEST(a_restart_with_no_one_to_ask_is_not_ready);
    CPPUNIT_TEST(a_change_of_the_other_partners_objects_has_no_effect);
    CPPUNIT_TEST(work_goes_on_after_an_endpoint_restarts);
    CPPUNIT_TEST_SUITE_END();

    // A fleet whose routers have read the configuration and connected to the endpoints.
    struct ready_fleet : joined_fleet {
        explicit ready_fleet(fleet_options settings = {})
            : joined_fleet(std::move(settings))
        {
            declare_simple({ { "a", 1 } });
            advance(milliseconds(3000));
        }
    };

    static request_plan plan(std::string const& body, std::size_t router = 0)
    {
        request_plan request;
        request.team = "a";
        request.body = body;
        request.router = router;
        return request;
    }

    static config::change revoke() { return { "revoke", partner_name("partner"), {}, { "policy:partner/use-all" } }; }

    void a_leaving_endpoint_gets_nothing_new_though_the_list_lags()
    {
        ready_fleet fleet;
        fleet.set_list_lag(true);
        for (int index = 0; index < 60; ++index)
            fleet.submit(plan("before-" + std::to_string(index)));
        fleet.advance(milliseconds(100));
        fleet.drain_endpoint(0);
        fleet.advance(milliseconds(10));
        auto const started = fleet.endpoint_at(0).running_count();
        for (int index = 0; index < 60; ++index)
            fleet.submit(plan("after-" + std::to_string(index), 1));
        for (int step = 0; step < 100; ++step) {
            fleet.advance(milliseconds(10));
            CPPUNIT_ASSERT(fleet.endpoint_at(0).running_count() <= started);
        }
        fleet.advance(milliseconds(20000));
        CPPUNIT_ASSERT(fleet.is_endpoint_stopped(0));
        for (std::size_t router = 0; router < 2; ++router) {
            for (auto const& [number, view] : fleet.callers(router))
                CPPUNIT_ASSERT(view.outcome == wire::run_outcome::ran);
        }
    }

    void a_new_revision_is_in_force_everywhere_in_seconds()
    {
        fleet_options settings;
        settings.routers = 6;
        ready_fleet fleet(settings);
        fleet.declare(revoke());
        fleet.advance(milliseconds(5000));
        for (std::size_t router = 0; router < fleet.router_count(); ++router) {
            auto const number = fleet.submit(plan("late", router));
            CPPUNIT_ASSERT(fleet.caller(router, number).why == wire::reason::no_allowed_endpoint);
            CPPUNIT_ASSERT(fleet.router_at(router).catalog().current_revision() == revision(2));
        }
    }

    void a_router_behind_receives_the_revision_from_its_peers()
    {
        fleet_options settings;
        // The routers read the head revision too seldom to learn of the change from the platform in time.
        settings.router.head_interval = milliseconds(60000);
        ready_fleet fleet(settings);
        fleet.declare({ "second", partner_name("partner"), {}, {} });
        fleet.restart_router(1);
        fleet.submit(plan("from the old one", 0));
        fleet.advance(milliseconds(5000));
        CPPUNIT_ASSERT(fleet.router_at(1).catalog().current_revision() == revision(2));
        CPPUNIT_ASSERT(fleet.router_at(0).catalog().current_revision() == revision(2));
    }

    // No message carries the new revision to the router, because the other router has no requests to offer under it.
    void a_router_cut_off_from_the_platform_stops_serving_stale_rules()
    {
        ready_fleet fleet;
        fleet.cut_from_platform(0, true);
        fleet.declare(revoke());
        fleet.advance(milliseconds(10000));
        CPPUNIT_ASSERT(fleet.router_at(1).catalog().current_revision() == revision(2));
        CPPUNIT_ASSERT(fleet.router_at(0).catalog().current_revision() == revision(1));
        auto const number = fleet.submit(plan("under old rules", 0));
        fleet.advance(milliseconds(61000));
        CPPUNIT_ASSERT(fleet.runs().empty());
        CPPUNIT_ASSERT(fleet.caller(0, number).outcome == wire::run_outcome::not_run);
    }

    void a_restart_with_the_platform_down_asks_a_peer()
    {
        ready_fleet fleet;
        fleet.set_platform_down(true);
        fleet.restart_router(1);
        fleet.configure_peer(1, 0);
        fleet.advance(milliseconds(3000));
        CPPUNIT_ASSERT(fleet.router_at(1).is_ready());
        auto const number = fleet.submit(plan("stew", 1));
        fleet.advance(milliseconds(3000));
        CPPUNIT_ASSERT(fleet.caller(1, number).outcome == wire::run_outcome::ran);
    }

    void a_restart_with_no_one_to_ask_is_not_ready()
    {
        ready_fleet fleet;
        fleet.set_platform_down(true);
        fleet.restart_router(1);
        fleet.advance(milliseconds(3000));
        CPPUNIT_ASSERT(!fleet.router_at(1).is_ready());
        auto const refused = fleet.submit(plan("stew", 1));
        CPPUNIT_ASSERT(fleet.caller(1, refused).why == wire::reason::router_not_ready);
        fleet.set_platform_down(false);
        fleet.advance(milliseconds(8000));
        CPPUNIT_ASSERT(fleet.router_at(1).is_ready());
    }

    void a_change_of_the_other_partners_objects_has_no_effect()
    {
        ready_fleet fleet;
        auto forged = revoke();
        forged.author = partner_name("other");
        fleet.declare(forged);
        fleet.advance(milliseconds(5000));
        CPPUNIT_ASSERT(fleet.router_at(0).catalog().current_revision() == revision(2));
        auto const number = fleet.submit(plan("stew"));
        fleet.advance(milliseconds(3000));
        CPPUNIT_ASSERT(fleet.caller(0, number).outcome == wire::run_outcome::ran);
        CPPUNIT_ASSERT(fleet.counts().at("changes_refused") > 0);
    }

    void work_goes_on_after_an_endpoint_restarts()
    {
        ready_fleet fleet;
        for (int index = 0; index < 50; ++index)
            fleet.submit(plan("stew-" + std::to_string(index)));
        fleet.advance(milliseconds(50));
        fleet.restart_endpoint(1);
        fleet.advance(milliseconds(20000));
        int lost = 0;
        for (auto const& [number, view] : fleet.callers(0)) {
            CPPUNIT_ASSERT_EQUAL(1, view.final_answers);
            lost += view.outcome == wire::run_outcome::ran ? 0 : 1;
        }
        // Only requests whose answers had started at the restarted endpoint may be lost, at most one for each of its
        // slots.
        CPPUNIT_ASSERT(lost <= 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.waiting_requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace shedhill::joined
