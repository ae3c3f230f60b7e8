// SPDX-License-Identifier: BSD-2-Clause
// Tests that answers are complete, that reported outcomes are true and that requests with a key run at most once. Each
// test causes a failure that could violate one of these guarantees.
#include "tests/joined/joined_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::joined {

class outcomes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outcomes_test);
    CPPUNIT_TEST(answers_reach_their_own_callers_when_messages_come_twice);
    CPPUNIT_TEST(an_answer_with_a_gap_is_never_called_whole);
    CPPUNIT_TEST(a_non_repeatable_request_is_not_sent_again_after_a_lost_endpoint);
    CPPUNIT_TEST(a_repeatable_request_is_answered_whole_after_a_lost_endpoint);
    CPPUNIT_TEST(an_answer_that_has_begun_is_not_begun_again);
    CPPUNIT_TEST(a_refusal_by_a_leaving_endpoint_runs_elsewhere_and_once);
    CPPUNIT_TEST(a_repeat_of_the_key_at_another_router_does_not_run);
    CPPUNIT_TEST(a_key_whose_request_was_not_run_may_be_used_again);
    CPPUNIT_TEST(two_teams_may_use_the_same_key);
    CPPUNIT_TEST(a_claim_whose_answer_was_lost_never_runs_twice);
    CPPUNIT_TEST(a_router_that_dies_after_sending_leaves_the_key_claimed);
    CPPUNIT_TEST(requests_that_need_a_claim_are_refused_at_once_while_the_platform_is_down);
    CPPUNIT_TEST(a_repeat_that_is_refused_is_not_called_not_run);
    CPPUNIT_TEST(claims_are_written_in_groups);
    CPPUNIT_TEST(an_unreachable_engine_is_retried_elsewhere);
    CPPUNIT_TEST(a_frozen_endpoint_is_given_up_and_its_late_answer_ignored);
    CPPUNIT_TEST(retries_are_bounded_when_everything_breaks);
    CPPUNIT_TEST(a_deadline_in_the_queue_is_answered_at_once_as_not_run);
    CPPUNIT_TEST(a_full_queue_refuses_at_once_with_a_retry_delay);
    CPPUNIT_TEST(a_caller_that_leaves_frees_its_slot);
    CPPUNIT_TEST(an_order_whose_caller_leaves_runs_to_its_end);
    CPPUNIT_TEST(a_draining_router_refuses_waiting_requests_and_finishes_running_ones);
    CPPUNIT_TEST(unknown_keys_and_missing_idempotency_keys_are_refused);
    CPPUNIT_TEST_SUITE_END();

    // A fleet whose routers have read the configuration and connected to the endpoints.
    struct ready_fleet : joined_fleet {
        explicit ready_fleet(fleet_options settings = {})
            : joined_fleet(std::move(settings))
        {
            declare_simple({ { "a", 1 }, { "b", 1 } });
            advance(milliseconds(3000));
        }
    };

    static request_plan plan(std::string const& body, std::string const& key = {}, std::size_t router = 0)
    {
        request_plan request;
        request.team = "a";
        request.body = body;
        request.router = router;
        request.idempotency_key = key;
        return request;
    }

    static void assert_whole(caller_view const& view, std::string const& body, std::int64_t tokens = 16)
    {
        CPPUNIT_ASSERT_EQUAL(1, view.final_answers);
        CPPUNIT_ASSERT_EQUAL(std::string(name_of(wire::run_outcome::ran)), std::string(name_of(view.outcome)));
        CPPUNIT_ASSERT_EQUAL(answer_text(body, tokens), view.text);
    }

    static void assert_refused(caller_view const& view, wire::run_outcome outcome, wire::reason why)
    {
        CPPUNIT_ASSERT_EQUAL(1, view.final_answers);
        CPPUNIT_ASSERT_EQUAL(std::string(name_of(why)), std::string(name_of(view.why)));
        CPPUNIT_ASSERT_EQUAL(std::string(name_of(outcome)), std::string(name_of(view.outcome)));
    }

    static int runs_of(joined_fleet const& fleet, std::string const& body)
    {
        auto const found = fleet.runs().find(body);
        return found == fleet.runs().end() ? 0 : found->second;
    }

    void answers_reach_their_own_callers_when_messages_come_twice()
    {
        ready_fleet fleet;
        fleet.set_faults({ 500, 0, milliseconds(0), 0 });
        std::map<request_number, std::string> bodies;
        for (int index = 0; index < 40; ++index) {
            auto const body = "stew-" + std::to_string(index) + " ";
            auto request = plan(body);
            request.is_streamed = index % 2 == 0;
            bodies[fleet.submit(request)] = body;
        }
        fleet.advance(milliseconds(20000));
        for (auto const& [number, body] : bodies) {
            assert_whole(fleet.caller(0, number), body);
            CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, body));
        }
    }

    void an_answer_with_a_gap_is_never_called_whole()
    {
        ready_fleet fleet;
        fleet.set_faults({ 0, 200, milliseconds(30), 100 });
        std::map<request_number, std::string> bodies;
        for (int index = 0; index < 40; ++index) {
            auto const body = "gap-" + std::to_string(index) + " ";
            bodies[fleet.submit(plan(body))] = body;
        }
        fleet.advance(milliseconds(90000));
        int whole = 0;
        for (auto const& [number, body] : bodies) {
            auto const& view = fleet.caller(0, number);
            CPPUNIT_ASSERT_EQUAL(1, view.final_answers);
            if (view.outcome == wire::run_outcome::ran) {
                ++whole;
                CPPUNIT_ASSERT_EQUAL(answer_text(body, 16), view.text);
            }
            if (view.outcome == wire::run_outcome::not_run)
                CPPUNIT_ASSERT_EQUAL(0, runs_of(fleet, body));
        }
        CPPUNIT_ASSERT(whole > 0 && whole < 40);
    }

    void a_non_repeatable_request_is_not_sent_again_after_a_lost_endpoint()
    {
        ready_fleet fleet;
        auto request = plan("clutch", "order-1");
        // The caller has received no part of the answer, so only the idempotency key forbids another attempt.
        request.is_streamed = false;
        auto const number = fleet.submit(request);
        fleet.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.cut(0, endpoint);
        fleet.advance(milliseconds(5000));
        assert_refused(fleet.caller(0, number), wire::run_outcome::unknown, wire::reason::endpoint_lost);
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
    }

    void a_repeatable_request_is_answered_whole_after_a_lost_endpoint()
    {
        ready_fleet fleet;
        auto request = plan("stew");
        request.is_streamed = false;
        auto const number = fleet.submit(request);
        fleet.advance(milliseconds(40));
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.cut(0, endpoint);
        fleet.advance(milliseconds(5000));
        assert_whole(fleet.caller(0, number), "stew");
        CPPUNIT_ASSERT_EQUAL(2, runs_of(fleet, "stew"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.counts().at("retry:endpoint_lost"));
    }

    void an_answer_that_has_begun_is_not_begun_again()
    {
        ready_fleet fleet;
        fleet.cut_answers_after(3);
        auto const number = fleet.submit(plan("stew"));
        fleet.advance(milliseconds(5000));
        auto const& view = fleet.caller(0, number);
        assert_refused(view, wire::run_outcome::unknown, wire::reason::engine_cut);
        CPPUNIT_ASSERT_EQUAL(answer_text("stew", 6), view.text);
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "stew"));
    }

    void a_refusal_by_a_leaving_endpoint_runs_elsewhere_and_once()
    {
        ready_fleet fleet;
        std::vector<request_number> requests;
        requests.reserve(100);
        for (int index = 0; index < 3; ++index)
            requests.push_back(fleet.submit(plan("clutch-" + std::to_string(index), "k" + std::to_string(index))));
        // The endpoints have sent the grants, and the request bodies are in transit.
        fleet.advance(milliseconds(28));
        fleet.drain_endpoint(0);
        fleet.drain_endpoint(1);
        fleet.advance(milliseconds(5000));
        for (std::size_t index = 0; index < requests.size(); ++index) {
            assert_whole(fleet.caller(0, requests[index]), "clutch-" + std::to_string(index));
            CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch-" + std::to_string(index)));
        }
        CPPUNIT_ASSERT(fleet.is_endpoint_stopped(0) && fleet.is_endpoint_stopped(1));
    }

    void a_repeat_of_the_key_at_another_router_does_not_run()
    {
        ready_fleet fleet;
        auto const first = fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(60));
        auto const second = fleet.submit(plan("clutch", "order-1", 1));
        auto const third = fleet.submit(plan("clutch", "order-1", 0));
        fleet.advance(milliseconds(5000));
        assert_whole(fleet.caller(0, first), "clutch");
        assert_refused(fleet.caller(1, second), wire::run_outcome::unknown, wire::reason::claim_taken);
        assert_refused(fleet.caller(0, third), wire::run_outcome::unknown, wire::reason::claim_taken);
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
    }

    void a_key_whose_request_was_not_run_may_be_used_again()
    {
        ready_fleet fleet;
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.block(0, endpoint, true);
        auto request = plan("clutch", "order-1");
        request.time_left = milliseconds(500);
        auto const first = fleet.submit(request);
        fleet.advance(milliseconds(1000));
        assert_refused(fleet.caller(0, first), wire::run_outcome::not_run, wire::reason::deadline_in_queue);
        CPPUNIT_ASSERT(fleet.claim_rows().empty());
        auto const second = fleet.submit(plan("clutch", "order-1", 1));
        fleet.advance(milliseconds(5000));
        assert_whole(fleet.caller(1, second), "clutch");
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
    }

    void two_teams_may_use_the_same_key()
    {
        ready_fleet fleet;
        auto const first = fleet.submit(plan("clutch-a", "order-1"));
        auto request = plan("clutch-b", "order-1");
        request.team = "b";
        auto const second = fleet.submit(request);
        fleet.advance(milliseconds(5000));
        assert_whole(fleet.caller(0, first), "clutch-a");
        assert_whole(fleet.caller(0, second), "clutch-b");
    }

    void a_claim_whose_answer_was_lost_never_runs_twice()
    {
        ready_fleet fleet;
        fleet.lose_claim_answers(1);
        auto const first = fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(10));
        // The repeat finds the key either claimed or already released; in no case do both requests run.
        auto const second = fleet.submit(plan("clutch", "order-1", 1));
        fleet.advance(milliseconds(5000));
        assert_refused(fleet.caller(0, first), wire::run_outcome::unknown, wire::reason::claim_unavailable);
        CPPUNIT_ASSERT(fleet.caller(0, first).retry_after.has_value());
        auto const is_second_run = fleet.caller(1, second).outcome == wire::run_outcome::ran;
        CPPUNIT_ASSERT_EQUAL(is_second_run ? 1 : 0, runs_of(fleet, "clutch"));
    }

    void a_router_that_dies_after_sending_leaves_the_key_claimed()
    {
        ready_fleet fleet;
        fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
        fleet.restart_router(0);
        auto const again = fleet.submit(plan("clutch", "order-1", 1));
        fleet.advance(milliseconds(5000));
        assert_refused(fleet.caller(1, again), wire::run_outcome::unknown, wire::reason::claim_taken);
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
    }

    void requests_that_need_a_claim_are_refused_at_once_while_the_platform_is_down()
    {
        ready_fleet fleet;
        fleet.set_platform_down(true);
        auto const claimed = fleet.submit(plan("clutch", "order-1"));
        auto const plain = fleet.submit(plan("stew"));
        fleet.advance(milliseconds(3000));
        auto const& view = fleet.caller(0, claimed);
        assert_refused(view, wire::run_outcome::unknown, wire::reason::claim_unavailable);
        CPPUNIT_ASSERT(view.retry_after.has_value());
        CPPUNIT_ASSERT(view.answered_at - view.asked_at < milliseconds(200));
        assert_whole(fleet.caller(0, plain), "stew");
        CPPUNIT_ASSERT_EQUAL(0, runs_of(fleet, "clutch"));
    }

    // Guards against answering the repeat of a key that has run with the outcome "not run" while the router is not
    // ready.
    void a_repeat_that_is_refused_is_not_called_not_run()
    {
        ready_fleet fleet;
        fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(60));
        fleet.restart_router(0);
        auto const again = fleet.submit(plan("clutch", "order-1"));
        assert_refused(fleet.caller(0, again), wire::run_outcome::unknown, wire::reason::router_not_ready);
    }

    void claims_are_written_in_groups()
    {
        ready_fleet fleet;
        std::vector<request_number> requests;
        requests.reserve(100);
        for (int index = 0; index < 60; ++index)
            requests.push_back(fleet.submit(plan("order-" + std::to_string(index), "k" + std::to_string(index))));
        fleet.advance(milliseconds(20000));
        for (auto const number : requests)
            CPPUNIT_ASSERT(fleet.caller(0, number).outcome == wire::run_outcome::ran);
        CPPUNIT_ASSERT(fleet.claim_writes() <= 4);
    }

    void an_unreachable_engine_is_retried_elsewhere()
    {
        ready_fleet fleet;
        fleet.set_engine_reachable(0, false);
        fleet.set_engine_reachable(1, false);
        std::vector<request_number> requests;
        requests.reserve(100);
        for (int index = 0; index < 6; ++index)
            requests.push_back(fleet.submit(plan("clutch-" + std::to_string(index), "k" + std::to_string(index))));
        fleet.advance(milliseconds(20000));
        for (std::size_t index = 0; index < requests.size(); ++index) {
            auto const& view = fleet.caller(0, requests[index]);
            auto const body = "clutch-" + std::to_string(index);
            CPPUNIT_ASSERT_EQUAL(view.outcome == wire::run_outcome::ran ? 1 : 0, runs_of(fleet, body));
            CPPUNIT_ASSERT(view.outcome != wire::run_outcome::unknown);
        }
        CPPUNIT_ASSERT(fleet.counts().at("retry:engine_unreachable") > 0);
    }

    void a_frozen_endpoint_is_given_up_and_its_late_answer_ignored()
    {
        fleet_options settings;
        settings.router.first_chunk_limit = milliseconds(1000);
        settings.router.next_chunk_limit = milliseconds(1000);
        ready_fleet fleet(settings);
        auto request = plan("stew");
        request.is_streamed = false;
        auto const number = fleet.submit(request);
        fleet.advance(milliseconds(40));
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.freeze_endpoint(endpoint, true);
        fleet.advance(milliseconds(3000));
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.freeze_endpoint(endpoint, false);
        fleet.advance(milliseconds(5000));
        assert_whole(fleet.caller(0, number), "stew");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.counts().at("retry:stalled"));
    }

    void retries_are_bounded_when_everything_breaks()
    {
        ready_fleet fleet;
        fleet.cut_answers_after(0);
        constexpr int request_count = 300;
        for (int index = 0; index < request_count; ++index)
            fleet.submit(plan("stew-" + std::to_string(index)));
        fleet.advance(milliseconds(60000));
        int runs = 0;
        for (auto const& [body, count] : fleet.runs())
            runs += count;
        // The retry budget is 10 percent of the requests plus a minimum of 10.
        CPPUNIT_ASSERT(runs <= request_count + request_count / 10 + 10);
        for (auto const& [number, view] : fleet.callers(0))
            CPPUNIT_ASSERT_EQUAL(1, view.final_answers);
    }

    void a_deadline_in_the_queue_is_answered_at_once_as_not_run()
    {
        ready_fleet fleet;
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.block(0, endpoint, true);
        auto request = plan("stew");
        request.time_left = milliseconds(700);
        auto const number = fleet.submit(request);
        fleet.advance(milliseconds(2000));
        auto const& view = fleet.caller(0, number);
        assert_refused(view, wire::run_outcome::not_run, wire::reason::deadline_in_queue);
        CPPUNIT_ASSERT(view.answered_at - view.asked_at <= milliseconds(760));
        CPPUNIT_ASSERT(view.retry_after.has_value());
    }

    void a_full_queue_refuses_at_once_with_a_retry_delay()
    {
        fleet_options settings;
        settings.router.queue_bound = 5;
        ready_fleet fleet(settings);
        for (std::size_t endpoint = 0; endpoint < fleet.endpoint_count(); ++endpoint)
            fleet.block(0, endpoint, true);
        for (int index = 0; index < 5; ++index)
            fleet.submit(plan("stew-" + std::to_string(index)));
        auto const refused = fleet.submit(plan("one too many"));
        auto const& view = fleet.caller(0, refused);
        assert_refused(view, wire::run_outcome::not_run, wire::reason::router_queue_full);
        CPPUNIT_ASSERT(view.answered_at == view.asked_at);
        CPPUNIT_ASSERT(view.retry_after.has_value());
    }

    void a_caller_that_leaves_frees_its_slot()
    {
        ready_fleet fleet;
        auto request = plan("stew");
        request.tokens = 10000;
        auto const number = fleet.submit(request);
        fleet.advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.busy_slots());
        fleet.leave(0, number);
        fleet.advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.busy_slots());
    }

    void an_order_whose_caller_leaves_runs_to_its_end()
    {
        ready_fleet fleet;
        auto const number = fleet.submit(plan("clutch", "order-1"));
        fleet.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(1, runs_of(fleet, "clutch"));
        fleet.leave(0, number);
        fleet.advance(milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.counts().at("runs_whole"));
        CPPUNIT_ASSERT(!fleet.counts().contains("runs_cancelled"));
        auto const again = fleet.submit(plan("clutch", "order-1", 1));
        fleet.advance(milliseconds(5000));
        assert_refused(fleet.caller(1, again), wire::run_outcome::unknown, wire::reason::claim_taken);
    }

    void a_draining_router_refuses_waiting_requests_and_finishes_running_ones()
    {
        ready_fleet fleet;
        std::vector<request_number> requests;
        requests.reserve(100);
        for (int index = 0; index < 30; ++index)
            requests.push_back(fleet.submit(plan("stew-" + std::to_string(index))));
        fleet.advance(milliseconds(50));
        auto const running = fleet.busy_slots();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 18 }, running);
        fleet.drain_router(0);
        CPPUNIT_ASSERT(!fleet.is_router_stopped(0));
        fleet.advance(milliseconds(5000));
        std::size_t whole = 0;
        for (std::size_t index = 0; index < requests.size(); ++index) {
            auto const& view = fleet.caller(0, requests[index]);
            auto const body = "stew-" + std::to_string(index);
            if (view.outcome == wire::run_outcome::ran) {
                ++whole;
                assert_whole(view, body);
                continue;
            }
            assert_refused(view, wire::run_outcome::not_run, wire::reason::router_draining);
            CPPUNIT_ASSERT(view.retry_after.has_value());
            CPPUNIT_ASSERT_EQUAL(0, runs_of(fleet, body));
        }
        CPPUNIT_ASSERT_EQUAL(running, whole);
        CPPUNIT_ASSERT(fleet.is_router_stopped(0));
    }

    void unknown_keys_and_missing_idempotency_keys_are_refused()
    {
        ready_fleet fleet;
        auto request = plan("stew");
        request.team = "nobody";
        assert_refused(fleet.caller(0, fleet.submit(request)), wire::run_outcome::not_run, wire::reason::unknown_key);
        request = plan("stew");
        request.pool = "another";
        assert_refused(
            fleet.caller(0, fleet.submit(request)), wire::run_outcome::not_run, wire::reason::no_allowed_endpoint);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcomes_test);

} // namespace shedhill::joined
