// SPDX-License-Identifier: BSD-2-Clause
// Tests whom failures are held against: requests that fail wherever they run eject no endpoint, and faulty endpoints
// are ejected nevertheless.
#include "tests/dispatch/dispatch_driver.h"
#include "tests/dispatch/failure_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>

namespace shedhill::dispatch {

class failure_attribution_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_attribution_test);
    CPPUNIT_TEST(failing_requests_eject_nobody);
    CPPUNIT_TEST(failing_requests_with_one_attempt_eject_nobody);
    CPPUNIT_TEST(failing_requests_with_different_bodies_eject_nobody);
    CPPUNIT_TEST(requests_that_break_off_or_stall_everywhere_eject_nobody);
    CPPUNIT_TEST(requests_that_all_endpoints_reject_eject_nobody);
    CPPUNIT_TEST(a_faulty_endpoint_is_ejected_within_two_seconds);
    CPPUNIT_TEST(a_faulty_endpoint_beside_failing_requests_is_ejected_alone);
    CPPUNIT_TEST(several_faulty_endpoints_are_ejected_alone);
    CPPUNIT_TEST(a_request_that_fails_everywhere_is_not_retried);
    CPPUNIT_TEST(an_answer_makes_a_request_worth_retrying_again);
    CPPUNIT_TEST(a_failure_without_a_next_attempt_is_held_against_the_endpoint);
    CPPUNIT_TEST(a_request_avoids_the_endpoint_that_failed_it);
    CPPUNIT_TEST(a_request_that_fails_everywhere_probes_nobody);
    CPPUNIT_TEST_SUITE_END();

    using simulation = failure_simulation;
    using driver = dispatch_driver;

    static constexpr std::uint64_t seeds = 10;
    // The users' bound on the ejection of a faulty endpoint.
    static constexpr milliseconds max_time_to_eject { 2000 };

    static void for_each_seed(
        simulation::options settings, std::function<void(simulation::outcome const&, std::string const&)> const& check)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            settings.seed = seed;
            check(simulation(settings).run(), "seed " + std::to_string(seed));
        }
    }

    static void check_nobody_is_ejected(simulation::options const& settings)
    {
        for_each_seed(settings, [](simulation::outcome const& outcome, std::string const& seed) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::size_t { 0 }, outcome.ejected_innocents.size());
            CPPUNIT_ASSERT(outcome.failing_requests > 0);
        });
    }

    static void check_faulty_alone_are_ejected(simulation::options const& settings)
    {
        for_each_seed(settings, [&](simulation::outcome const& outcome, std::string const& seed) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::size_t { 0 }, outcome.ejected_innocents.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, settings.faulty_endpoints, outcome.faulty_ejected);
            CPPUNIT_ASSERT_MESSAGE(seed, outcome.faulty_ejected_after <= max_time_to_eject);
        });
    }

    // The rates of failing and of good requests, and the number of routers, vary.
    static std::vector<simulation::options> loads()
    {
        std::vector<simulation::options> result(5);
        result[1].routers = 3;
        result[2].failing_per_second = 80;
        result[2].good_per_second = 60;
        result[3].failing_per_second = 40;
        result[3].good_per_second = 2;
        result[4].failing_per_second = 4;
        return result;
    }

    void failing_requests_eject_nobody()
    {
        for (auto const& settings : loads())
            check_nobody_is_ejected(settings);
    }

    void failing_requests_with_one_attempt_eject_nobody()
    {
        for (auto settings : loads()) {
            settings.are_failing_repeatable = false;
            check_nobody_is_ejected(settings);
        }
    }

    void failing_requests_with_different_bodies_eject_nobody()
    {
        for (auto settings : loads()) {
            settings.failing_bodies = simulation::bodies::different;
            check_nobody_is_ejected(settings);
            settings.failure_time = milliseconds(300);
            check_nobody_is_ejected(settings);
        }
    }

    void requests_that_break_off_or_stall_everywhere_eject_nobody()
    {
        for (auto const end : { attempt_end::broken, attempt_end::silent }) {
            for (bool const is_repeatable : { true, false }) {
                simulation::options settings;
                settings.failing_end = end;
                settings.are_failing_repeatable = is_repeatable;
                check_nobody_is_ejected(settings);
            }
        }
    }

    void requests_that_all_endpoints_reject_eject_nobody()
    {
        for (auto settings : loads()) {
            settings.failing_end = attempt_end::not_run;
            check_nobody_is_ejected(settings);
        }
    }

    // Calls the function with a faulty endpoint among eight and among two, one that fails everything and one that fails
    // 60 in 100, behind one router and behind three, before requests that may be repeated and such that may not.
    static void for_each_fault(std::function<void(simulation::options const&)> const& check)
    {
        simulation::options settings;
        settings.faulty_endpoints = 1;
        settings.faulty_from = milliseconds(3000);
        for (std::size_t const routers : { 1, 3 }) {
            for (std::size_t const endpoints : { 8, 2 }) {
                for (double const fraction : { 1.0, 0.6 }) {
                    for (bool const is_repeatable : { true, false }) {
                        settings.routers = routers;
                        settings.endpoints = endpoints;
                        settings.faulty_fraction = fraction;
                        settings.are_good_repeatable = is_repeatable;
                        check(settings);
                    }
                }
            }
        }
    }

    void a_faulty_endpoint_is_ejected_within_two_seconds()
    {
        for_each_fault([](simulation::options settings) {
            settings.failing_per_second = 0;
            check_faulty_alone_are_ejected(settings);
        });
    }

    void a_faulty_endpoint_beside_failing_requests_is_ejected_alone()
    {
        constexpr std::size_t endpoints = 8;
        for_each_fault([](simulation::options settings) {
            if (settings.endpoints != endpoints)
                return;
            for (auto const bodies : { simulation::bodies::same, simulation::bodies::different }) {
                settings.failing_bodies = bodies;
                check_faulty_alone_are_ejected(settings);
            }
        });
    }

    void several_faulty_endpoints_are_ejected_alone()
    {
        for (std::size_t const faulty : { 2, 3, 4 }) {
            for (bool const is_repeatable : { true, false }) {
                simulation::options settings;
                settings.failing_per_second = 0;
                settings.faulty_endpoints = faulty;
                settings.faulty_from = milliseconds(3000);
                settings.are_good_repeatable = is_repeatable;
                check_faulty_alone_are_ejected(settings);
            }
        }
    }

    static driver start_driver(std::size_t endpoints = 8)
    {
        driver fleet;
        std::vector<endpoint_entry> entries;
        for (std::size_t index = 0; index < endpoints; ++index)
            entries.push_back(driver::make_endpoint("p" + std::to_string(index), "plain", 1000));
        fleet.start(entries);
        return fleet;
    }

    // Sends the request until it is refused or answered, and lets each attempt fail. Returns the number of attempts.
    static std::size_t fail_everywhere(driver& fleet, std::string const& path)
    {
        auto const request = fleet.ask_with_content(path, failing_content);
        std::size_t attempts = 0;
        while (fleet.sent_for(request).size() > attempts) {
            ++attempts;
            fleet.end_with_content(request, attempt_end::failed, 500, failing_content);
        }
        return attempts;
    }

    // The fleet's retries are for requests that another attempt can help.
    void a_request_that_fails_everywhere_is_not_retried()
    {
        auto fleet = start_driver();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fail_everywhere(fleet, "/look/a"));
        CPPUNIT_ASSERT(fail_everywhere(fleet, "/look/a") <= 2);
        for (int index = 0; index < 5; ++index)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fail_everywhere(fleet, "/look/a"));
        CPPUNIT_ASSERT(fleet.log().find("\"not_again\":\"fails_everywhere\"") != std::string::npos);
    }

    void an_answer_makes_a_request_worth_retrying_again()
    {
        auto fleet = start_driver();
        for (int index = 0; index < 3; ++index)
            (void)fail_everywhere(fleet, "/look/a");
        auto const answered = fleet.ask_with_content("/look/a", failing_content);
        fleet.end_with_content(answered, attempt_end::complete, 200, failing_content);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fail_everywhere(fleet, "/look/a"));
    }

    // The caller leaves before the next attempt ends, so that only the endpoint's own record is left.
    void a_failure_without_a_next_attempt_is_held_against_the_endpoint()
    {
        auto fleet = start_driver(2);
        auto const first = fleet.sent_for(fleet.ask("/look/a")).back().endpoint;
        for (int index = 0; index < 6; ++index) {
            auto const request = fleet.ask("/look/a", "blue-key");
            if (fleet.sent_for(request).back().endpoint != first) {
                fleet.end(request, attempt_end::complete, 200);
                continue;
            }
            fleet.end(request, attempt_end::failed, 500);
            fleet.deliver(caller_left { request });
        }
        CPPUNIT_ASSERT(fleet.log().find("endpoint_ejected \"endpoint\":\"" + first.value()) != std::string::npos);
    }

    void a_request_avoids_the_endpoint_that_failed_it()
    {
        auto fleet = start_driver();
        auto const request = fleet.ask_with_content("/order/a", failing_content);
        auto const first = fleet.sent_for(request).back().endpoint;
        fleet.end_with_content(request, attempt_end::failed, 500, failing_content);
        for (int index = 0; index < 20; ++index) {
            auto const again = fleet.ask_with_content("/order/a", failing_content);
            CPPUNIT_ASSERT(fleet.sent_for(again).back().endpoint != first);
        }
    }

    // A probe by such a request would keep a recovered endpoint ejected.
    void a_request_that_fails_everywhere_probes_nobody()
    {
        auto fleet = start_driver();
        auto const faulty = fleet.sent_for(fleet.ask("/order/a", "blue-key")).back().endpoint;
        while (fleet.log().find("endpoint_ejected") == std::string::npos) {
            auto const request = fleet.ask("/look/b", "blue-key");
            bool const fails = fleet.sent_for(request).back().endpoint == faulty;
            fleet.end(request, fails ? attempt_end::failed : attempt_end::complete, fails ? 500 : 200);
            if (fails)
                fleet.end(request, attempt_end::complete, 200);
        }
        (void)fail_everywhere(fleet, "/look/a");
        constexpr milliseconds ejection { 700 };
        fleet.wait(ejection);
        auto const failing = fleet.ask_with_content("/look/a", failing_content);
        CPPUNIT_ASSERT(fleet.sent_for(failing).back().endpoint != faulty);
        CPPUNIT_ASSERT(fleet.sent_for(fleet.ask("/look/b", "blue-key")).back().endpoint == faulty);
    }

    static inline content_hash const failing_content { 99 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_attribution_test);

} // namespace shedhill::dispatch
