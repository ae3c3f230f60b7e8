// SPDX-License-Identifier: BSD-2-Clause
// The soak's checks find what they are there to find: each promise broken by hand.
#include "tests/soak/soak_record.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::soak {

class soak_record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(soak_record_test);
    CPPUNIT_TEST(a_sound_run_breaks_nothing);
    CPPUNIT_TEST(an_order_that_runs_twice_is_found);
    CPPUNIT_TEST(a_false_not_run_is_found);
    CPPUNIT_TEST(another_requests_answer_is_found);
    CPPUNIT_TEST(a_stream_with_a_gap_is_found);
    CPPUNIT_TEST(a_request_that_nobody_asked_is_found);
    CPPUNIT_TEST(a_changed_request_is_found);
    CPPUNIT_TEST(a_lost_request_is_found_unless_something_failed);
    CPPUNIT_TEST(a_request_that_crossed_a_close_is_not_lost);
    CPPUNIT_TEST(a_missing_answer_is_found);
    CPPUNIT_TEST(a_denial_is_found);
    CPPUNIT_TEST(a_harmful_request_that_goes_on_is_found);
    CPPUNIT_TEST(an_older_revision_is_found_within_one_life);
    CPPUNIT_TEST(what_comes_in_a_rest_is_found_unless_the_router_was_in_trouble);
    CPPUNIT_TEST(what_comes_to_one_that_left_is_found);
    CPPUNIT_TEST_SUITE_END();

    static soak_clock::time_point at(int time) { return soak_clock::time_point(std::chrono::milliseconds(time)); }

    static caller_request served(std::string const& id, request_form form, std::string body)
    {
        caller_request request;
        request.id = id;
        request.form = form;
        request.asked_at = at(1000);
        request.ended_at = at(1100);
        request.status = 200;
        request.answered_id = id;
        request.signature = "signed";
        request.body = std::move(body);
        return request;
    }

    static soak_record sound_order()
    {
        soak_record record;
        record.requests.push_back(served("a", request_form::order, "team=kitchen key= body=order of a"));
        record.replicas["a"] = { 1, 1, "POST", target_of(request_form::order) };
        return record;
    }

    static std::size_t broken_in(soak_record const& record) { return find_broken_promises(record).size(); }

    void a_sound_run_breaks_nothing() { CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(sound_order())); }

    // Three orders of one router, of which the first told something of its replica.
    static soak_record noticed(int later)
    {
        soak_record record;
        for (auto const* id : { "a", "b", "c", "d" }) {
            record.requests.push_back(
                served(id, request_form::order, std::string("team=kitchen key= body=order of ") + id));
            record.replicas[id] = { 1, 1, "POST", target_of(request_form::order) };
            bool const is_first = record.requests.size() == 1;
            record.arrivals.push_back({ "i-1x", id, at(is_first ? 1050 : later) });
            if (!is_first)
                record.requests.back().asked_at = record.requests.back().ended_at = at(later);
        }
        return record;
    }

    void what_comes_in_a_rest_is_found_unless_the_router_was_in_trouble()
    {
        auto record = noticed(2000);
        record.rests.push_back({ "i-1x", "a", at(1060) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        auto excused = record;
        excused.router_troubles.push_back({ 0, { at(1500), at(1600) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(excused));
        excused = record;
        excused.link_troubles.push_back({ 1, { at(1000), at(1100) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(excused));
        // Another replica's link, or another router's trouble, excuses nothing.
        record.link_troubles.push_back({ 11, { at(1000), at(1100) } });
        record.router_troubles.push_back({ 1, { at(1500), at(1600) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        // Two are borne, and what comes before half a second or after the rest.
        record.arrivals.pop_back();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
        for (int const later : { 1500, 3061 }) {
            auto outside = noticed(later);
            outside.rests.push_back({ "i-1x", "a", at(1060) });
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(outside));
        }
    }

    void what_comes_to_one_that_left_is_found()
    {
        auto record = noticed(2200);
        record.leavings.push_back({ "i-1x", "a", at(1060) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, broken_in(record));
        record.router_troubles.push_back({ 0, { at(1500), at(1600) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
        auto early = noticed(2000);
        early.leavings.push_back({ "i-1x", "a", at(1060) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(early));
    }

    void an_order_that_runs_twice_is_found()
    {
        auto record = sound_order();
        record.replicas["a"].runs = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }

    void a_false_not_run_is_found()
    {
        for (auto const status : { 429U, 503U, 408U, 421U }) {
            auto record = sound_order();
            record.requests[0].status = status;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        }
        auto record = sound_order();
        record.requests[0].status = 502;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
    }

    void another_requests_answer_is_found()
    {
        auto record = sound_order();
        record.requests[0].answered_id = "b";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        record = sound_order();
        record.requests[0].signature.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }

    void a_stream_with_a_gap_is_found()
    {
        std::string whole;
        for (int number = 1; number <= 10; ++number)
            whole += "id: " + std::to_string(number) + "\ndata: s\n\n";
        soak_record record;
        record.requests.push_back(served("s", request_form::stream, whole));
        record.replicas["s"] = { 2, 2, "POST", target_of(request_form::stream) };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
        record.requests[0].body.erase(whole.find("id: 4"), std::string("id: 4\ndata: s\n\n").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        record.requests[0].body = whole;
        record.replicas["s"].runs = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }

    void a_request_that_nobody_asked_is_found()
    {
        auto record = sound_order();
        record.replicas["ghost"] = { 1, 1, "POST", target_of(request_form::order) };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }

    void a_changed_request_is_found()
    {
        auto record = sound_order();
        record.replicas["a"].target = "/order/a";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }

    void a_lost_request_is_found_unless_something_failed()
    {
        for (auto const end : { caller_end::broken, caller_end::closed }) {
            auto record = sound_order();
            record.requests[0].end = end;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
            record.failures.push_back({ at(1050), at(2000) });
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
            record.failures = { { at(3000), at(4000) } };
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        }
    }

    void a_request_that_crossed_a_close_is_not_lost()
    {
        auto record = sound_order();
        record.requests[0].end = caller_end::closed;
        record.replicas.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
    }

    void a_missing_answer_is_found()
    {
        auto record = sound_order();
        record.requests[0].end = caller_end::unanswered;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }

    void a_denial_is_found()
    {
        for (auto const status : { 400U, 401U, 404U }) {
            auto record = sound_order();
            record.requests[0].status = status;
            record.replicas.clear();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        }
    }

    void a_harmful_request_that_goes_on_is_found()
    {
        soak_record record;
        for (int index = 0; index < 8; ++index) {
            auto const id = "crash-" + std::to_string(index);
            record.harmful.push_back({ id, "/look/crash/1", 0 });
            record.arrivals.push_back({ "i-" + std::to_string(index), id, at(1000 * index) });
            record.crashes.push_back(record.arrivals.back());
        }
        // The third ended at 2 s; two came after 5 s.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
        for (int index = 8; index < 10; ++index) {
            auto const id = "crash-" + std::to_string(index);
            record.harmful.push_back({ id, "/look/crash/1", 0 });
            record.arrivals.push_back({ "i-" + std::to_string(index), id, at(1000 * index) });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
        record.router_troubles.push_back({ 0, { at(5000), at(9000) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
    }

    void an_older_revision_is_found_within_one_life()
    {
        soak_record record;
        record.revisions = { { 0, 1, 2 }, { 0, 1, 3 }, { 1, 1, 2 }, { 0, 2, 2 } };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, broken_in(record));
        record.revisions.push_back({ 0, 2, 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, broken_in(record));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_record_test);

} // namespace shedhill::soak
