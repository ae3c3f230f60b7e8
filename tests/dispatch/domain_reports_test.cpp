// SPDX-License-Identifier: BSD-2-Clause
// Tests the sums of a failure domain: every router counts the usage of each other router once, whichever way it
// receives it, also when another router becomes the delegate that reports the sums.
#include "base/hash.h"
#include "libraries/dispatch/admission/reported_usage.h"
#include "libraries/dispatch/admission/team_ledger.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

#include <array>

namespace shedhill::dispatch {

class domain_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(domain_reports_test);
    CPPUNIT_TEST(changes_of_usage_add_up);
    CPPUNIT_TEST(a_domains_usage_is_that_of_its_routers);
    CPPUNIT_TEST(a_domains_loads_are_those_of_its_routers);
    CPPUNIT_TEST(a_domain_replaces_its_single_routers);
    CPPUNIT_TEST(a_single_router_does_not_count_beside_its_domain);
    CPPUNIT_TEST(sums_of_the_own_domain_are_ignored);
    CPPUNIT_TEST(a_new_delegate_omits_outdated_samples);
    CPPUNIT_TEST(a_part_used_again_at_once_is_not_reported_again);
    CPPUNIT_TEST(levels_add_up_whichever_router_is_the_delegate);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }
    static team_key team(char const* name) { return key_of(team_name(name)); }
    static endpoint_key endpoint(char const* name) { return key_of(endpoint_name(name)); }

    static peer_report report_of(char const* peer, char const* domain, token_count admitted)
    {
        peer_report report;
        report.peer = vm_name(peer);
        report.domain = failure_domain(domain);
        report.teams = { { team("red"), admitted, admitted } };
        report.loads = { { endpoint("m1"), { 3, 100, 0 }, { 100, 10 } } };
        return report;
    }

    static dispatch_reducer make_reducer(char const* vm, char const* domain)
    {
        dispatch_options options;
        options.vm = vm_name(vm);
        options.domain = failure_domain(domain);
        dispatch_reducer reducer(options);
        endpoints_listed listed;
        listed.entries = { dispatch_driver::make_endpoint("m1", "model", 100) };
        reducer.reduce({ at(1000), 0, listed });
        return reducer;
    }

    static token_count admitted_in(peer_report const& report)
    {
        return report.teams.empty() ? 0 : report.teams[0].admitted;
    }

    void changes_of_usage_add_up()
    {
        testing::check_property("changes of usage add up to the current usage", [] {
            reported_usage reported;
            team_ledger receiver_ledger(milliseconds(4000));
            peer_report report;
            report.peer = vm_name("b");
            constexpr std::uint64_t teams = 3;
            // The usage of each team at each step; a team with no usage is left out.
            auto const steps = *rc::gen::container<std::vector<std::array<std::uint16_t, teams>>>(
                rc::gen::container<std::array<std::uint16_t, teams>>(rc::gen::inRange<std::uint16_t>(0, 3)));
            report.scope = report_scope::whole;
            for (auto const& step : steps) {
                std::vector<team_usage> current;
                for (std::uint64_t index = 0; index < teams; ++index) {
                    if (step.at(index) > 0)
                        current.push_back({ team_key(index), step.at(index), step.at(index) });
                }
                report.teams = reported.take(current, report.scope);
                receiver_ledger.apply_report(report, report_origin::elsewhere, at(1000));
                report.scope = report_scope::changes;
                for (std::uint64_t index = 0; index < teams; ++index)
                    RC_ASSERT(receiver_ledger.level(team_key(index), at(1000)) == step.at(index));
            }
        });
    }

    void a_domains_usage_is_that_of_its_routers()
    {
        auto reducer = make_reducer("a", "north");
        reducer.reduce({ at(1000), 0, report_of("b", "north", 500) });
        reducer.reduce({ at(1000), 0, report_of("c", "north", 30) });
        reducer.reduce({ at(1000), 0, report_of("z", "south", 7000) });
        auto const report = reducer.take_domain_report(report_scope::whole, at(1100));
        CPPUNIT_ASSERT_EQUAL(token_count { 530 }, admitted_in(report));
        CPPUNIT_ASSERT_EQUAL(3U, report.routers);
        CPPUNIT_ASSERT(report.subject == report_subject::domain);
    }

    void a_domains_loads_are_those_of_its_routers()
    {
        auto reducer = make_reducer("a", "north");
        (void)reducer.take_domain_report(report_scope::whole, at(1000));
        reducer.reduce({ at(1050), 0, report_of("b", "north", 500) });
        reducer.reduce({ at(1050), 0, report_of("c", "north", 500) });
        reducer.reduce({ at(1050), 0, report_of("z", "south", 500) });
        auto const report = reducer.take_domain_report(report_scope::changes, at(1100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, report.loads.size());
        CPPUNIT_ASSERT_EQUAL(6U, report.loads[0].work.running);
        CPPUNIT_ASSERT_EQUAL(token_count { 200 }, report.loads[0].work.pending_prefill);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, report.loads[0].prefill.tokens, 0.01);
        CPPUNIT_ASSERT(reducer.take_domain_report(report_scope::changes, at(1200)).loads.empty());
    }

    void a_domain_replaces_its_single_routers()
    {
        auto reducer = make_reducer("a", "north");
        reducer.reduce({ at(1000), 0, report_of("y", "south", 100) });
        reducer.reduce({ at(1000), 0, report_of("z", "south", 100) });
        auto sums = report_of("y", "south", 200);
        sums.subject = report_subject::domain;
        sums.loads[0].work.running = 6;
        reducer.reduce({ at(1010), 0, sums });
        // A repeated report adds nothing.
        reducer.reduce({ at(1020), 0, sums });
        CPPUNIT_ASSERT_EQUAL(6U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
    }

    void a_single_router_does_not_count_beside_its_domain()
    {
        auto reducer = make_reducer("a", "north");
        auto sums = report_of("y", "south", 200);
        sums.subject = report_subject::domain;
        reducer.reduce({ at(1000), 0, sums });
        reducer.reduce({ at(1010), 0, report_of("z", "south", 100) });
        CPPUNIT_ASSERT_EQUAL(3U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
        // The sums are dropped three seconds after the last report of them.
        reducer.reduce({ at(3900), 0, tick {} });
        CPPUNIT_ASSERT_EQUAL(3U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
        reducer.reduce({ at(4100), 0, tick {} });
        CPPUNIT_ASSERT_EQUAL(0U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
        reducer.reduce({ at(4110), 0, report_of("z", "south", 100) });
        CPPUNIT_ASSERT_EQUAL(3U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
    }

    void sums_of_the_own_domain_are_ignored()
    {
        auto reducer = make_reducer("a", "north");
        auto sums = report_of("b", "north", 200);
        sums.subject = report_subject::domain;
        reducer.reduce({ at(1000), 0, sums });
        CPPUNIT_ASSERT_EQUAL(0U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
    }

    void a_new_delegate_omits_outdated_samples()
    {
        auto reducer = make_reducer("a", "north");
        for (std::int64_t now = 1000; now < 9000; now += 100)
            reducer.reduce({ at(now), 0, report_of("b", "north", 500) });
        auto const first = reducer.take_domain_report(report_scope::changes, at(9000));
        CPPUNIT_ASSERT(first.scope == report_scope::whole);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, first.loads.at(0).prefill.tokens, 0.01);
        CPPUNIT_ASSERT_EQUAL(3U, first.loads.at(0).work.running);
        reducer.reduce({ at(9050), 0, report_of("b", "north", 500) });
        auto const next = reducer.take_domain_report(report_scope::changes, at(9100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, next.loads.at(0).prefill.tokens, 0.01);
    }

    void a_part_used_again_at_once_is_not_reported_again()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("m1", "model") });
        auto const count_reported_parts = [&driver](milliseconds pause) {
            driver.wait(pause);
            driver.end(driver.ask_and_prefill("/resumable/", "red-key", 100), attempt_end::complete);
            return driver.reducer().take_own_report(report_scope::changes, driver.now()).parts.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_reported_parts(milliseconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_reported_parts(milliseconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_reported_parts(milliseconds(1100)));
    }

    // Each of two failure domains has three routers. In each step one router admits something, and a randomly chosen
    // delegate of each failure domain reports to the routers of the other one. Every router's level must equal the sum
    // of what was admitted.
    void levels_add_up_whichever_router_is_the_delegate()
    {
        testing::check_property("levels add up whichever router is the delegate", [] {
            constexpr std::size_t routers_per_domain = 3;
            // With this window no usage decays during the test. Usage counts twice when it is recorded.
            constexpr milliseconds window { 1000000000 };
            constexpr token_count recent_factor = 2;
            constexpr std::array domains { "north", "south" };
            struct router {
                std::string name;
                std::size_t domain;
                team_ledger ledger;
                reported_usage own_reported;
                reported_usage domain_reported;
            };
            std::vector<router> routers;
            for (std::size_t index = 0; index < 2 * routers_per_domain; ++index)
                routers.push_back(
                    { "r" + std::to_string(index), index / routers_per_domain, team_ledger(window), {}, {} });
            auto const send_report = [&](router& from, report_subject subject, report_scope scope, instant now) {
                peer_report report;
                report.peer = vm_name(from.name);
                report.domain = failure_domain(domains.at(from.domain));
                report.subject = subject;
                report.scope = scope;
                bool const is_domain = subject == report_subject::domain;
                report.teams = is_domain ? from.domain_reported.take(from.ledger.domain_usage(now), scope)
                                         : from.own_reported.take(from.ledger.own_usage(now), scope);
                for (auto& to : routers) {
                    bool const is_same_domain = to.domain == from.domain;
                    if (to.name != from.name && is_same_domain != is_domain)
                        to.ledger.apply_report(
                            report, is_same_domain ? report_origin::own_domain : report_origin::elsewhere, now);
                }
            };
            auto const steps = *rc::gen::container<std::vector<std::tuple<std::size_t, std::uint16_t, std::size_t>>>(
                rc::gen::tuple(rc::gen::inRange<std::size_t>(0, 2 * routers_per_domain),
                    rc::gen::inRange<std::uint16_t>(8, 999), rc::gen::inRange<std::size_t>(0, routers_per_domain)));
            token_count total = 0;
            std::int64_t now = 1000;
            for (auto const& [index, amount, delegate] : steps) {
                now += 100;
                routers[index].ledger.charge(team("red"), at(now), amount);
                total += recent_factor * amount;
                for (auto& from : routers)
                    send_report(from, report_subject::router, report_scope::changes, at(now));
                // The first report of a new delegate is whole.
                for (std::size_t domain = 0; domain < 2; ++domain)
                    send_report(routers[domain * routers_per_domain + delegate], report_subject::domain,
                        report_scope::whole, at(now));
                for (auto& receiver : routers)
                    RC_ASSERT(receiver.ledger.level(team("red"), at(now)) == total);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(domain_reports_test);

} // namespace shedhill::dispatch
