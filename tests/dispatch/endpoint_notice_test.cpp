// SPDX-License-Identifier: BSD-2-Clause
// Endpoints that ask for rest, and endpoints that say in an answer that they leave.
//
// The story: three engines turned all requests away and asked each router for three seconds of rest. Their callers were
// refused, again and again: within these seconds one router sent up to eight more requests to an engine that had asked
// it. Order of events: a request arrives, is turned away 5 ms later with "not run, come back in 3 s"; the next request
// is placed; the engine runs less and less, so it looks the best there is; the request goes there as its first attempt
// and is turned away; nine such in a row before the engine counts as ill. The cause: of an answer only its kind reached
// the decision. For how long the endpoint wanted nothing was dropped with the head that said it. The evidence: the
// lines of a router show "sent" with attempt 1 and no wait milliseconds after such an answer, to an engine that was not
// ejected; a router before endpoints of a test that ask for rest once sends them 60 requests a second.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace shedhill::dispatch {

namespace {

using driver = dispatch_driver;

constexpr milliseconds usual_rest { 3000 };

endpoint_entry plain(std::string const& name, std::uint64_t started_at_ms = 0)
{
    auto entry = driver::make_endpoint(name, "plain", 1000);
    entry.started_at_ms = started_at_ms;
    return entry;
}

void tell(driver& fleet, request_number request, endpoint_notice notice)
{
    auto const sent = fleet.sent_for(request).back();
    fleet.take(endpoint_notice_received { request, sent.endpoint, sent.instance, notice });
}

void ask_for_rest(driver& fleet, request_number request, milliseconds rest = usual_rest)
{
    tell(fleet, request, { rest, false });
    fleet.end(request, attempt_end::not_run, 503);
}

void answer_leaving(driver& fleet, request_number request)
{
    tell(fleet, request, { milliseconds(0), true });
    fleet.end(request, attempt_end::complete, 200);
}

// Asks each ten milliseconds and answers at once. How often each endpoint was sent something.
std::map<std::string, int> play(driver& fleet, milliseconds time, std::string const& path = "/look/x")
{
    std::map<std::string, int> sent;
    for (auto const until = fleet.now() + time; fleet.now() < until; fleet.wait(milliseconds(10))) {
        auto const request = fleet.ask(path);
        for (auto const& attempt : fleet.sent_for(request))
            ++sent[attempt.endpoint.value()];
        if (!fleet.sent_for(request).empty())
            fleet.end(request, attempt_end::complete, 200);
    }
    return sent;
}

} // namespace

