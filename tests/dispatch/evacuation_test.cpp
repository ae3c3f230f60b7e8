// SPDX-License-Identifier: BSD-2-Clause
// Tests failure domains that an operator evacuates: they receive no new attempts, running attempts continue, and
// requests that no other domain can serve are refused at once.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace shedhill::dispatch {

class evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(an_evacuated_domain_receives_no_new_attempts);
    CPPUNIT_TEST(running_attempts_are_not_cancelled);
    CPPUNIT_TEST(retries_go_to_other_domains);
    CPPUNIT_TEST(waiting_requests_go_to_other_domains);
    CPPUNIT_TEST(a_later_list_does_not_end_an_evacuation);
    CPPUNIT_TEST(a_domain_receives_attempts_again_after_its_evacuation);
    CPPUNIT_TEST(requests_are_refused_at_once_where_all_is_evacuated);
    CPPUNIT_TEST(a_retired_endpoint_stays_unused_after_the_evacuation);
    CPPUNIT_TEST(a_domain_that_does_not_exist_changes_nothing_and_shows_in_the_log);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static endpoint_entry in_domain(std::string const& name, char const* domain, std::string const& pool = "plain")
    {
        auto entry = driver::make_endpoint(name, pool);
        entry.domain = failure_domain(domain);
        return entry;
    }

    static std::vector<endpoint_entry> two_domains() { return { in_domain("e1", "north"), in_domain("e2", "south") }; }

    static void evacuate(driver& fleet, std::vector<failure_domain> domains)
    {
        fleet.deliver(domains_evacuated { std::move(domains) });
    }

    static std::string endpoint_of(driver const& fleet, request_number request)
    {
        auto const sent = fleet.sent_for(request);
        return sent.empty() ? "none" : sent.back().endpoint.value();
    }

    void an_evacuated_domain_receives_no_new_attempts()
    {
        driver fleet;
        fleet.start(two_domains());
        evacuate(fleet, { failure_domain("north") });
        for (int index = 0; index < 4; ++index)
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_of(fleet, fleet.ask("/look/x")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.reducer().evacuated_domains());
    }

    void running_attempts_are_not_cancelled()
    {
        driver fleet;
        fleet.start({ in_domain("e1", "north") });
        auto const request = fleet.ask("/order/x");
        evacuate(fleet, { failure_domain("north") });
        fleet.wait(milliseconds(100));
        CPPUNIT_ASSERT(!fleet.is_cancelled(request));
        CPPUNIT_ASSERT(!fleet.refusal_of(request));
    }

    void retries_go_to_other_domains()
    {
        driver fleet;
        fleet.start(two_domains());
        auto const request = fleet.ask("/look/x");
        auto const first = endpoint_of(fleet, request);
        evacuate(fleet, { failure_domain(first == "e1" ? "north" : "south") });
        fleet.end(request, attempt_end::broken);
        CPPUNIT_ASSERT_EQUAL(std::string(first == "e1" ? "e2" : "e1"), endpoint_of(fleet, request));
    }

    void waiting_requests_go_to_other_domains()
    {
        driver fleet;
        fleet.start(two_domains());
        std::map<std::string, std::vector<request_number>> running;
        auto waiting = fleet.ask("/look/x");
        while (endpoint_of(fleet, waiting) != "none") {
            running[endpoint_of(fleet, waiting)].push_back(waiting);
            waiting = fleet.ask("/look/x");
        }
        evacuate(fleet, { failure_domain("north") });
        // A slot becomes free in the evacuated domain before one does in the other domain.
        fleet.end(running.at("e1").front(), attempt_end::complete, 200);
        for (auto const request : running.at("e2"))
            fleet.end(request, attempt_end::complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_of(fleet, waiting));
    }

    void a_later_list_does_not_end_an_evacuation()
    {
        driver fleet;
        fleet.start(two_domains());
        evacuate(fleet, { failure_domain("north") });
        auto entries = two_domains();
        entries.push_back(in_domain("e3", "north"));
        fleet.deliver(endpoints_listed { entries });
        for (int index = 0; index < 4; ++index)
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_of(fleet, fleet.ask("/look/x")));
    }

    void a_domain_receives_attempts_again_after_its_evacuation()
    {
        driver fleet;
        fleet.start({ in_domain("e1", "north") });
        evacuate(fleet, { failure_domain("north") });
        evacuate(fleet, {});
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_of(fleet, fleet.ask("/look/x")));
        CPPUNIT_ASSERT(fleet.log().find("domain_given_back") != std::string::npos);
    }

    void requests_are_refused_at_once_where_all_is_evacuated()
    {
        driver fleet;
        fleet.start(two_domains());
        evacuate(fleet, { failure_domain("north"), failure_domain("south") });
        auto const request = fleet.ask("/order/x");
        auto const refused = fleet.refusal_of(request);
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT(refused->reason == refusal_reason::domains_evacuated);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, refused->status);
        CPPUNIT_ASSERT(refused->retry_after.has_value());
    }

    // An answer of another instance at the endpoint's address retires the endpoint.
    void a_retired_endpoint_stays_unused_after_the_evacuation()
    {
        driver fleet;
        fleet.start({ in_domain("e1", "north"), in_domain("e2", "north") });
        auto const request = fleet.ask("/look/x");
        auto const retired = endpoint_of(fleet, request);
        evacuate(fleet, { failure_domain("north") });
        fleet.end(request, attempt_end::wrong_endpoint);
        evacuate(fleet, {});
        for (int index = 0; index < 4; ++index)
            CPPUNIT_ASSERT(endpoint_of(fleet, fleet.ask("/look/x")) != retired);
    }

    void a_domain_that_does_not_exist_changes_nothing_and_shows_in_the_log()
    {
        driver fleet;
        fleet.start(two_domains());
        evacuate(fleet, { failure_domain("nroth") });
        CPPUNIT_ASSERT(endpoint_of(fleet, fleet.ask("/look/x")) != "none");
        CPPUNIT_ASSERT(fleet.log().find(R"("domain":"nroth","endpoints":0)") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace shedhill::dispatch
