// SPDX-License-Identifier: BSD-2-Clause
// Tests single components of the dispatcher: routes, shares, the retry budget, table watchers, and the choice of
// endpoints by cached prompt parts.
#include "base/hash.h"
#include "libraries/dispatch/admission/fleet_retry_budget.h"
#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "libraries/dispatch/endpoints/prompt_cache_index.h"
#include "libraries/dispatch/store/table_watcher.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

#include <array>
#include <limits>
#include <numeric>

namespace shedhill::dispatch {

class dispatch_parts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_parts_test);
    CPPUNIT_TEST(the_longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(pools_are_chosen_by_weight);
    CPPUNIT_TEST(shares_are_max_min);
    CPPUNIT_TEST(a_report_replaces_the_one_before);
    CPPUNIT_TEST(a_share_grows_with_the_observed_span);
    CPPUNIT_TEST(a_starting_router_adopts_the_reported_observed_span);
    CPPUNIT_TEST(old_values_leave_the_window);
    CPPUNIT_TEST(the_fleet_keeps_its_retry_budget);
    CPPUNIT_TEST(a_table_is_read_and_then_watched);
    CPPUNIT_TEST(a_lost_history_causes_a_full_read_that_never_goes_back);
    CPPUNIT_TEST(the_last_change_of_the_rows_differs_from_the_stores_version);
    CPPUNIT_TEST(the_polling_interval_can_be_changed);
    CPPUNIT_TEST(rows_reported_by_a_peer_are_watched_further);
    CPPUNIT_TEST(a_part_counts_only_after_cached_parts);
    CPPUNIT_TEST(the_endpoint_that_has_the_parts_cached_is_preferred);
    CPPUNIT_TEST(a_full_endpoint_is_skipped);
    CPPUNIT_TEST(an_endpoint_that_was_slow_is_tried_again);
    CPPUNIT_TEST(all_routers_send_new_parts_to_the_same_endpoint);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    void the_longest_prefix_of_the_host_wins()
    {
        route_table table;
        configuration declared;
        declared.revision = 1;
        declared.routes = { dispatch_driver::make_route("/a/", answer_form::whole, retry_mode::whole, "one"),
            dispatch_driver::make_route("/a/b/", answer_form::whole, retry_mode::whole, "two") };
        CPPUNIT_ASSERT(table.adopt(declared) == adoption::adopted);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), table.find_route("host", "/a/b/c")->path_prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), table.find_route("host", "/a/bc")->path_prefix);
        CPPUNIT_ASSERT(table.find_route("host", "/b/") == nullptr);
        CPPUNIT_ASSERT(table.find_route("other", "/a/") == nullptr);
        CPPUNIT_ASSERT(table.adopt(declared) == adoption::not_newer);
    }

    void pools_are_chosen_by_weight()
    {
        route from;
        from.pools = { { pool_name("most"), 90 }, { pool_name("few"), 10 }, { pool_name("none"), 0 } };
        int few = 0;
        for (std::uint64_t draw = 0; draw < 1000; ++draw) {
            auto const* pool = route_table::choose_pool(from, draw);
            CPPUNIT_ASSERT(pool->value() != "none");
            few += pool->value() == "few" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, few);
    }

    // Demands are multiples of this number of tokens; the decaying sums drop smaller values.
    static constexpr int min_counted = 16;

    // The oracle of max-min fairness: no team receives more than its demand, a team that receives less than its demand
    // receives the share, and the whole entitlement is distributed.
    void shares_are_max_min()
    {
        testing::check_property("water filling gives max-min shares", [] {
            // A demand counts twice at the time at which it is recorded.
            constexpr int recent_factor = 2;
            auto demands = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 2500)));
            for (auto& demand : demands)
                demand *= recent_factor * min_counted;
            auto const rate = min_counted * *rc::gen::inRange(100, 20000);
            team_ledger ledger(milliseconds(4000));
            // A whole window has been observed by the time of the demands.
            ledger.update_shares(rate, at(1000));
            for (std::size_t index = 0; index < demands.size(); ++index)
                ledger.record_requested(
                    key_of(team_name(std::to_string(index))), at(5000), demands[index] / recent_factor);
            ledger.update_shares(rate, at(5000));
            auto const entitled = static_cast<token_count>(rate) * 4;
            auto const requested = std::accumulate(demands.begin(), demands.end(), token_count { 0 });
            if (requested <= entitled) {
                for (auto const demand : demands)
                    RC_ASSERT(ledger.share() >= demand);
                return;
            }
            token_count allotted = 0;
            for (auto const demand : demands)
                allotted += std::min<token_count>(demand, ledger.share());
            RC_ASSERT(allotted <= entitled);
            RC_ASSERT(allotted > entitled - static_cast<token_count>(demands.size()));
        });
    }

    void a_report_replaces_the_one_before()
    {
        team_ledger ledger(milliseconds(4000));
        ledger.charge(key_of(team_name("red")), at(1000), 1000);
        CPPUNIT_ASSERT_EQUAL(token_count { 2000 }, ledger.level(key_of(team_name("red")), at(1000)));
        peer_report report;
        report.peer = vm_name("b");
        report.teams = { { key_of(team_name("red")), 500, 100 } };
        ledger.apply_report(report, report_origin::own_domain, at(1000));
        report.teams = { { key_of(team_name("red")), 600, 150 } };
        ledger.apply_report(report, report_origin::own_domain, at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 2150 }, ledger.level(key_of(team_name("red")), at(1000)));
        ledger.forget(report.source());
        CPPUNIT_ASSERT_EQUAL(token_count { 2000 }, ledger.level(key_of(team_name("red")), at(1000)));
    }

    // Guards against routers that all restart together and admit the share of a whole window at once, so that nearly
    // all requests of the next second are late.
    void a_share_grows_with_the_observed_span()
    {
        team_ledger ledger(milliseconds(4000));
        ledger.record_requested(key_of(team_name("red")), at(1000), 1000000);
        ledger.update_shares(1000, at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 1000 }, ledger.share());
        ledger.update_shares(1000, at(2500));
        CPPUNIT_ASSERT_EQUAL(token_count { 2500 }, ledger.share());
        ledger.record_requested(key_of(team_name("red")), at(9000), 1000000);
        ledger.update_shares(1000, at(9000));
        CPPUNIT_ASSERT_EQUAL(token_count { 4000 }, ledger.share());
        CPPUNIT_ASSERT(ledger.observed_span(at(9000)) == milliseconds(4000));
    }

    void a_starting_router_adopts_the_reported_observed_span()
    {
        team_ledger ledger(milliseconds(4000));
        ledger.update_shares(1000, at(1000));
        peer_report report;
        report.peer = vm_name("b");
        report.teams = { { key_of(team_name("red")), 1000000, 0 } };
        report.observed_span = milliseconds(4000);
        ledger.apply_report(report, report_origin::own_domain, at(1100));
        ledger.update_shares(1000, at(1100));
        CPPUNIT_ASSERT_EQUAL(token_count { 4000 }, ledger.share());
    }

    void old_values_leave_the_window()
    {
        sliding_sum<4> sum(milliseconds(400));
        sum.add(at(1000), 5);
        sum.add(at(1200), 7);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 12 }, sum.sum(at(1399)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, sum.sum(at(1400)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, sum.sum(at(99000)));
    }

    // Routers that receive no reports from each other together stay within the budget in every window.
    void the_fleet_keeps_its_retry_budget()
    {
        testing::check_property("repeats stay within the budget of the fleet", [] {
            constexpr std::size_t routers = 4;
            auto const requests = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, static_cast<int>(routers)), rc::gen::inRange(0, 60)));
            std::vector<fleet_retry_budget> budgets(
                routers, fleet_retry_budget({ 0.2, milliseconds(10000), 20, routers }));
            std::int64_t now = 1000;
            std::vector<std::pair<std::int64_t, bool>> arrivals;
            pool_name const pool("model");
            for (auto const& [router, pause] : requests) {
                now += pause;
                budgets[static_cast<std::size_t>(router)].record_request(pool, at(now));
                arrivals.emplace_back(now, false);
                // Every request fails and is retried if the budget allows it.
                if (budgets[static_cast<std::size_t>(router)].spend(pool, at(now)))
                    arrivals.emplace_back(now, true);
            }
            for (auto const& [end, _] : arrivals) {
                double first_attempts = 0;
                double retries = 0;
                for (auto const& [when, is_retry] : arrivals) {
                    if (when <= end && when > end - 10000)
                        (is_retry ? retries : first_attempts) += 1;
                }
                RC_ASSERT(retries <= 0.2 * first_attempts + 20);
            }
        });
    }

    void a_table_is_read_and_then_watched()
    {
        table_watcher watcher({ milliseconds(0), milliseconds(1500) });
        auto call = watcher.take_next(at(1000));
        CPPUNIT_ASSERT(call.kind == table_watcher::call_kind::read);
        CPPUNIT_ASSERT(watcher.take_next(at(1001)).kind == table_watcher::call_kind::none);
        watcher.apply_page({ { "a", "1", 3, false } }, 5, true, at(1002));
        call = watcher.take_next(at(1003));
        CPPUNIT_ASSERT(call.kind == table_watcher::call_kind::read);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call.after_key);
        // Rows may have changed while further pages were read, so the rows of the pages are not used yet.
        CPPUNIT_ASSERT(watcher.apply_page({ { "b", "2", 4, false } }, 6, false, at(1004))
            == table_watcher::page_outcome::nothing_new);
        CPPUNIT_ASSERT(!watcher.has_rows());
        call = watcher.take_next(at(1005));
        CPPUNIT_ASSERT(call.kind == table_watcher::call_kind::watch);
        CPPUNIT_ASSERT(call.is_part_of_read);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, call.since);
        CPPUNIT_ASSERT(watcher.apply_page({ { "a", "", 7, true }, { "b", "3", 8, false } }, 8, false, at(1006))
            == table_watcher::page_outcome::changed);
        CPPUNIT_ASSERT(!watcher.rows().contains("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), watcher.rows().at("b").value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, watcher.version());
        CPPUNIT_ASSERT(!watcher.take_next(at(1007)).is_part_of_read);
    }

    void a_lost_history_causes_a_full_read_that_never_goes_back()
    {
        table_watcher watcher({ milliseconds(0), milliseconds(1500) });
        (void)watcher.take_next(at(1000));
        watcher.apply_page({ { "a", "new", 9, false } }, 9, false, at(1000));
        (void)watcher.take_next(at(1001));
        watcher.apply_failure(table_watcher::failure::history_gone, at(1002));
        CPPUNIT_ASSERT(watcher.take_next(at(1002)).kind == table_watcher::call_kind::read);
        // The store answers with a version that is older than the rows.
        CPPUNIT_ASSERT(watcher.apply_page({ { "a", "old", 4, false } }, 5, false, at(1003))
            == table_watcher::page_outcome::out_of_date);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), watcher.rows().at("a").value);
        CPPUNIT_ASSERT(watcher.take_next(at(2000)).kind == table_watcher::call_kind::read);
    }

    // Heartbeats in other tables advance the store's version. The version of the last change to the watched rows
    // therefore decides which router has newer rows. After a complete read it is the version of the read, since rows
    // may have been removed up to it.
    void the_last_change_of_the_rows_differs_from_the_stores_version()
    {
        table_watcher watcher({ milliseconds(0), milliseconds(1500) });
        (void)watcher.take_next(at(1000));
        watcher.apply_page({ { "a", "1", 3, false }, { "b", "1", 5, false } }, 9, false, at(1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, watcher.changed_version());
        (void)watcher.take_next(at(1001));
        watcher.apply_page({}, 20, false, at(1002));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 20 }, watcher.version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, watcher.changed_version());
        (void)watcher.take_next(at(1003));
        watcher.apply_page({ { "b", "", 22, true } }, 25, false, at(1004));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 22 }, watcher.changed_version());
        // A whole read contains no row for a removed key, so that the reported version of the last change applies.
        (void)watcher.apply_reported({ {}, { { "a", { "1", 3 } } }, {}, 0, 30, 28 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 28 }, watcher.changed_version());
        // The version of the last change is limited to that of the rows, whatever a router reports, and never
        // decreases.
        (void)watcher.apply_reported({ {}, { { "a", { "1", 3 } } }, {}, 0, 31, 99 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 31 }, watcher.changed_version());
        (void)watcher.apply_reported({ {}, { { "a", { "1", 3 } } }, {}, 0, 40, 2 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 31 }, watcher.changed_version());
    }

    void the_polling_interval_can_be_changed()
    {
        table_watcher watcher({ milliseconds(100), milliseconds(1500) });
        (void)watcher.take_next(at(1000));
        watcher.apply_page({}, 5, false, at(1010));
        watcher.set_options({ milliseconds(1000), milliseconds(1500) });
        CPPUNIT_ASSERT(watcher.take_next(at(1100)).kind == table_watcher::call_kind::watch);
        watcher.apply_page({}, 6, false, at(1110));
        CPPUNIT_ASSERT(watcher.take_next(at(2099)).kind == table_watcher::call_kind::none);
        CPPUNIT_ASSERT(watcher.take_next(at(2100)).kind == table_watcher::call_kind::watch);
        watcher.apply_page({}, 7, false, at(2110));
        // A shorter interval applies at once, without waiting for the end of the longer one.
        watcher.set_options({ milliseconds(200), milliseconds(700) });
        CPPUNIT_ASSERT(watcher.take_next(at(2299)).kind == table_watcher::call_kind::none);
        auto const next = watcher.take_next(at(2300));
        CPPUNIT_ASSERT(next.kind == table_watcher::call_kind::watch);
        CPPUNIT_ASSERT(next.wait == milliseconds(700));
    }

    void rows_reported_by_a_peer_are_watched_further()
    {
        table_watcher watcher({ milliseconds(0), milliseconds(1500) });
        CPPUNIT_ASSERT(watcher.apply_reported({ {}, { { "a", { "1", 3 } } }, {}, 0, 12, 3 })
            == table_watcher::page_outcome::changed);
        CPPUNIT_ASSERT(watcher.apply_reported({ {}, {}, {}, 0, 11, 11 }) == table_watcher::page_outcome::out_of_date);
        auto const call = watcher.take_next(at(1000));
        CPPUNIT_ASSERT(call.kind == table_watcher::call_kind::watch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 12 }, call.since);
    }

    void a_part_counts_only_after_cached_parts()
    {
        prompt_cache_index cache_index;
        request_cost cost;
        cost.prompt = 60;
        cost.parts = { { 1, 10 }, { 2, 20 }, { 3, 30 } };
        cache_index.record_use(2, at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 60 }, cache_index.count_uncached_tokens(cost, at(500)));
        cache_index.record_use(1, at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 30 }, cache_index.count_uncached_tokens(cost, at(500)));
        // The last part belongs to the request alone and is never counted as cached. Parts expire when they remain
        // unused.
        cache_index.record_use(3, at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 30 }, cache_index.count_uncached_tokens(cost, at(500)));
        CPPUNIT_ASSERT_EQUAL(token_count { 60 }, cache_index.count_uncached_tokens(cost, at(48000)));
    }

    static choice_request default_choice(request_cost const& cost, std::vector<endpoint_name> const& excluded)
    {
        choice_request request;
        request.pool = pool_name("model");
        request.cost = &cost;
        request.excluded = &excluded;
        request.time_left_ms = 400;
        request.is_engine = true;
        return request;
    }

    static request_cost long_prompt(std::uint64_t subject)
    {
        request_cost cost;
        cost.prompt = 6000;
        cost.parts = { { 1, 500 }, { subject, 5000 }, { subject + 1000000, 500 } };
        return cost;
    }

    void the_endpoint_that_has_the_parts_cached_is_preferred()
    {
        endpoint_board board(failure_domain("north"));
        std::vector<endpoint_entry> entries;
        for (auto const* name : { "e1", "e2", "e3", "e4" })
            entries.push_back(dispatch_driver::make_endpoint(name, "model", 8));
        board.apply_list(entries, at(1000));
        auto const cost = long_prompt(77);
        std::vector<endpoint_name> const excluded;
        for (auto const* name : { "e1", "e2", "e3", "e4" }) {
            endpoint_board empty_board(failure_domain("north"));
            empty_board.apply_list(entries, at(1000));
            auto* const caching_endpoint = empty_board.find(endpoint_name(name));
            caching_endpoint->prompt_cache.record_use(1, at(1000));
            caching_endpoint->prompt_cache.record_use(77, at(1000));
            caching_endpoint->own.running = 3;
            auto const chosen = empty_board.choose(default_choice(cost, excluded), at(1001));
            CPPUNIT_ASSERT_EQUAL(std::string(name), chosen.endpoint->entry.name.value());
            CPPUNIT_ASSERT_EQUAL(token_count { 500 }, chosen.uncached_tokens);
        }
    }

    void a_full_endpoint_is_skipped()
    {
        endpoint_board board(failure_domain("north"));
        board.apply_list(
            { dispatch_driver::make_endpoint("e1", "model", 8), dispatch_driver::make_endpoint("e2", "model", 8) },
            at(1000));
        auto const cost = long_prompt(77);
        std::vector<endpoint_name> const excluded;
        auto* const caching_endpoint = board.find(endpoint_name("e1"));
        caching_endpoint->prompt_cache.record_use(1, at(1000));
        caching_endpoint->prompt_cache.record_use(77, at(1000));
        // The requests of other routers count as well.
        board.apply_report(
            { vm_name("b"), report_scope::whole, { { key_of(endpoint_name("e1")), { 8, 0, 0 } } }, {}, {} },
            report_origin::own_domain, at(1000));
        auto const chosen = board.choose(default_choice(cost, excluded), at(1001));
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), chosen.endpoint->entry.name.value());
        CPPUNIT_ASSERT_EQUAL(token_count { 5500 }, chosen.redundant_prefill);
        board.forget(peer_report { .peer = vm_name("b") }.source());
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1"), board.choose(default_choice(cost, excluded), at(1001)).endpoint->entry.name.value());
    }

    // Guards against a router that never sends to an engine again: its estimate for the prompts that other routers sent
    // there remained slow, and without requests of its own it had no samples. The samples that other routers report
    // must correct the estimate.
    void an_endpoint_that_was_slow_is_tried_again()
    {
        endpoint_board board(failure_domain("north"));
        board.apply_list({ dispatch_driver::make_endpoint("e1", "model", 100) }, at(1000));
        // The engine prefills prompts that were sent together one after another, each in half a second.
        auto& endpoint = *board.find(endpoint_name("e1"));
        endpoint_choice chosen;
        chosen.endpoint = &endpoint;
        chosen.uncached_tokens = 4000;
        std::array<engine_run, 20> sent {};
        for (auto& run : sent)
            run = board.record_attempt(chosen, true, at(1000));
        std::int64_t now = 1000;
        for (auto& run : sent) {
            now += 500;
            auto const elapsed_ms = static_cast<double>(now - 1000);
            board.record_overdue(endpoint, run, std::max(elapsed_ms - run.estimate.total_ms(), 0.0), at(now));
            board.record_first_event(endpoint, run, elapsed_ms, at(now));
        }
        auto const cost = long_prompt(77);
        std::vector<endpoint_name> const excluded;
        auto const simulate_other_senders = [&](std::int64_t time) {
            for (auto const until = now + time; now < until; now += 100) {
                board.apply_report({ vm_name("b"), report_scope::whole,
                                       { { key_of(endpoint_name("e1")), { 10, 3000, 0 }, { 3000, 60 } } }, {}, {} },
                    report_origin::own_domain, at(now));
                board.update_rates(at(now));
            }
        };
        simulate_other_senders(200);
        CPPUNIT_ASSERT(!board.choose(default_choice(cost, excluded), at(now)).is_in_time);
        simulate_other_senders(10000);
        CPPUNIT_ASSERT(board.choose(default_choice(cost, excluded), at(now)).is_in_time);
    }

    void all_routers_send_new_parts_to_the_same_endpoint()
    {
        std::vector<endpoint_entry> entries;
        for (auto const* name : { "e1", "e2", "e3", "e4", "e5" })
            entries.push_back(dispatch_driver::make_endpoint(name, "model", 8));
        std::vector<endpoint_name> const excluded;
        std::map<std::string, int> requests_by_endpoint;
        for (std::uint64_t subject = 100; subject < 200; ++subject) {
            endpoint_board left(failure_domain("north"));
            endpoint_board right(failure_domain("north"));
            left.apply_list(entries, at(1000));
            right.apply_list(entries, at(1000));
            auto const cost = long_prompt(subject);
            auto const chosen = left.choose(default_choice(cost, excluded), at(1001)).endpoint->entry.name;
            CPPUNIT_ASSERT(chosen == right.choose(default_choice(cost, excluded), at(1001)).endpoint->entry.name);
            ++requests_by_endpoint[chosen.value()];
        }
        CPPUNIT_ASSERT_EQUAL(entries.size(), requests_by_endpoint.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_parts_test);

} // namespace shedhill::dispatch