class endpoint_notice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_test);
    CPPUNIT_TEST(an_endpoint_that_asked_for_rest_gets_nothing_until_its_end);
    CPPUNIT_TEST(an_engine_that_rests_is_not_the_best_for_being_idle);
    CPPUNIT_TEST(what_waits_or_is_repeated_does_not_go_to_one_that_rests);
    CPPUNIT_TEST(an_ejected_endpoint_that_rests_is_not_probed);
    CPPUNIT_TEST(where_most_are_ejected_one_that_rests_gets_nothing);
    CPPUNIT_TEST(a_shorter_rest_does_not_shorten_a_longer_one);
    CPPUNIT_TEST(a_rest_outlives_its_row);
    CPPUNIT_TEST(a_rest_binds_one_start_only);
    CPPUNIT_TEST(where_all_rest_callers_are_told_at_once_when_to_return);
    CPPUNIT_TEST(where_a_rest_ends_soon_callers_wait);
    CPPUNIT_TEST(after_its_rest_an_endpoint_is_used_again_a_little_at_first);
    CPPUNIT_TEST(a_first_request_that_is_not_answered_keeps_nobody_out_for_long);
    CPPUNIT_TEST(a_rest_is_no_illness);
    CPPUNIT_TEST(a_rest_is_believed_for_a_limited_time);
    CPPUNIT_TEST(an_endpoint_that_says_that_it_leaves_gets_nothing_more);
    CPPUNIT_TEST(who_leaves_is_bound_by_that_whatever_its_row_says);
    CPPUNIT_TEST(another_start_of_one_that_left_is_used);
    CPPUNIT_TEST(what_runs_at_an_endpoint_that_leaves_goes_on);
    CPPUNIT_TEST_SUITE_END();

    void an_endpoint_that_asked_for_rest_gets_nothing_until_its_end()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const resting = fleet.sent_for(request).back().endpoint.value();
        ask_for_rest(fleet, request);
        auto const sent = play(fleet, usual_rest - milliseconds(20));
        CPPUNIT_ASSERT(!sent.contains(resting));
    }

    void an_engine_that_rests_is_not_the_best_for_being_idle()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("m1", "model", 100), driver::make_endpoint("m2", "model", 100) });
        auto const request = fleet.ask("/resumable/x");
        auto const resting = fleet.sent_for(request).back().endpoint.value();
        ask_for_rest(fleet, request);
        CPPUNIT_ASSERT(!play(fleet, usual_rest - milliseconds(20), "/resumable/x").contains(resting));
    }

    void what_waits_or_is_repeated_does_not_go_to_one_that_rests()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const first = fleet.ask("/look/x");
        auto const second = fleet.ask("/order/x");
        ask_for_rest(fleet, first);
        auto const resting = fleet.sent_for(first).front().endpoint;
        // The repeat goes to the other one, which asks for rest too: nothing is left for the one that waits then.
        ask_for_rest(fleet, first);
        fleet.end(second, attempt_end::not_run, 503);
        fleet.wait(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(first).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(second).size());
        CPPUNIT_ASSERT(fleet.refusal_of(second).has_value());
    }

    static void eject(driver& fleet, std::string const& name)
    {
        constexpr int enough = 3;
        for (int failures = 0; failures < enough; ++failures) {
            auto const request = fleet.ask("/look/x");
            CPPUNIT_ASSERT_EQUAL(name, fleet.sent_for(request).back().endpoint.value());
            fleet.end(request, attempt_end::broken, 200);
        }
    }

    void an_ejected_endpoint_that_rests_is_not_probed()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2"), plain("e3") });
        auto const request = fleet.ask("/look/x");
        auto const resting = fleet.sent_for(request).back().endpoint.value();
        fleet.end(request, attempt_end::complete, 200);
        auto const last = fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(resting, fleet.sent_for(last).back().endpoint.value());
        eject(fleet, resting);
        ask_for_rest(fleet, last);
        CPPUNIT_ASSERT(!play(fleet, usual_rest - milliseconds(20)).contains(resting));
    }

    void where_most_are_ejected_one_that_rests_gets_nothing()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const resting = fleet.sent_for(request).back().endpoint.value();
        std::string const other = resting == "e1" ? "e2" : "e1";
        ask_for_rest(fleet, request);
        fleet.end(request, attempt_end::complete, 200);
        eject(fleet, other);
        auto const sent = play(fleet, usual_rest - milliseconds(20));
        CPPUNIT_ASSERT(!sent.contains(resting));
        CPPUNIT_ASSERT(sent.contains(other));
    }

    void a_shorter_rest_does_not_shorten_a_longer_one()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const first = fleet.ask("/look/x");
        auto const second = fleet.ask("/look/x");
        auto const resting = fleet.sent_for(first).back().endpoint.value();
        CPPUNIT_ASSERT_EQUAL(resting, fleet.sent_for(second).back().endpoint.value());
        ask_for_rest(fleet, first);
        ask_for_rest(fleet, second, milliseconds(100));
        CPPUNIT_ASSERT(!play(fleet, usual_rest - milliseconds(20)).contains(resting));
    }

    void a_rest_outlives_its_row()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const resting = fleet.sent_for(request).back().endpoint.value();
        ask_for_rest(fleet, request);
        fleet.end(request, attempt_end::complete, 200);
        fleet.take(endpoints_listed { { plain(resting == "e1" ? "e2" : "e1") } });
        fleet.take(endpoints_listed { { plain("e1"), plain("e2") } });
        CPPUNIT_ASSERT(!play(fleet, usual_rest - milliseconds(20)).contains(resting));
    }

    void a_rest_binds_one_start_only()
    {
        driver fleet;
        fleet.start({ plain("e1", 1) });
        ask_for_rest(fleet, fleet.ask("/look/x"));
        fleet.take(endpoints_listed { { plain("e1", 2) } });
        CPPUNIT_ASSERT(play(fleet, milliseconds(100)).contains("e1"));
    }

    void where_all_rest_callers_are_told_at_once_when_to_return()
    {
        constexpr int callers = 50;
        constexpr milliseconds passed { 500 };
        driver fleet;
        fleet.start({ plain("e1") });
        ask_for_rest(fleet, fleet.ask("/look/x"));
        fleet.wait(passed);
        std::set<milliseconds> told;
        for (int caller = 0; caller < callers; ++caller) {
            auto const refused = fleet.refusal_of(fleet.ask("/look/x"));
            CPPUNIT_ASSERT(refused.has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, refused->status);
            CPPUNIT_ASSERT(*refused->retry_after >= usual_rest - passed);
            CPPUNIT_ASSERT(*refused->retry_after <= usual_rest + milliseconds(1000));
            told.insert(*refused->retry_after);
        }
        // They do not all come back in one moment.
        CPPUNIT_ASSERT(told.size() > callers / 2);
    }

    void where_a_rest_ends_soon_callers_wait()
    {
        constexpr milliseconds rest { 50 };
        driver fleet;
        fleet.start({ plain("e1") });
        ask_for_rest(fleet, fleet.ask("/look/x"), rest);
        fleet.wait(milliseconds(20));
        auto const request = fleet.ask("/look/x");
        CPPUNIT_ASSERT(fleet.sent_for(request).empty());
        fleet.wait(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
    }

    void after_its_rest_an_endpoint_is_used_again_a_little_at_first()
    {
        constexpr int waiting = 40;
        constexpr std::size_t few = 2;
        constexpr milliseconds answer { 20 };
        driver fleet;
        fleet.start({ plain("e1") });
        ask_for_rest(fleet, fleet.ask("/look/x"), milliseconds(1000));
        fleet.wait(milliseconds(980));
        for (int index = 0; index < waiting; ++index)
            fleet.ask("/look/x");
        auto const before = fleet.sent().size();
        fleet.wait(milliseconds(30));
        auto const first = fleet.sent().size() - before;
        CPPUNIT_ASSERT(first >= 1 && first <= few);
        // All that is sent is answered, and each answer lets more in: all of the endpoint is used again within a
        // second.
        auto answered = before;
        for (milliseconds played { 0 }; played < milliseconds(1000); played += answer) {
            fleet.ask("/look/x");
            fleet.wait(answer);
            for (auto const sent = fleet.sent().size(); answered < sent; ++answered)
                fleet.end(fleet.sent().at(answered).request, attempt_end::complete, 200);
        }
        auto const before_many = fleet.sent().size();
        for (int index = 0; index < waiting; ++index)
            fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(waiting), fleet.sent().size() - before_many);
    }

    void a_first_request_that_is_not_answered_keeps_nobody_out_for_long()
    {
        constexpr std::size_t many = 20;
        driver fleet;
        fleet.start({ plain("e1") });
        ask_for_rest(fleet, fleet.ask("/look/x"), milliseconds(1000));
        fleet.wait(milliseconds(1000));
        // Its caller goes away before the answer.
        fleet.take(caller_left { fleet.ask("/look/x") });
        fleet.wait(milliseconds(2000));
        auto const before = fleet.sent().size();
        for (std::size_t index = 0; index < many; ++index)
            fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(many, fleet.sent().size() - before);
    }

    void a_rest_is_no_illness()
    {
        constexpr int many = 12;
        constexpr milliseconds rest { 200 };
        driver fleet;
        fleet.start({ plain("e1") });
        std::vector<request_number> asked;
        asked.reserve(many);
        for (int index = 0; index < many; ++index)
            asked.push_back(fleet.ask("/order/x"));
        for (auto const request : asked)
            ask_for_rest(fleet, request, rest);
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected") == std::string::npos);
        fleet.wait(rest);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(fleet.ask("/order/x")).size());
    }

    void a_rest_is_believed_for_a_limited_time()
    {
        constexpr milliseconds ten_days { std::int64_t { 10 } * 24 * 3600 * 1000 };
        constexpr milliseconds longest { 600000 };
        driver fleet;
        fleet.start({ plain("e1") });
        ask_for_rest(fleet, fleet.ask("/look/x"), ten_days);
        fleet.wait(longest - milliseconds(100));
        CPPUNIT_ASSERT(fleet.sent_for(fleet.ask("/look/x")).empty());
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(fleet.ask("/look/x")).size());
    }

    void an_endpoint_that_says_that_it_leaves_gets_nothing_more()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const leaving = fleet.sent_for(request).back().endpoint.value();
        answer_leaving(fleet, request);
        CPPUNIT_ASSERT(!play(fleet, milliseconds(8000)).contains(leaving));
    }

    void who_leaves_is_bound_by_that_whatever_its_row_says()
    {
        driver fleet;
        fleet.start({ plain("e1") });
        answer_leaving(fleet, fleet.ask("/look/x"));
        fleet.take(endpoints_listed { { plain("e1") } });
        CPPUNIT_ASSERT(play(fleet, milliseconds(100)).empty());
        fleet.take(endpoints_listed { {} });
        fleet.wait(milliseconds(2000));
        fleet.take(endpoints_listed { { plain("e1") } });
        CPPUNIT_ASSERT(play(fleet, milliseconds(100)).empty());
        // An evacuation that is over gives nothing back either.
        fleet.take(domains_evacuated { { failure_domain("north") } });
        fleet.take(domains_evacuated {});
        CPPUNIT_ASSERT(play(fleet, milliseconds(100)).empty());
    }

    void another_start_of_one_that_left_is_used()
    {
        driver fleet;
        fleet.start({ plain("e1", 1) });
        answer_leaving(fleet, fleet.ask("/look/x"));
        fleet.take(endpoints_listed { { plain("e1", 2) } });
        CPPUNIT_ASSERT(play(fleet, milliseconds(100)).contains("e1"));
    }

    void what_runs_at_an_endpoint_that_leaves_goes_on()
    {
        driver fleet;
        fleet.start({ plain("e1") });
        auto const first = fleet.ask("/look/x");
        auto const second = fleet.ask("/order/x");
        answer_leaving(fleet, first);
        fleet.wait(milliseconds(1000));
        CPPUNIT_ASSERT(!fleet.is_cancelled(second));
        fleet.end(second, attempt_end::complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.reducer().active_requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_test);

} // namespace shedhill::dispatch
