// SPDX-License-Identifier: BSD-2-Clause
// What each end of an attempt leads to: sent again, told "not run", told "unknown", or broken off.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class dispatch_outcomes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_outcomes_test);
    CPPUNIT_TEST(nothing_is_known_without_a_configuration);
    CPPUNIT_TEST(unknown_routes_and_keys_are_refused);
    CPPUNIT_TEST(an_unknown_end_is_never_called_not_run);
    CPPUNIT_TEST(an_unknown_end_is_repeated_where_that_is_allowed);
    CPPUNIT_TEST(an_endpoints_own_failure_is_repeated_where_that_is_allowed);
    CPPUNIT_TEST(an_endpoints_own_failure_is_passed_on_where_no_other_has_room);
    CPPUNIT_TEST(a_plain_service_that_was_slow_is_tried_again);
    CPPUNIT_TEST(what_was_not_run_goes_to_another_endpoint);
    CPPUNIT_TEST(no_more_endpoints_than_allowed_see_a_request);
    CPPUNIT_TEST(sends_that_never_left_do_not_count_as_attempts);
    CPPUNIT_TEST(a_broken_stream_is_resumed_elsewhere);
    CPPUNIT_TEST(a_broken_stream_that_cannot_be_resumed_is_broken_off);
    CPPUNIT_TEST(an_address_taken_over_gets_nothing_more);
    CPPUNIT_TEST(a_draining_endpoint_gets_nothing_new);
    CPPUNIT_TEST(a_caller_who_leaves_cancels_the_attempt);
    CPPUNIT_TEST(the_time_limit_ends_a_request_at_once);
    CPPUNIT_TEST(a_request_past_its_share_is_refused_early_and_told_when_to_return);
    CPPUNIT_TEST(a_request_within_its_share_waits_a_little_longer);
    CPPUNIT_TEST(a_router_that_is_behind_takes_less);
    CPPUNIT_TEST(a_flood_of_waiting_requests_costs_few_choices);
    CPPUNIT_TEST(a_late_end_of_an_old_attempt_changes_nothing);
    CPPUNIT_TEST(a_stalled_order_is_not_sent_again);
    CPPUNIT_TEST(a_stalled_look_is_sent_again);
    CPPUNIT_TEST(a_failing_endpoint_is_ejected_and_probed);
    CPPUNIT_TEST(not_all_endpoints_are_ejected);
    CPPUNIT_TEST(own_trouble_ejects_nobody);
    CPPUNIT_TEST(an_older_configuration_is_not_taken);
    CPPUNIT_TEST(a_drain_ends_when_nothing_is_in_flight);
    CPPUNIT_TEST(the_log_tells_the_cause_of_a_refusal);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static std::vector<endpoint_entry> two_of(std::string const& pool)
    {
        return { driver::make_endpoint("e1", pool), driver::make_endpoint("e2", pool) };
    }

    void nothing_is_known_without_a_configuration()
    {
        driver fleet;
        auto const request = fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(request)->status);
        CPPUNIT_ASSERT(!fleet.reducer().is_ready());
    }

    void unknown_routes_and_keys_are_refused()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 404 }, fleet.refusal_of(fleet.ask("/nowhere/"))->status);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 401 }, fleet.refusal_of(fleet.ask("/look/", "stolen"))->status);
        CPPUNIT_ASSERT(fleet.sent().empty());
    }

    void an_unknown_end_is_never_called_not_run()
    {
        for (auto const how : { attempt_end::broken, attempt_end::silent }) {
            driver fleet;
            fleet.start(two_of("plain"));
            auto const request = fleet.ask("/order/");
            fleet.end(request, how);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, fleet.refusal_of(request)->status);
            CPPUNIT_ASSERT(!fleet.refusal_of(request)->retry_after);
        }
    }

    void an_unknown_end_is_repeated_where_that_is_allowed()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/look/");
        fleet.end(request, attempt_end::broken);
        auto const sent = fleet.sent_for(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sent.size());
        CPPUNIT_ASSERT(sent[0].endpoint != sent[1].endpoint);
        // The second may have run too: the caller is not told that nothing ran.
        fleet.end(request, attempt_end::not_run, 503);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, fleet.refusal_of(request)->status);
    }

    void an_endpoints_own_failure_is_repeated_where_that_is_allowed()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const look = fleet.ask("/look/");
        fleet.end(look, attempt_end::failed, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(look).size());
        CPPUNIT_ASSERT(!fleet.is_passed_on(look));
        // Two endpoints have failed: that is the answer.
        fleet.end(look, attempt_end::failed, 500);
        CPPUNIT_ASSERT(fleet.is_passed_on(look));
        auto const order = fleet.ask("/order/");
        fleet.end(order, attempt_end::failed, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(order).size());
        CPPUNIT_ASSERT(fleet.is_passed_on(order));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
    }

    // Found by the soak (seed 7031): answers that came late for a while, through a link that delayed them, taught the
    // router a time over the objective; it then refused everything with all places free, and never learnt better.
    void a_plain_service_that_was_slow_is_tried_again()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        for (int index = 0; index < 20; ++index) {
            auto const slow = fleet.ask("/look/");
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(slow).size());
            fleet.wait(milliseconds(1500));
            fleet.end(slow, attempt_end::complete, 200, true);
        }
        auto const next = fleet.ask("/look/");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(next).size());
    }

    // Found on the users' platform: callers got a 502 of ours in place of the endpoint's answer.
    void an_endpoints_own_failure_is_passed_on_where_no_other_has_room()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        auto const look = fleet.ask("/look/");
        fleet.end(look, attempt_end::failed, 500);
        CPPUNIT_ASSERT(!fleet.is_passed_on(look));
        fleet.wait(milliseconds(400));
        CPPUNIT_ASSERT(fleet.is_passed_on(look));
        CPPUNIT_ASSERT(!fleet.refusal_of(look));
        // Nothing was read of an answer that broke off: there is nothing to pass on.
        auto const broken = fleet.ask("/look/");
        fleet.end(broken, attempt_end::broken);
        fleet.wait(milliseconds(400));
        CPPUNIT_ASSERT(!fleet.is_passed_on(broken));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, fleet.refusal_of(broken)->status);
    }

    void what_was_not_run_goes_to_another_endpoint()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/order/");
        fleet.end(request, attempt_end::not_run, 503);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
        fleet.end(request, attempt_end::not_run, 503);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(request)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(request)->retry_after.has_value());
    }

    void no_more_endpoints_than_allowed_see_a_request()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain"), driver::make_endpoint("e2", "plain"),
            driver::make_endpoint("e3", "plain") });
        auto const request = fleet.ask("/look/");
        fleet.end(request, attempt_end::broken);
        fleet.end(request, attempt_end::broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(fleet.refusal_of(request).has_value());
    }

    void sends_that_never_left_do_not_count_as_attempts()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain"), driver::make_endpoint("e2", "plain"),
            driver::make_endpoint("e3", "plain") });
        auto const request = fleet.ask("/order/");
        fleet.end(request, attempt_end::not_sent);
        fleet.end(request, attempt_end::not_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fleet.sent_for(request).size());
    }

    void a_broken_stream_is_resumed_elsewhere()
    {
        driver fleet;
        fleet.start(two_of("model"));
        auto const request = fleet.ask("/resumable/");
        fleet.begin(request);
        fleet.end(request, attempt_end::broken, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(!fleet.is_broken_off(request));
        fleet.end(request, attempt_end::complete, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
    }

    void a_broken_stream_that_cannot_be_resumed_is_broken_off()
    {
        driver fleet;
        fleet.start(two_of("model"));
        auto const request = fleet.ask("/once/");
        fleet.begin(request);
        fleet.end(request, attempt_end::broken, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(fleet.is_broken_off(request));
        CPPUNIT_ASSERT(!fleet.refusal_of(request));
    }

    void an_address_taken_over_gets_nothing_more()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        fleet.end(fleet.ask("/order/"), attempt_end::wrong_endpoint, 421);
        auto const second = fleet.ask("/order/");
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT(fleet.sent_for(second).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(second)->status);
    }

    void a_draining_endpoint_gets_nothing_new()
    {
        driver fleet;
        auto endpoints = two_of("plain");
        fleet.start(endpoints);
        endpoints[0].is_draining = true;
        fleet.take(endpoints_listed { endpoints });
        for (int index = 0; index < 6; ++index)
            fleet.ask("/look/");
        for (auto const& sent : fleet.sent())
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), sent.endpoint.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, fleet.sent().size());
    }

    void a_caller_who_leaves_cancels_the_attempt()
    {
        driver fleet;
        fleet.start(two_of("model"));
        auto const request = fleet.ask("/once/");
        fleet.take(caller_left { request });
        CPPUNIT_ASSERT(fleet.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, fleet.reducer().occupancy_of(pool_name("model")).taken);
    }

    void the_time_limit_ends_a_request_at_once()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/order/");
        fleet.wait(milliseconds(4100));
        CPPUNIT_ASSERT(fleet.is_cancelled(request));
        // It was sent and may have run.
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 504 }, fleet.refusal_of(request)->status);
    }

    void a_request_past_its_share_is_refused_early_and_told_when_to_return()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 8) });
        // The share of 10,000 tokens a second is used up within the window.
        // What is past it is let in once the engine has nothing to read, and up to a quarter of its places.
        fleet.ask_and_read("/once/", "red-key", 41000);
        fleet.ask("/once/", "red-key", 41000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent().size());
        fleet.wait(milliseconds(200));
        auto const third = fleet.ask("/once/", "red-key", 41000);
        CPPUNIT_ASSERT(!fleet.refusal_of(third));
        // A quarter of the objective of 400 ms.
        fleet.wait(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 429 }, fleet.refusal_of(third)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(third)->retry_after.has_value());
        CPPUNIT_ASSERT(fleet.sent_for(third).empty());
    }

    void a_request_within_its_share_waits_a_little_longer()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 2) });
        auto const first = fleet.ask("/once/");
        fleet.ask("/once/");
        auto const third = fleet.ask("/once/");
        auto const fourth = fleet.ask("/once/");
        fleet.wait(milliseconds(130));
        CPPUNIT_ASSERT(!fleet.refusal_of(third));
        fleet.end(first, attempt_end::complete, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(third).size());
        // Two fifths of the objective of 400 ms.
        fleet.wait(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 429 }, fleet.refusal_of(fourth)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(fourth)->retry_after.has_value());
    }

    void a_router_that_is_behind_takes_less()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask("/once/", "red-key", 41000);
        fleet.wait(milliseconds(200));
        for (int ticks = 0; ticks < 30; ++ticks)
            fleet.take(tick { milliseconds(100) });
        auto const past_share = fleet.ask("/once/", "red-key");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(past_share)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(past_share)->reason == refusal_reason::router_overloaded);
        // Of what is within its share about a third: (100 - 35) / 200.
        int refused = 0;
        for (int index = 0; index < 90; ++index)
            refused += fleet.refusal_of(fleet.ask("/once/", "blue-key", 10)) ? 1 : 0;
        CPPUNIT_ASSERT(refused > 0 && refused < 90);
        for (int ticks = 0; ticks < 60; ++ticks)
            fleet.take(tick {});
        CPPUNIT_ASSERT(!fleet.refusal_of(fleet.ask("/once/", "blue-key", 10)));
    }

    // A hunt's finding: hundreds of waiting requests, each tried at each answer, put a router seconds behind.
    void a_flood_of_waiting_requests_costs_few_choices()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 8) });
        fleet.ask_and_read("/once/", "red-key", 41000);
        auto const running = fleet.ask("/once/", "red-key", 41000);
        // Another team asks for as much and waits, so that the first is ahead of it.
        fleet.ask("/once/", "blue-key", 41000);
        fleet.wait(milliseconds(100));
        for (int index = 0; index < 300; ++index)
            fleet.ask("/once/", "blue-key", 10);
        auto const before = fleet.reducer().choices();
        for (int index = 0; index < 50; ++index)
            fleet.begin(running);
        CPPUNIT_ASSERT(fleet.reducer().choices() - before <= 32);
        // A team that is far ahead is told at once while so many wait.
        CPPUNIT_ASSERT(fleet.refusal_of(fleet.ask("/once/", "red-key", 41000)).has_value());
    }

    void a_late_end_of_an_old_attempt_changes_nothing()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/look/");
        auto const first = fleet.sent_for(request)[0].attempt;
        fleet.end(request, attempt_end::broken);
        fleet.take(attempt_ended { request, first, attempt_end::complete, 200, 0, true });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.reducer().active_requests());
    }

    void a_stalled_order_is_not_sent_again()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/order/");
        fleet.take(attempt_stalled { request, fleet.sent_for(request)[0].attempt, false });
        CPPUNIT_ASSERT(!fleet.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
    }

    void a_stalled_look_is_sent_again()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/look/");
        fleet.take(attempt_stalled { request, fleet.sent_for(request)[0].attempt, false });
        CPPUNIT_ASSERT(fleet.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
    }

    void a_failing_endpoint_is_ejected_and_probed()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("bad", "plain"), driver::make_endpoint("good", "plain"),
            driver::make_endpoint("fine", "plain") });
        for (int index = 0; index < 30; ++index) {
            auto const request = fleet.ask("/order/");
            bool const is_bad = fleet.sent_for(request)[0].endpoint.value() == "bad";
            fleet.end(request, is_bad ? attempt_end::broken : attempt_end::complete, is_bad ? 0 : 200, !is_bad);
            fleet.wait(milliseconds(10));
        }
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected \"endpoint\":\"bad\"") != std::string::npos);
        auto const sent_before = fleet.sent().size();
        for (int index = 0; index < 10; ++index)
            fleet.end(fleet.ask("/order/"), attempt_end::complete, 200, true);
        for (auto index = sent_before; index < fleet.sent().size(); ++index)
            CPPUNIT_ASSERT(fleet.sent()[index].endpoint.value() != "bad");
        // After a while a request that may be repeated looks whether it is well again.
        fleet.wait(milliseconds(6000));
        auto const probe = fleet.ask("/look/");
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), fleet.sent_for(probe)[0].endpoint.value());
    }

    // Connects fail at all endpoints alike while the own link is full.
    void own_trouble_ejects_nobody()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain", 100), driver::make_endpoint("e2", "plain", 100) });
        constexpr int enough = 200;
        auto const have_link = [&](double part) {
            for (int ticks = 0; ticks < enough; ++ticks)
                fleet.take(tick { milliseconds(0), 0.3, part });
        };
        auto const fail_some = [&] {
            for (int index = 0; index < 12; ++index) {
                auto const request = fleet.ask("/order/");
                if (!fleet.sent_for(request).empty())
                    fleet.end(request, attempt_end::not_sent);
            }
        };
        have_link(0.95);
        fail_some();
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected") == std::string::npos);
        have_link(0.1);
        fail_some();
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected") != std::string::npos);
    }

    void not_all_endpoints_are_ejected()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        for (int index = 0; index < 20; ++index) {
            auto const request = fleet.ask("/order/");
            if (fleet.sent_for(request).empty())
                continue;
            fleet.end(request, attempt_end::broken);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(fleet.ask("/order/")).size());
    }

    void an_older_configuration_is_not_taken()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        fleet.take(configuration_learned { driver::usual_configuration(9) });
        auto older = driver::usual_configuration(5);
        older.routes.clear();
        fleet.take(configuration_learned { older });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, fleet.reducer().routes().current().revision);
        CPPUNIT_ASSERT(!fleet.refusal_of(fleet.ask("/look/")));
    }

    void a_drain_ends_when_nothing_is_in_flight()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        auto const request = fleet.ask("/order/");
        fleet.take(drain_requested {});
        CPPUNIT_ASSERT(!fleet.reducer().is_ready());
        CPPUNIT_ASSERT(!fleet.has_stopped());
        fleet.end(request, attempt_end::complete, 200, true);
        fleet.wait(milliseconds(20));
        CPPUNIT_ASSERT(fleet.has_stopped());
    }

    void the_log_tells_the_cause_of_a_refusal()
    {
        driver fleet;
        fleet.start(two_of("plain"));
        fleet.end(fleet.ask("/order/"), attempt_end::broken);
        CPPUNIT_ASSERT(fleet.log().find("sent \"id\":\"id-1\"") != std::string::npos);
        CPPUNIT_ASSERT(fleet.log().find("attempt_failed \"id\":\"id-1\"") != std::string::npos);
        CPPUNIT_ASSERT(fleet.log().find("\"end\":\"broken\"") != std::string::npos);
        CPPUNIT_ASSERT(fleet.log().find("\"status\":502,\"reason\":\"answer_unknown\"") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_outcomes_test);

} // namespace shedhill::dispatch
