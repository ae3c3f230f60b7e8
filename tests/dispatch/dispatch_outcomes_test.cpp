// SPDX-License-Identifier: BSD-2-Clause
// Tests the outcome of a request for each end of an attempt: it is sent again, refused as not run, refused as unknown,
// or its answer is forwarded or aborted.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class dispatch_outcomes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_outcomes_test);
    CPPUNIT_TEST(an_unknown_end_is_never_called_not_run);
    CPPUNIT_TEST(an_unknown_end_is_repeated_where_that_is_allowed);
    CPPUNIT_TEST(an_endpoints_own_failure_is_repeated_where_that_is_allowed);
    CPPUNIT_TEST(an_endpoints_own_failure_is_forwarded_where_no_other_has_a_free_slot);
    CPPUNIT_TEST(a_plain_service_that_was_slow_is_tried_again);
    CPPUNIT_TEST(a_request_that_was_not_run_goes_to_another_endpoint);
    CPPUNIT_TEST(a_request_is_sent_to_no_more_endpoints_than_allowed);
    CPPUNIT_TEST(unsent_attempts_do_not_count);
    CPPUNIT_TEST(a_broken_stream_is_resumed_elsewhere);
    CPPUNIT_TEST(a_broken_stream_that_cannot_be_resumed_is_aborted);
    CPPUNIT_TEST(a_retired_endpoint_gets_nothing_more);
    CPPUNIT_TEST(a_draining_endpoint_gets_nothing_new);
    CPPUNIT_TEST(a_caller_that_disconnects_cancels_the_attempt);
    CPPUNIT_TEST(the_time_limit_ends_a_request_at_once);
    CPPUNIT_TEST(a_late_end_of_an_old_attempt_changes_nothing);
    CPPUNIT_TEST(a_stalled_order_is_not_sent_again);
    CPPUNIT_TEST(a_stalled_look_is_sent_again);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static std::vector<endpoint_entry> make_two(std::string const& pool)
    {
        return { driver::make_endpoint("e1", pool), driver::make_endpoint("e2", pool) };
    }

    void an_unknown_end_is_never_called_not_run()
    {
        for (auto const ending : { attempt_end::broken, attempt_end::silent }) {
            driver fleet;
            fleet.start(make_two("plain"));
            auto const request = fleet.ask("/order/");
            fleet.end(request, ending);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, fleet.refusal_of(request)->status);
            CPPUNIT_ASSERT(!fleet.refusal_of(request)->retry_after);
        }
    }

    void an_unknown_end_is_repeated_where_that_is_allowed()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/look/");
        fleet.end(request, attempt_end::broken);
        auto const sent = fleet.sent_for(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sent.size());
        CPPUNIT_ASSERT(sent[0].endpoint != sent[1].endpoint);
        // The first attempt may have run, so that the refusal must not claim that the request was not run.
        fleet.end(request, attempt_end::not_run, 503);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, fleet.refusal_of(request)->status);
    }

    void an_endpoints_own_failure_is_repeated_where_that_is_allowed()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const look = fleet.ask("/look/");
        fleet.end(look, attempt_end::failed, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(look).size());
        CPPUNIT_ASSERT(!fleet.is_forwarded(look));
        // Two endpoints have failed, so that the failure of the second is forwarded.
        fleet.end(look, attempt_end::failed, 500);
        CPPUNIT_ASSERT(fleet.is_forwarded(look));
        auto const order = fleet.ask("/order/");
        fleet.end(order, attempt_end::failed, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(order).size());
        CPPUNIT_ASSERT(fleet.is_forwarded(order));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
    }

    // Guards against a router that refuses everything although all slots are free: a link that delayed answers for a
    // while raised the estimated answer time above the objective, and without requests no new answer corrected it.
    void a_plain_service_that_was_slow_is_tried_again()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        for (int index = 0; index < 20; ++index) {
            auto const slow = fleet.ask("/look/");
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(slow).size());
            fleet.wait(milliseconds(1500));
            fleet.end(slow, attempt_end::complete, 200, true);
        }
        auto const next = fleet.ask("/look/");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(next).size());
    }

    // Guards against a router that answers 502 in place of the endpoint's own answer.
    void an_endpoints_own_failure_is_forwarded_where_no_other_has_a_free_slot()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        auto const look = fleet.ask("/look/");
        fleet.end(look, attempt_end::failed, 500);
        CPPUNIT_ASSERT(!fleet.is_forwarded(look));
        fleet.wait(milliseconds(400));
        CPPUNIT_ASSERT(fleet.is_forwarded(look));
        CPPUNIT_ASSERT(!fleet.refusal_of(look));
        // A broken attempt has no complete answer that could be forwarded.
        auto const broken = fleet.ask("/look/");
        fleet.end(broken, attempt_end::broken);
        fleet.wait(milliseconds(400));
        CPPUNIT_ASSERT(!fleet.is_forwarded(broken));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, fleet.refusal_of(broken)->status);
    }

    void a_request_that_was_not_run_goes_to_another_endpoint()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/order/");
        fleet.end(request, attempt_end::not_run, 503);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
        fleet.end(request, attempt_end::not_run, 503);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(request)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(request)->retry_after.has_value());
    }

    void a_request_is_sent_to_no_more_endpoints_than_allowed()
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

    void unsent_attempts_do_not_count()
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
        fleet.start(make_two("model"));
        auto const request = fleet.ask("/resumable/");
        fleet.begin(request);
        fleet.end(request, attempt_end::broken, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(!fleet.is_aborted(request));
        fleet.end(request, attempt_end::complete, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
    }

    void a_broken_stream_that_cannot_be_resumed_is_aborted()
    {
        driver fleet;
        fleet.start(make_two("model"));
        auto const request = fleet.ask("/once/");
        fleet.begin(request);
        fleet.end(request, attempt_end::broken, 200, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(fleet.is_aborted(request));
        CPPUNIT_ASSERT(!fleet.refusal_of(request));
    }

    // Status 421 means that another instance answered at the endpoint's address, which retires the endpoint.
    void a_retired_endpoint_gets_nothing_more()
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
        auto endpoints = make_two("plain");
        fleet.start(endpoints);
        endpoints[0].is_draining = true;
        fleet.deliver(endpoints_listed { endpoints });
        for (int index = 0; index < 6; ++index)
            fleet.ask("/look/");
        for (auto const& sent : fleet.sent())
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), sent.endpoint.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, fleet.sent().size());
    }

    void a_caller_that_disconnects_cancels_the_attempt()
    {
        driver fleet;
        fleet.start(make_two("model"));
        auto const request = fleet.ask("/once/");
        fleet.deliver(caller_left { request });
        CPPUNIT_ASSERT(fleet.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
        CPPUNIT_ASSERT_EQUAL(
            std::uint32_t { 0 }, fleet.reducer().occupancy_of(pool_name("model"), fleet.now()).used_slots);
    }

    void the_time_limit_ends_a_request_at_once()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/order/");
        fleet.wait(milliseconds(4100));
        CPPUNIT_ASSERT(fleet.is_cancelled(request));
        // The request was sent and may have run.
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 504 }, fleet.refusal_of(request)->status);
    }

    void a_late_end_of_an_old_attempt_changes_nothing()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/look/");
        auto const first = fleet.sent_for(request)[0].attempt;
        fleet.end(request, attempt_end::broken);
        fleet.deliver(attempt_ended { request, first, attempt_end::complete, 200, 0, true });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.reducer().active_requests());
    }

    void a_stalled_order_is_not_sent_again()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/order/");
        fleet.deliver(attempt_stalled { request, fleet.sent_for(request)[0].attempt, false });
        CPPUNIT_ASSERT(!fleet.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
    }

    void a_stalled_look_is_sent_again()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/look/");
        fleet.deliver(attempt_stalled { request, fleet.sent_for(request)[0].attempt, false });
        CPPUNIT_ASSERT(fleet.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(request).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_outcomes_test);

} // namespace shedhill::dispatch
