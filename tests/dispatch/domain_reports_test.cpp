// SPDX-License-Identifier: BSD-2-Clause
// Sums of a failure domain: each router's part is counted once at every other router, whichever way it comes, also when
// another router begins to tell them.
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
    CPPUNIT_TEST(the_own_domain_is_not_taken_from_others);
    CPPUNIT_TEST(who_begins_to_tell_leaves_out_what_is_old);
    CPPUNIT_TEST(a_part_used_again_at_once_is_not_told_again);
    CPPUNIT_TEST(levels_add_up_whoever_tells);
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
        testing::check_property("changes of usage lead to what stands", [] {
            reported_usage told;
            team_ledger there(milliseconds(4000));
            peer_report report;
            report.peer = vm_name("b");
            constexpr std::uint64_t teams = 3;
            // What each team has at each step; a team that has nothing is left out.
            auto const steps = *rc::gen::container<std::vector<std::array<std::uint16_t, teams>>>(
                rc::gen::container<std::array<std::uint16_t, teams>>(rc::gen::inRange<std::uint16_t>(0, 3)));
            report.scope = report_scope::whole;
            for (auto const& step : steps) {
                std::vector<team_usage> current;
                for (std::uint64_t index = 0; index < teams; ++index) {
                    if (step.at(index) > 0)
                        current.push_back({ team_key(index), step.at(index), step.at(index) });
                }
                report.teams = told.take(current, report.scope);
                there.apply_report(report, report_origin::elsewhere, at(1000));
                report.scope = report_scope::changes;
                for (std::uint64_t index = 0; index < teams; ++index)
                    RC_ASSERT(there.level(team_key(index), at(1000)) == step.at(index));
            }
        });
    }

    void a_domains_usage_is_that_of_its_routers()
    {
        auto reducer = make_reducer("a", "north");
        reducer.reduce({ at(1000), 0, report_of("b", "north", 500) });
        reducer.reduce({ at(1000), 0, report_of("c", "north", 30) });
        reducer.reduce({ at(1000), 0, report_of("z", "south", 7000) });
        auto const told = reducer.take_domain_report(report_scope::whole, at(1100));
        CPPUNIT_ASSERT_EQUAL(token_count { 530 }, admitted_in(told));
        CPPUNIT_ASSERT_EQUAL(3U, told.routers);
        CPPUNIT_ASSERT(told.subject == report_subject::domain);
    }

    void a_domains_loads_are_those_of_its_routers()
    {
        auto reducer = make_reducer("a", "north");
        (void)reducer.take_domain_report(report_scope::whole, at(1000));
        reducer.reduce({ at(1050), 0, report_of("b", "north", 500) });
        reducer.reduce({ at(1050), 0, report_of("c", "north", 500) });
        reducer.reduce({ at(1050), 0, report_of("z", "south", 500) });
        auto const told = reducer.take_domain_report(report_scope::changes, at(1100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, told.loads.size());
        CPPUNIT_ASSERT_EQUAL(6U, told.loads[0].work.running);
        CPPUNIT_ASSERT_EQUAL(token_count { 200 }, told.loads[0].work.pending_prefill);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, told.loads[0].prefill.tokens, 0.01);
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
        // Repeated, it adds nothing.
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
        // The sums are forgotten three seconds later than the last of them.
        reducer.reduce({ at(3900), 0, tick {} });
        CPPUNIT_ASSERT_EQUAL(3U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
        reducer.reduce({ at(4100), 0, tick {} });
        CPPUNIT_ASSERT_EQUAL(0U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
        reducer.reduce({ at(4110), 0, report_of("z", "south", 100) });
        CPPUNIT_ASSERT_EQUAL(3U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
    }

    void the_own_domain_is_not_taken_from_others()
    {
        auto reducer = make_reducer("a", "north");
        auto sums = report_of("b", "north", 200);
        sums.subject = report_subject::domain;
        reducer.reduce({ at(1000), 0, sums });
        CPPUNIT_ASSERT_EQUAL(0U, reducer.occupancy_of(pool_name("model"), at(1020)).used_slots);
    }

    void who_begins_to_tell_leaves_out_what_is_old()
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

    void a_part_used_again_at_once_is_not_told_again()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("m1", "model") });
        auto const parts_told = [&driver](milliseconds pause) {
            driver.wait(pause);
            driver.end(driver.ask_and_read("/resumable/", "red-key", 100), attempt_end::complete);
            return driver.reducer().take_own_report(report_scope::changes, driver.now()).parts.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, parts_told(milliseconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, parts_told(milliseconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, parts_told(milliseconds(1100)));
    }

    // Three routers in each of two failure domains; each step, one of them admits something, and one of each failure
    // domain, drawn anew, tells the other domain's routers. What all know in the end is what was admitted.
    void levels_add_up_whoever_tells()
    {
        testing::check_property("levels add up whoever tells", [] {
            constexpr std::size_t each = 3;
            // Nothing fades in the time of the test; what is added counts twice.
            constexpr milliseconds unfading { 1000000000 };
            constexpr token_count fresh = 2;
            constexpr std::array domains { "north", "south" };
            struct router {
                std::string name;
                std::size_t domain;
                team_ledger ledger;
                reported_usage own_told;
                reported_usage domain_told;
            };
            std::vector<router> routers;
            for (std::size_t index = 0; index < 2 * each; ++index)
                routers.push_back({ "r" + std::to_string(index), index / each, team_ledger(unfading), {}, {} });
            auto const tell = [&](router& from, report_subject subject, report_scope scope, instant now) {
                peer_report report;
                report.peer = vm_name(from.name);
                report.domain = failure_domain(domains.at(from.domain));
                report.subject = subject;
                report.scope = scope;
                bool const is_domain = subject == report_subject::domain;
                report.teams = is_domain ? from.domain_told.take(from.ledger.domain_usage(now), scope)
                                         : from.own_told.take(from.ledger.own_usage(now), scope);
                for (auto& to : routers) {
                    bool const is_same = to.domain == from.domain;
                    if (to.name != from.name && is_same != is_domain)
                        to.ledger.apply_report(
                            report, is_same ? report_origin::own_domain : report_origin::elsewhere, now);
                }
            };
            auto const steps = *rc::gen::container<std::vector<std::tuple<std::size_t, std::uint16_t, std::size_t>>>(
                rc::gen::tuple(rc::gen::inRange<std::size_t>(0, 2 * each), rc::gen::inRange<std::uint16_t>(8, 999),
                    rc::gen::inRange<std::size_t>(0, each)));
            token_count sum = 0;
            std::int64_t now = 1000;
            for (auto const& [index, amount, teller] : steps) {
                now += 100;
                routers[index].ledger.charge(team("red"), at(now), amount);
                sum += fresh * amount;
                for (auto& from : routers)
                    tell(from, report_subject::router, report_scope::changes, at(now));
                // A router that begins to tell begins with the whole.
                for (std::size_t domain = 0; domain < 2; ++domain)
                    tell(routers[domain * each + teller], report_subject::domain, report_scope::whole, at(now));
                for (auto& known : routers)
                    RC_ASSERT(known.ledger.level(team("red"), at(now)) == sum);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(domain_reports_test);

} // namespace shedhill::dispatch
