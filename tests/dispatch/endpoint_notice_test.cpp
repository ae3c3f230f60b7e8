// SPDX-License-Identifier: BSD-2-Clause
// Tests endpoints that ask for a back-off, and endpoints that announce in an answer that they leave.
//
// These tests guard against routers that ignore the back-off: three engines refused all requests and asked each router
// to back off for three seconds, but one router sent up to eight more first attempts to such an engine in that time. An
// engine that refuses everything runs little, so it looked like the best choice until it was ejected after nine
// refusals in a row. The dispatcher received only the kind of an answer, not the back-off period in its header.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace shedhill::dispatch {

namespace {

using driver = dispatch_driver;

constexpr milliseconds usual_backoff { 3000 };

endpoint_entry plain(std::string const& name, std::uint64_t started_at_ms = 0)
{
    auto entry = driver::make_endpoint(name, "plain", 1000);
    entry.started_at_ms = started_at_ms;
    return entry;
}

void send_notice(driver& fleet, request_number request, endpoint_notice notice)
{
    auto const sent = fleet.sent_for(request).back();
    fleet.deliver(endpoint_notice_received { request, sent.endpoint, sent.instance, notice });
}

void request_backoff(driver& fleet, request_number request, milliseconds backoff = usual_backoff)
{
    send_notice(fleet, request, { backoff, false });
    fleet.end(request, attempt_end::not_run, 503);
}

void answer_leaving(driver& fleet, request_number request)
{
    send_notice(fleet, request, { milliseconds(0), true });
    fleet.end(request, attempt_end::complete, 200);
}

// Sends a request every ten milliseconds and completes it at once. Returns the number of attempts for each endpoint.
std::map<std::string, int> serve_requests(driver& fleet, milliseconds time, std::string const& path = "/look/x")
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
    CPPUNIT_TEST(an_endpoint_that_backs_off_receives_nothing_until_the_end);
    CPPUNIT_TEST(an_idle_engine_that_backs_off_is_not_preferred);
    CPPUNIT_TEST(waiting_requests_and_retries_avoid_endpoints_that_back_off);
    CPPUNIT_TEST(an_ejected_endpoint_that_backs_off_is_not_probed);
    CPPUNIT_TEST(an_endpoint_that_backs_off_receives_nothing_where_most_are_ejected);
    CPPUNIT_TEST(a_shorter_backoff_does_not_shorten_a_longer_one);
    CPPUNIT_TEST(a_backoff_outlasts_the_row_of_its_endpoint);
    CPPUNIT_TEST(a_backoff_applies_to_one_instance_only);
    CPPUNIT_TEST(callers_receive_a_retry_delay_where_all_endpoints_back_off);
    CPPUNIT_TEST(requests_wait_for_a_backoff_that_ends_soon);
    CPPUNIT_TEST(an_endpoint_receives_few_requests_just_after_its_backoff);
    CPPUNIT_TEST(an_unanswered_first_request_delays_others_only_briefly);
    CPPUNIT_TEST(a_backoff_does_not_lead_to_ejection);
    CPPUNIT_TEST(the_length_of_a_backoff_is_limited);
    CPPUNIT_TEST(an_endpoint_that_announces_that_it_leaves_receives_nothing_more);
    CPPUNIT_TEST(a_leaving_endpoint_stays_unused_whatever_its_row_says);
    CPPUNIT_TEST(a_new_instance_of_an_endpoint_that_left_is_used);
    CPPUNIT_TEST(attempts_at_a_leaving_endpoint_continue);
    CPPUNIT_TEST_SUITE_END();

