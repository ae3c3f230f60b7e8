// SPDX-License-Identifier: BSD-2-Clause
// Which endpoints count as cold, what they are sent, and where the rest goes.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class cold_endpoints_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cold_endpoints_test);
    CPPUNIT_TEST(an_endpoint_that_starts_gets_no_more_than_its_part);
    CPPUNIT_TEST(what_a_row_tells_ends_when_the_row_says_so);
    CPPUNIT_TEST(a_row_that_is_read_again_begins_nothing_anew);
    CPPUNIT_TEST(it_may_turn_cold_again);
    CPPUNIT_TEST(what_comes_up_counts_as_cold_whatever_its_row_tells);
    CPPUNIT_TEST(what_stood_in_the_first_list_goes_by_its_row);
    CPPUNIT_TEST(a_domain_given_back_counts_as_cold);
    CPPUNIT_TEST(a_pool_without_a_bound_is_not_held_back);
    CPPUNIT_TEST(what_a_cold_endpoint_may_not_take_is_refused_with_when_to_come_back);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;
    // What one router of three may send where an endpoint bears 12 a second, of which half is dealt out.
    static constexpr int own_part = 2;
    static constexpr milliseconds cold_time { 3000 };

    static endpoint_entry plain(std::string const& name, milliseconds cold_time_left = milliseconds(0))
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
        fleet.take(configuration_received { configuration });
        fleet.take(routers_listed { { "a:1", "b:1", "c:1" }, "a:1" });
        fleet.wait(cold_period::window);
        fleet.take(endpoints_listed { std::move(endpoints) });
    }

    // How many of some requests are sent to the endpoint at once.
    static int sent_to(driver& fleet, std::string const& name)
    {
        constexpr int asked = 12;
        int sent = 0;
        for (int index = 0; index < asked; ++index) {
            auto const request = fleet.ask("/look/x");
            auto const all = fleet.sent_for(request);
            if (all.empty())
                continue;
            sent += all.back().endpoint.value() == name ? 1 : 0;
            fleet.end(request, attempt_end::complete, 200);
        }
        return sent;
    }

    void an_endpoint_that_starts_gets_no_more_than_its_part()
    {
        driver fleet;
        start(fleet, { plain("e1", cold_time) });
        CPPUNIT_ASSERT_EQUAL(own_part, sent_to(fleet, "e1"));
        fleet.wait(milliseconds(1060));
        CPPUNIT_ASSERT_EQUAL(own_part, sent_to(fleet, "e1"));
        fleet.wait(cold_time);
        CPPUNIT_ASSERT(sent_to(fleet, "e1") > own_part);
    }

    void what_a_row_tells_ends_when_the_row_says_so()
    {
        driver fleet;
        start(fleet, { plain("e1", cold_time) });
        fleet.take(endpoints_listed { { plain("e1") } });
        CPPUNIT_ASSERT(sent_to(fleet, "e1") > own_part);
    }

    void a_row_that_is_read_again_begins_nothing_anew()
    {
        driver fleet;
        start(fleet, { plain("e1", cold_time) });
        fleet.wait(cold_time - milliseconds(100));
        fleet.take(endpoints_listed { { plain("e1", cold_time), plain("e2") } });
        fleet.wait(milliseconds(110));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.reducer().cold_endpoints(fleet.now()));
    }

    void it_may_turn_cold_again()
    {
        driver fleet;
        start(fleet, { plain("e1") });
        CPPUNIT_ASSERT(sent_to(fleet, "e1") > own_part);
        fleet.take(endpoints_listed { { plain("e1", milliseconds(1200)) } });
        CPPUNIT_ASSERT_EQUAL(own_part, sent_to(fleet, "e1"));
    }

    void what_comes_up_counts_as_cold_whatever_its_row_tells()
    {
        driver fleet;
        start(fleet, { plain("e1") });
        fleet.take(endpoints_listed { { plain("e2") } });
        CPPUNIT_ASSERT_EQUAL(own_part, sent_to(fleet, "e2"));
        fleet.wait(cold_time);
        CPPUNIT_ASSERT(sent_to(fleet, "e2") > own_part);
    }

    void what_stood_in_the_first_list_goes_by_its_row()
    {
        driver fleet;
        start(fleet, { plain("e1") });
        CPPUNIT_ASSERT(sent_to(fleet, "e1") > own_part);
    }

    void a_domain_given_back_counts_as_cold()
    {
        driver fleet;
        start(fleet, { plain("e1") });
        fleet.take(domains_evacuated { { failure_domain("north") } });
        fleet.wait(milliseconds(5000));
        fleet.take(domains_evacuated {});
        CPPUNIT_ASSERT_EQUAL(own_part, sent_to(fleet, "e1"));
    }

    void a_pool_without_a_bound_is_not_held_back()
    {
        driver fleet;
        start(fleet, { plain("e1", cold_time) }, 0);
        CPPUNIT_ASSERT(sent_to(fleet, "e1") > own_part);
    }

    void what_a_cold_endpoint_may_not_take_is_refused_with_when_to_come_back()
    {
        driver fleet;
        start(fleet, { plain("e1", cold_time) });
        CPPUNIT_ASSERT_EQUAL(own_part, sent_to(fleet, "e1"));
        auto const request = fleet.ask("/look/x");
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT(fleet.refusal_of(request)->reason == refusal_reason::no_place);
        CPPUNIT_ASSERT(fleet.refusal_of(request)->retry_after.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_endpoints_test);

} // namespace shedhill::dispatch
