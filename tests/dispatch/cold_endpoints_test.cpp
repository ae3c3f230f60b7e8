// SPDX-License-Identifier: BSD-2-Clause
// Tests which endpoints count as cold, how many requests a router sends to them, and what happens to the other
// requests.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class cold_endpoints_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cold_endpoints_test);
    CPPUNIT_TEST(a_starting_endpoint_receives_no_more_than_the_allowance);
    CPPUNIT_TEST(the_announced_cold_time_ends_when_the_row_ends_it);
    CPPUNIT_TEST(a_row_that_is_read_again_does_not_restart_the_cold_time);
    CPPUNIT_TEST(an_endpoint_may_become_cold_again);
    CPPUNIT_TEST(a_new_endpoint_counts_as_cold_whatever_its_row_says);
    CPPUNIT_TEST(an_endpoint_of_the_first_list_is_cold_according_to_its_row);
    CPPUNIT_TEST(endpoints_count_as_cold_after_an_evacuation);
    CPPUNIT_TEST(a_pool_without_a_bound_is_not_limited);
    CPPUNIT_TEST(requests_beyond_the_allowance_are_refused_with_a_retry_delay);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;
    // Requests per window that each of three routers may send to an endpoint that sustains 12 requests per second, of
    // which half is distributed.
    static constexpr int own_allowance = 2;
    static constexpr milliseconds cold_time { 3000 };

    static endpoint_entry make_plain(std::string const& name, milliseconds cold_time_left = milliseconds(0))
    {
        auto entry = driver::make_endpoint(name, "plain", 1000);
        entry.cold_time_left = cold_time_left;
        return entry;
    }

    static void start(driver& fleet, std::vector<endpoint_entry> endpoints, double cold_requests_per_second = 12)
    {
        auto configuration = driver::usual_configuration();
        configuration.pools[1].cold_requests_per_second = cold_requests_per_second;
        configuration.pools[1].cold_time = cold_time;
        fleet.deliver(configuration_received { configuration });
        fleet.deliver(routers_listed { { "a:1", "b:1", "c:1" }, "a:1" });
        fleet.wait(cold_period::window);
        fleet.deliver(endpoints_listed { std::move(endpoints) });
    }

    // Sends twelve requests and returns how many of them are sent to the endpoint without a wait.
    static int count_sent_to(driver& fleet, std::string const& name)
    {
        constexpr int request_count = 12;
        int sent = 0;
        for (int index = 0; index < request_count; ++index) {
            auto const request = fleet.ask("/look/x");
            auto const attempts = fleet.sent_for(request);
            if (attempts.empty())
                continue;
            sent += attempts.back().endpoint.value() == name ? 1 : 0;
            fleet.end(request, attempt_end::complete, 200);
        }
        return sent;
    }

    void a_starting_endpoint_receives_no_more_than_the_allowance()
    {
        driver fleet;
        start(fleet, { make_plain("e1", cold_time) });
        CPPUNIT_ASSERT_EQUAL(own_allowance, count_sent_to(fleet, "e1"));
        fleet.wait(milliseconds(1060));
        CPPUNIT_ASSERT_EQUAL(own_allowance, count_sent_to(fleet, "e1"));
        fleet.wait(cold_time);
        CPPUNIT_ASSERT(count_sent_to(fleet, "e1") > own_allowance);
    }

    void the_announced_cold_time_ends_when_the_row_ends_it()
    {
        driver fleet;
        start(fleet, { make_plain("e1", cold_time) });
        fleet.deliver(endpoints_listed { { make_plain("e1") } });
        CPPUNIT_ASSERT(count_sent_to(fleet, "e1") > own_allowance);
    }

    void a_row_that_is_read_again_does_not_restart_the_cold_time()
    {
        driver fleet;
        start(fleet, { make_plain("e1", cold_time) });
        fleet.wait(cold_time - milliseconds(100));
        fleet.deliver(endpoints_listed { { make_plain("e1", cold_time), make_plain("e2") } });
        fleet.wait(milliseconds(110));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.reducer().cold_endpoints(fleet.now()));
    }

    void an_endpoint_may_become_cold_again()
    {
        driver fleet;
        start(fleet, { make_plain("e1") });
        CPPUNIT_ASSERT(count_sent_to(fleet, "e1") > own_allowance);
        fleet.deliver(endpoints_listed { { make_plain("e1", milliseconds(1200)) } });
        CPPUNIT_ASSERT_EQUAL(own_allowance, count_sent_to(fleet, "e1"));
    }

    void a_new_endpoint_counts_as_cold_whatever_its_row_says()
    {
        driver fleet;
        start(fleet, { make_plain("e1") });
        fleet.deliver(endpoints_listed { { make_plain("e2") } });
        CPPUNIT_ASSERT_EQUAL(own_allowance, count_sent_to(fleet, "e2"));
        fleet.wait(cold_time);
        CPPUNIT_ASSERT(count_sent_to(fleet, "e2") > own_allowance);
    }

    void an_endpoint_of_the_first_list_is_cold_according_to_its_row()
    {
        driver fleet;
        start(fleet, { make_plain("e1") });
        CPPUNIT_ASSERT(count_sent_to(fleet, "e1") > own_allowance);
    }

    void endpoints_count_as_cold_after_an_evacuation()
    {
        driver fleet;
        start(fleet, { make_plain("e1") });
        fleet.deliver(domains_evacuated { { failure_domain("north") } });
        fleet.wait(milliseconds(5000));
        fleet.deliver(domains_evacuated {});
        CPPUNIT_ASSERT_EQUAL(own_allowance, count_sent_to(fleet, "e1"));
    }

    void a_pool_without_a_bound_is_not_limited()
    {
        driver fleet;
        start(fleet, { make_plain("e1", cold_time) }, 0);
        CPPUNIT_ASSERT(count_sent_to(fleet, "e1") > own_allowance);
    }

    void requests_beyond_the_allowance_are_refused_with_a_retry_delay()
    {
        driver fleet;
        start(fleet, { make_plain("e1", cold_time) });
        CPPUNIT_ASSERT_EQUAL(own_allowance, count_sent_to(fleet, "e1"));
        auto const request = fleet.ask("/look/x");
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT(fleet.refusal_of(request)->reason == refusal_reason::no_place);
        CPPUNIT_ASSERT(fleet.refusal_of(request)->retry_after.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_endpoints_test);

} // namespace shedhill::dispatch