    void an_endpoint_that_backs_off_receives_nothing_until_the_end()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const backing_off = fleet.sent_for(request).back().endpoint.value();
        request_backoff(fleet, request);
        auto const sent = serve_requests(fleet, usual_backoff - milliseconds(20));
        CPPUNIT_ASSERT(!sent.contains(backing_off));
    }

    void an_idle_engine_that_backs_off_is_not_preferred()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("m1", "model", 100), driver::make_endpoint("m2", "model", 100) });
        auto const request = fleet.ask("/resumable/x");
        auto const backing_off = fleet.sent_for(request).back().endpoint.value();
        request_backoff(fleet, request);
        CPPUNIT_ASSERT(!serve_requests(fleet, usual_backoff - milliseconds(20), "/resumable/x").contains(backing_off));
    }

    void waiting_requests_and_retries_avoid_endpoints_that_back_off()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const first = fleet.ask("/look/x");
        auto const second = fleet.ask("/order/x");
        request_backoff(fleet, first);
        auto const backing_off = fleet.sent_for(first).front().endpoint;
        // The retry goes to the other endpoint, which asks for a back-off too, so none is left for the waiting request.
        request_backoff(fleet, first);
        fleet.end(second, attempt_end::not_run, 503);
        fleet.wait(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent_for(first).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(second).size());
        CPPUNIT_ASSERT(fleet.refusal_of(second).has_value());
    }

    static void eject(driver& fleet, std::string const& name)
    {
        constexpr int failures_to_eject = 3;
        for (int failures = 0; failures < failures_to_eject; ++failures) {
            auto const request = fleet.ask("/look/x");
            CPPUNIT_ASSERT_EQUAL(name, fleet.sent_for(request).back().endpoint.value());
            fleet.end(request, attempt_end::broken, 200);
        }
    }

    void an_ejected_endpoint_that_backs_off_is_not_probed()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2"), plain("e3") });
        auto const request = fleet.ask("/look/x");
        auto const backing_off = fleet.sent_for(request).back().endpoint.value();
        fleet.end(request, attempt_end::complete, 200);
        auto const last = fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(backing_off, fleet.sent_for(last).back().endpoint.value());
        eject(fleet, backing_off);
        request_backoff(fleet, last);
        CPPUNIT_ASSERT(!serve_requests(fleet, usual_backoff - milliseconds(20)).contains(backing_off));
    }

    void an_endpoint_that_backs_off_receives_nothing_where_most_are_ejected()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const backing_off = fleet.sent_for(request).back().endpoint.value();
        std::string const other = backing_off == "e1" ? "e2" : "e1";
        request_backoff(fleet, request);
        fleet.end(request, attempt_end::complete, 200);
        eject(fleet, other);
        auto const sent = serve_requests(fleet, usual_backoff - milliseconds(20));
        CPPUNIT_ASSERT(!sent.contains(backing_off));
        CPPUNIT_ASSERT(sent.contains(other));
    }

    void a_shorter_backoff_does_not_shorten_a_longer_one()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const first = fleet.ask("/look/x");
        auto const second = fleet.ask("/look/x");
        auto const backing_off = fleet.sent_for(first).back().endpoint.value();
        CPPUNIT_ASSERT_EQUAL(backing_off, fleet.sent_for(second).back().endpoint.value());
        request_backoff(fleet, first);
        request_backoff(fleet, second, milliseconds(100));
        CPPUNIT_ASSERT(!serve_requests(fleet, usual_backoff - milliseconds(20)).contains(backing_off));
    }

    void a_backoff_outlasts_the_row_of_its_endpoint()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const backing_off = fleet.sent_for(request).back().endpoint.value();
        request_backoff(fleet, request);
        fleet.end(request, attempt_end::complete, 200);
        fleet.deliver(endpoints_listed { { plain(backing_off == "e1" ? "e2" : "e1") } });
        fleet.deliver(endpoints_listed { { plain("e1"), plain("e2") } });
        CPPUNIT_ASSERT(!serve_requests(fleet, usual_backoff - milliseconds(20)).contains(backing_off));
    }

    void a_backoff_applies_to_one_instance_only()
    {
        driver fleet;
        fleet.start({ plain("e1", 1) });
        request_backoff(fleet, fleet.ask("/look/x"));
        fleet.deliver(endpoints_listed { { plain("e1", 2) } });
        CPPUNIT_ASSERT(serve_requests(fleet, milliseconds(100)).contains("e1"));
    }

    void callers_receive_a_retry_delay_where_all_endpoints_back_off()
    {
        constexpr int callers = 50;
        constexpr milliseconds elapsed { 500 };
        driver fleet;
        fleet.start({ plain("e1") });
        request_backoff(fleet, fleet.ask("/look/x"));
        fleet.wait(elapsed);
        std::set<milliseconds> retry_delays;
        for (int caller = 0; caller < callers; ++caller) {
            auto const refused = fleet.refusal_of(fleet.ask("/look/x"));
            CPPUNIT_ASSERT(refused.has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, refused->status);
            CPPUNIT_ASSERT(*refused->retry_after >= usual_backoff - elapsed);
            CPPUNIT_ASSERT(*refused->retry_after <= usual_backoff + milliseconds(1000));
            retry_delays.insert(*refused->retry_after);
        }
        // The retry times are spread, so that the callers do not all return at the same time.
        CPPUNIT_ASSERT(retry_delays.size() > callers / 2);
    }

    void requests_wait_for_a_backoff_that_ends_soon()
    {
        constexpr milliseconds backoff { 50 };
        driver fleet;
        fleet.start({ plain("e1") });
        request_backoff(fleet, fleet.ask("/look/x"), backoff);
        fleet.wait(milliseconds(20));
        auto const request = fleet.ask("/look/x");
        CPPUNIT_ASSERT(fleet.sent_for(request).empty());
        fleet.wait(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
    }

    void an_endpoint_receives_few_requests_just_after_its_backoff()
    {
        constexpr int waiting_requests = 40;
        constexpr std::size_t max_first_requests = 2;
        constexpr milliseconds answer_time { 20 };
        driver fleet;
        fleet.start({ plain("e1") });
        request_backoff(fleet, fleet.ask("/look/x"), milliseconds(1000));
        fleet.wait(milliseconds(980));
        for (int index = 0; index < waiting_requests; ++index)
            fleet.ask("/look/x");
        auto const before = fleet.sent().size();
        fleet.wait(milliseconds(30));
        auto const first = fleet.sent().size() - before;
        CPPUNIT_ASSERT(first >= 1 && first <= max_first_requests);
        // Each answer admits more requests, so that the whole capacity of the endpoint is used again within a second.
        auto answered = before;
        for (milliseconds simulated { 0 }; simulated < milliseconds(1000); simulated += answer_time) {
            fleet.ask("/look/x");
            fleet.wait(answer_time);
            for (auto const sent = fleet.sent().size(); answered < sent; ++answered)
                fleet.end(fleet.sent().at(answered).request, attempt_end::complete, 200);
        }
        auto const before_many = fleet.sent().size();
        for (int index = 0; index < waiting_requests; ++index)
            fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(waiting_requests), fleet.sent().size() - before_many);
    }

    void an_unanswered_first_request_delays_others_only_briefly()
    {
        constexpr std::size_t request_count = 20;
        driver fleet;
        fleet.start({ plain("e1") });
        request_backoff(fleet, fleet.ask("/look/x"), milliseconds(1000));
        fleet.wait(milliseconds(1000));
        // The caller of the first request leaves before the answer.
        fleet.deliver(caller_left { fleet.ask("/look/x") });
        fleet.wait(milliseconds(2000));
        auto const before = fleet.sent().size();
        for (std::size_t index = 0; index < request_count; ++index)
            fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(request_count, fleet.sent().size() - before);
    }

    void a_backoff_does_not_lead_to_ejection()
    {
        constexpr int request_count = 12;
        constexpr milliseconds backoff { 200 };
        driver fleet;
        fleet.start({ plain("e1") });
        std::vector<request_number> requests;
        requests.reserve(request_count);
        for (int index = 0; index < request_count; ++index)
            requests.push_back(fleet.ask("/order/x"));
        for (auto const request : requests)
            request_backoff(fleet, request, backoff);
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected") == std::string::npos);
        fleet.wait(backoff);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(fleet.ask("/order/x")).size());
    }

    void the_length_of_a_backoff_is_limited()
    {
        constexpr milliseconds ten_days { std::int64_t { 10 } * 24 * 3600 * 1000 };
        constexpr milliseconds max_backoff { 600000 };
        driver fleet;
        fleet.start({ plain("e1") });
        request_backoff(fleet, fleet.ask("/look/x"), ten_days);
        fleet.wait(max_backoff - milliseconds(100));
        CPPUNIT_ASSERT(fleet.sent_for(fleet.ask("/look/x")).empty());
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(fleet.ask("/look/x")).size());
    }

    void an_endpoint_that_announces_that_it_leaves_receives_nothing_more()
    {
        driver fleet;
        fleet.start({ plain("e1"), plain("e2") });
        auto const request = fleet.ask("/look/x");
        auto const leaving = fleet.sent_for(request).back().endpoint.value();
        answer_leaving(fleet, request);
        CPPUNIT_ASSERT(!serve_requests(fleet, milliseconds(8000)).contains(leaving));
    }

    void a_leaving_endpoint_stays_unused_whatever_its_row_says()
    {
        driver fleet;
        fleet.start({ plain("e1") });
        answer_leaving(fleet, fleet.ask("/look/x"));
        fleet.deliver(endpoints_listed { { plain("e1") } });
        CPPUNIT_ASSERT(serve_requests(fleet, milliseconds(100)).empty());
        fleet.deliver(endpoints_listed { {} });
        fleet.wait(milliseconds(2000));
        fleet.deliver(endpoints_listed { { plain("e1") } });
        CPPUNIT_ASSERT(serve_requests(fleet, milliseconds(100)).empty());
        // The end of an evacuation does not make the endpoint available either.
        fleet.deliver(domains_evacuated { { failure_domain("north") } });
        fleet.deliver(domains_evacuated {});
        CPPUNIT_ASSERT(serve_requests(fleet, milliseconds(100)).empty());
    }

    void a_new_instance_of_an_endpoint_that_left_is_used()
    {
        driver fleet;
        fleet.start({ plain("e1", 1) });
        answer_leaving(fleet, fleet.ask("/look/x"));
        fleet.deliver(endpoints_listed { { plain("e1", 2) } });
        CPPUNIT_ASSERT(serve_requests(fleet, milliseconds(100)).contains("e1"));
    }

    void attempts_at_a_leaving_endpoint_continue()
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
