// SPDX-License-Identifier: BSD-2-Clause
// Tests which requests a router refuses and why, which endpoints it ejects, and how it starts and drains.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class dispatch_guard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_guard_test);
    CPPUNIT_TEST(an_overloaded_router_admits_less);
    CPPUNIT_TEST(a_flood_of_waiting_requests_costs_few_choices);
    CPPUNIT_TEST(a_failing_endpoint_is_ejected_and_probed);
    CPPUNIT_TEST(not_all_endpoints_are_ejected);
    CPPUNIT_TEST(failures_caused_by_the_router_eject_nobody);
    CPPUNIT_TEST(own_delays_do_not_lower_an_engines_rate);
    CPPUNIT_TEST(an_older_configuration_is_not_applied);
    CPPUNIT_TEST(a_drain_ends_when_nothing_is_in_flight);
    CPPUNIT_TEST(a_drain_that_expires_answers_what_is_open);
    CPPUNIT_TEST(the_log_contains_the_cause_of_a_refusal);
    CPPUNIT_TEST(a_request_past_its_share_is_refused_early_with_a_retry_delay);
    CPPUNIT_TEST(a_request_within_its_share_waits_a_little_longer);
    CPPUNIT_TEST(requests_are_refused_without_a_configuration);
    CPPUNIT_TEST(unknown_routes_and_keys_are_refused);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static std::vector<endpoint_entry> make_two(std::string const& pool)
    {
        return { driver::make_endpoint("e1", pool), driver::make_endpoint("e2", pool) };
    }

    void an_overloaded_router_admits_less()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask("/once/", "red-key", 41000);
        fleet.wait(milliseconds(200));
        for (int ticks = 0; ticks < 30; ++ticks)
            fleet.deliver(tick { milliseconds(100) });
        auto const past_share = fleet.ask("/once/", "red-key");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(past_share)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(past_share)->reason == refusal_reason::router_overloaded);
        // About a third of the requests within the share are refused: (100 - 35) / 200.
        int refused = 0;
        for (int index = 0; index < 90; ++index)
            refused += fleet.refusal_of(fleet.ask("/once/", "blue-key", 10)) ? 1 : 0;
        CPPUNIT_ASSERT(refused > 0 && refused < 90);
        for (int ticks = 0; ticks < 60; ++ticks)
            fleet.deliver(tick {});
        CPPUNIT_ASSERT(!fleet.refusal_of(fleet.ask("/once/", "blue-key", 10)));
    }

    // Guards against a router that falls seconds behind because it tries hundreds of waiting requests again at each
    // answer.
    void a_flood_of_waiting_requests_costs_few_choices()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 8) });
        fleet.ask_and_prefill("/once/", "red-key", 41000);
        auto const running = fleet.ask("/once/", "red-key", 41000);
        // Another team requests as much and waits, so that the first team is above the even level.
        fleet.ask("/once/", "blue-key", 41000);
        fleet.wait(milliseconds(100));
        for (int index = 0; index < 300; ++index)
            fleet.ask("/once/", "blue-key", 10);
        auto const before = fleet.reducer().choices();
        for (int index = 0; index < 50; ++index)
            fleet.begin(running);
        CPPUNIT_ASSERT(fleet.reducer().choices() - before <= 32);
        // A team far above the even level is refused at once while 300 requests wait.
        CPPUNIT_ASSERT(fleet.refusal_of(fleet.ask("/once/", "red-key", 41000)).has_value());
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
        // After the ejection period a repeatable request probes whether the endpoint has recovered.
        fleet.wait(milliseconds(6000));
        auto const probe = fleet.ask("/look/");
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), fleet.sent_for(probe)[0].endpoint.value());
    }

    void not_all_endpoints_are_ejected()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        for (int index = 0; index < 20; ++index) {
            auto const request = fleet.ask("/order/");
            if (fleet.sent_for(request).empty())
                continue;
            fleet.end(request, attempt_end::broken);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(fleet.ask("/order/")).size());
    }

    // While the router's own link is saturated, connects fail at all endpoints alike, so that none of them is to blame.
    void failures_caused_by_the_router_eject_nobody()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain", 100), driver::make_endpoint("e2", "plain", 100) });
        constexpr int tick_count = 200;
        auto const set_link_load = [&](double link_fraction) {
            for (int ticks = 0; ticks < tick_count; ++ticks)
                fleet.deliver(tick { milliseconds(0), 0.3, link_fraction });
        };
        auto const fail_requests = [&] {
            for (int index = 0; index < 12; ++index) {
                auto const request = fleet.ask("/order/");
                if (!fleet.sent_for(request).empty())
                    fleet.end(request, attempt_end::not_sent);
            }
        };
        set_link_load(0.95);
        fail_requests();
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected") == std::string::npos);
        set_link_load(0.1);
        fail_requests();
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected") != std::string::npos);
    }

    // A router that is behind observes first events late for reasons of its own. It must not report these delays as
    // prefill samples, because other routers would lower the engine's rate.
    void own_delays_do_not_lower_an_engines_rate()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        auto const request = fleet.ask("/once/", "red-key", 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        auto const before = fleet.reducer().engines().at(0);
        CPPUNIT_ASSERT_EQUAL(token_count { 3000 }, before.work.pending_prefill);
        for (int index = 0; index < 20; ++index)
            fleet.deliver(tick { milliseconds(100) });
        CPPUNIT_ASSERT(
            fleet.reducer().take_own_report(report_scope::changes, fleet.now()).loads.at(0).prefill.is_empty());
        for (int index = 0; index < 100; ++index) {
            fleet.wait(milliseconds(10));
            fleet.deliver(tick { milliseconds(500) });
        }
        fleet.begin(request);
        auto const report = fleet.reducer().take_own_report(report_scope::changes, fleet.now()).loads.at(0);
        CPPUNIT_ASSERT(report.prefill.is_empty());
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, report.work.pending_prefill);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before.tokens_per_ms, fleet.reducer().engines().at(0).tokens_per_ms, 0.01);
    }

    void an_older_configuration_is_not_applied()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        fleet.deliver(configuration_received { driver::usual_configuration(9) });
        auto older = driver::usual_configuration(5);
        older.routes.clear();
        fleet.deliver(configuration_received { older });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, fleet.reducer().routes().current().revision);
        CPPUNIT_ASSERT(!fleet.refusal_of(fleet.ask("/look/")));
    }

    void a_drain_ends_when_nothing_is_in_flight()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        auto const request = fleet.ask("/order/");
        fleet.deliver(drain_requested {});
        CPPUNIT_ASSERT(!fleet.reducer().is_ready());
        CPPUNIT_ASSERT(!fleet.has_stopped());
        fleet.end(request, attempt_end::complete, 200, true);
        fleet.wait(milliseconds(20));
        CPPUNIT_ASSERT(fleet.has_stopped());
    }

    // Sends requests until the endpoints have no place for one, and returns that one.
    static request_number ask_until_one_waits(driver& fleet, std::string const& path = "/look/")
    {
        constexpr int max_requests = 200;
        for (int sent = 0; sent < max_requests; ++sent) {
            if (auto const request = fleet.ask(path); fleet.sent_for(request).empty())
                return request;
        }
        CPPUNIT_FAIL("every request was sent");
        return {};
    }

    void a_drain_that_expires_answers_what_is_open()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain", 1), driver::make_endpoint("e2", "model", 4) });
        auto const running = fleet.ask("/order/");
        auto const waiting = ask_until_one_waits(fleet);
        auto const begun = fleet.ask("/once/");
        fleet.begin(begun);
        fleet.deliver(drain_requested {});
        fleet.deliver(drain_expired {});
        // The order may have run, and the other request has not.
        CPPUNIT_ASSERT(fleet.is_cancelled(running));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 504 }, fleet.refusal_of(running)->status);
        CPPUNIT_ASSERT(!fleet.refusal_of(running)->retry_after);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(waiting)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(waiting)->reason == refusal_reason::stopping);
        CPPUNIT_ASSERT(fleet.is_aborted(begun));
        fleet.wait(milliseconds(20));
        CPPUNIT_ASSERT(fleet.has_stopped());
    }

    void the_log_contains_the_cause_of_a_refusal()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        fleet.end(fleet.ask("/order/"), attempt_end::broken);
        CPPUNIT_ASSERT(fleet.log().find("sent \"id\":\"id-1\"") != std::string::npos);
        CPPUNIT_ASSERT(fleet.log().find("attempt_failed \"id\":\"id-1\"") != std::string::npos);
        CPPUNIT_ASSERT(fleet.log().find("\"end\":\"broken\"") != std::string::npos);
        CPPUNIT_ASSERT(fleet.log().find("\"status\":502,\"reason\":\"answer_unknown\"") != std::string::npos);
    }

    void a_request_past_its_share_is_refused_early_with_a_retry_delay()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 8) });
        // The first request uses up the window's share at 10,000 tokens per second. Requests past the share are
        // admitted only while the engine has no pending prefill, and to a quarter of its slots at most.
        fleet.ask_and_prefill("/once/", "red-key", 41000);
        fleet.ask("/once/", "red-key", 41000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent().size());
        fleet.wait(milliseconds(200));
        auto const third = fleet.ask("/once/", "red-key", 41000);
        CPPUNIT_ASSERT(!fleet.refusal_of(third));
        // A request past the share waits for a quarter of the objective of 400 ms.
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
        // A request within the share waits for two fifths of the objective of 400 ms.
        fleet.wait(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 429 }, fleet.refusal_of(fourth)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(fourth)->retry_after.has_value());
    }

    void requests_are_refused_without_a_configuration()
    {
        driver fleet;
        auto const request = fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refusal_of(request)->status);
        CPPUNIT_ASSERT(!fleet.reducer().is_ready());
    }

    void unknown_routes_and_keys_are_refused()
    {
        driver fleet;
        fleet.start(make_two("plain"));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 404 }, fleet.refusal_of(fleet.ask("/nowhere/"))->status);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 401 }, fleet.refusal_of(fleet.ask("/look/", "stolen"))->status);
        CPPUNIT_ASSERT(fleet.sent().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_guard_test);

} // namespace shedhill::dispatch
