// SPDX-License-Identifier: BSD-2-Clause
// Checks that the soak's checks detect violations: each test violates one guarantee in a hand-made record.
#include "tests/soak/soak_record.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::soak {

class soak_record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(soak_record_test);
    CPPUNIT_TEST(a_correct_run_has_no_violations);
    CPPUNIT_TEST(an_order_that_runs_twice_is_found);
    CPPUNIT_TEST(a_false_not_run_status_is_found);
    CPPUNIT_TEST(another_requests_answer_is_found);
    CPPUNIT_TEST(a_stream_with_a_gap_is_found);
    CPPUNIT_TEST(only_an_answer_without_a_marked_end_may_be_short);
    CPPUNIT_TEST(a_stream_of_two_versions_is_found_over_its_callers_requests);
    CPPUNIT_TEST(a_request_that_nobody_sent_is_found);
    CPPUNIT_TEST(a_changed_request_is_found);
    CPPUNIT_TEST(a_lost_request_is_found_unless_something_failed);
    CPPUNIT_TEST(a_request_that_crossed_a_close_is_not_lost);
    CPPUNIT_TEST(a_missing_answer_is_found);
    CPPUNIT_TEST(a_denied_request_is_found);
    CPPUNIT_TEST(a_harmful_request_that_keeps_arriving_is_found);
    CPPUNIT_TEST(an_older_revision_is_found_within_one_instance);
    CPPUNIT_TEST(requests_during_backoff_are_found_unless_the_router_was_disrupted);
    CPPUNIT_TEST(requests_to_a_replica_that_left_are_found);
    CPPUNIT_TEST_SUITE_END();

    static soak_clock::time_point at(int time) { return soak_clock::time_point(std::chrono::milliseconds(time)); }

    static caller_request make_served(std::string const& id, request_form form, std::string body)
    {
        caller_request request;
        request.id = id;
        request.form = form;
        request.sent_at = at(1000);
        request.ended_at = at(1100);
        request.status = 200;
        request.answered_id = id;
        request.signature = "signed";
        request.body = std::move(body);
        return request;
    }

    static soak_record make_order_record()
    {
        soak_record record;
        record.requests.push_back(make_served("a", request_form::order, "team=kitchen key= body=order of a"));
        record.executions["a"] = { 1, 1, "POST", target_of(request_form::order) };
        return record;
    }

    static std::size_t count_violations(soak_record const& record) { return find_violations(record).size(); }

    void a_correct_run_has_no_violations()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(make_order_record()));
    }

    void only_an_answer_without_a_marked_end_may_be_short()
    {
        auto record = make_order_record();
        record.requests[0].body = "team=kitchen key= body=ord";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        record.requests[0].has_marked_end = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        record.requests[0].body = "another order";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_stream_of_two_versions_is_found_over_its_callers_requests()
    {
        auto const event = [](int number, std::string const& data) {
            return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
        };
        soak_record record;
        auto first = make_served("a", request_form::stream, event(1, "a@v1") + "id: 2\ndata: a@v");
        first.end = caller_end::left;
        auto next = make_served("b", request_form::stream, {});
        next.first_request = "a";
        next.last_event = 1;
        for (int number = 2; number <= 10; ++number)
            next.body += event(number, "b@v1");
        CPPUNIT_ASSERT_EQUAL(1, first.events());
        for (auto const* id : { "a", "b" })
            record.executions[id] = { 1, 1, "POST", target_of(request_form::stream) };
        record.requests = { first, next };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        record.requests.back().body.replace(next.body.rfind("@v1"), 3, "@v2");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    // Returns a record of four orders of one router; the answer to the first one carries a notice of the replica, and
    // the others reach the replica at the given time.
    static soak_record make_notice_record(int later)
    {
        soak_record record;
        for (auto const* id : { "a", "b", "c", "d" }) {
            record.requests.push_back(
                make_served(id, request_form::order, std::string("team=kitchen key= body=order of ") + id));
            record.executions[id] = { 1, 1, "POST", target_of(request_form::order) };
            bool const is_first = record.requests.size() == 1;
            record.arrivals.push_back({ "i-1x", id, at(is_first ? 1050 : later) });
            if (!is_first)
                record.requests.back().sent_at = record.requests.back().ended_at = at(later);
        }
        return record;
    }

    void requests_during_backoff_are_found_unless_the_router_was_disrupted()
    {
        auto record = make_notice_record(2000);
        record.backoffs.push_back({ "i-1x", "a", at(1060) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        auto excused = record;
        excused.router_disruptions.push_back({ 0, { at(1500), at(1600) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(excused));
        excused = record;
        excused.link_disruptions.push_back({ 1, { at(1000), at(1100) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(excused));
        // Disruptions of another replica's link or of another router excuse nothing.
        record.link_disruptions.push_back({ 11, { at(1000), at(1100) } });
        record.router_disruptions.push_back({ 1, { at(1500), at(1600) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        // Two requests are allowed during the back-off. Requests are also allowed in the first half second and after
        // the back-off.
        record.arrivals.pop_back();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        for (int const later : { 1500, 3061 }) {
            auto outside = make_notice_record(later);
            outside.backoffs.push_back({ "i-1x", "a", at(1060) });
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(outside));
        }
    }

    void requests_to_a_replica_that_left_are_found()
    {
        auto record = make_notice_record(2200);
        record.leavings.push_back({ "i-1x", "a", at(1060) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, count_violations(record));
        record.router_disruptions.push_back({ 0, { at(1500), at(1600) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        auto early = make_notice_record(2000);
        early.leavings.push_back({ "i-1x", "a", at(1060) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(early));
    }

    void an_order_that_runs_twice_is_found()
    {
        auto record = make_order_record();
        record.executions["a"].runs = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_false_not_run_status_is_found()
    {
        for (auto const status : { 429U, 503U, 408U, 421U }) {
            auto record = make_order_record();
            record.requests[0].status = status;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        }
        auto record = make_order_record();
        record.requests[0].status = 502;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
    }

    void another_requests_answer_is_found()
    {
        auto record = make_order_record();
        record.requests[0].answered_id = "b";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        record = make_order_record();
        record.requests[0].signature.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_stream_with_a_gap_is_found()
    {
        std::string whole;
        for (int number = 1; number <= 10; ++number)
            whole += "id: " + std::to_string(number) + "\ndata: s\n\n";
        soak_record record;
        record.requests.push_back(make_served("s", request_form::stream, whole));
        record.executions["s"] = { 2, 2, "POST", target_of(request_form::stream) };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        record.requests[0].body.erase(whole.find("id: 4"), std::string("id: 4\ndata: s\n\n").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        record.requests[0].body = whole;
        record.executions["s"].runs = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_request_that_nobody_sent_is_found()
    {
        auto record = make_order_record();
        record.executions["ghost"] = { 1, 1, "POST", target_of(request_form::order) };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_changed_request_is_found()
    {
        auto record = make_order_record();
        record.executions["a"].target = "/order/a";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_lost_request_is_found_unless_something_failed()
    {
        for (auto const end : { caller_end::broken, caller_end::closed }) {
            auto record = make_order_record();
            record.requests[0].end = end;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
            record.failures.push_back({ at(1050), at(2000) });
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
            record.failures = { { at(3000), at(4000) } };
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        }
    }

    void a_request_that_crossed_a_close_is_not_lost()
    {
        auto record = make_order_record();
        record.requests[0].end = caller_end::closed;
        record.executions.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
    }

    void a_missing_answer_is_found()
    {
        auto record = make_order_record();
        record.requests[0].end = caller_end::unanswered;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }

    void a_denied_request_is_found()
    {
        for (auto const status : { 400U, 401U, 404U }) {
            auto record = make_order_record();
            record.requests[0].status = status;
            record.executions.clear();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        }
    }

    void a_harmful_request_that_keeps_arriving_is_found()
    {
        soak_record record;
        for (int index = 0; index < 8; ++index) {
            auto const id = "crash-" + std::to_string(index);
            record.harmful_requests.push_back({ id, "/look/crash/1", 0 });
            record.arrivals.push_back({ "i-" + std::to_string(index), id, at(1000 * index) });
            record.crashes.push_back(record.arrivals.back());
        }
        // The third crash is at 2 s; two requests arrive later than 5 s.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        for (int index = 8; index < 10; ++index) {
            auto const id = "crash-" + std::to_string(index);
            record.harmful_requests.push_back({ id, "/look/crash/1", 0 });
            record.arrivals.push_back({ "i-" + std::to_string(index), id, at(1000 * index) });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
        record.router_disruptions.push_back({ 0, { at(5000), at(9000) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
    }

    void an_older_revision_is_found_within_one_instance()
    {
        soak_record record;
        record.revisions = { { 0, 1, 2 }, { 0, 1, 3 }, { 1, 1, 2 }, { 0, 2, 2 } };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_violations(record));
        record.revisions.push_back({ 0, 2, 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_violations(record));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_record_test);

} // namespace shedhill::soak
