// SPDX-License-Identifier: BSD-2-Clause
// Tests how soon a router has the current rows of the store after a failure of the store.
#include "tests/dispatch/store_simulation.h"
#include "tests/support/property.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class store_watchers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_watchers_test);
    CPPUNIT_TEST(a_configuration_confirmed_after_an_outage_is_received_in_time);
    CPPUNIT_TEST(rows_are_received_in_time_after_any_outages);
    CPPUNIT_TEST(failures_found_by_the_property_stay_fixed);
    CPPUNIT_TEST(a_minute_without_changes_stays_within_the_call_limit);
    CPPUNIT_TEST(the_maximum_time_is_the_sum_of_the_limits);
    CPPUNIT_TEST(an_unavailable_store_is_called_at_a_limited_rate);
    CPPUNIT_TEST(an_answer_ends_the_wait_of_all_tables);
    CPPUNIT_TEST(a_table_that_fails_alone_does_not_affect_the_others);
    CPPUNIT_TEST(a_read_in_progress_is_not_abandoned);
    CPPUNIT_TEST(failing_reads_of_whole_tables_are_retried_less_often);
    CPPUNIT_TEST(a_router_that_does_not_watch_the_store_reads_a_differing_table_again);
    CPPUNIT_TEST(a_version_that_no_row_explains_causes_a_call);
    CPPUNIT_TEST(versions_of_unwatched_tables_cause_few_calls);
    CPPUNIT_TEST_SUITE_END();

    // The smallest limit that operators may set for the time until a confirmed change is in force.
    static constexpr milliseconds smallest_bound { 2000 };

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static watch_terms usual_terms() { return make_watch_terms({ smallest_bound }); }

    // The table of routers is polled at its own interval, even without failures, because no request depends on it.
    static milliseconds bound_of(table_name table)
    {
        return smallest_bound + (table == table_name::routers ? milliseconds(2000) : milliseconds(0));
    }

    // Guards against routers that apply a configuration too late: all five routers used replaced routes for 2.6 s after
    // an outage of the store, although the operator had received the confirmation of the new ones. The cause was that a
    // long poll cannot show that the store has recovered. The store was silent from 5 to 11 s, and a configuration was
    // confirmed at 11.37 s. The long poll of the list from 10.1 s timed out at 12.5 s, after its wait of 1.5 s and a
    // margin of 0.9 s. The next one waited until 14.0 s because the list had not changed, and only then did the router
    // request the configuration.
    void a_configuration_confirmed_after_an_outage_is_received_in_time()
    {
        for (std::int64_t phase = 0; phase < 1500; phase += 100) {
            store_simulation simulation(usual_terms(), { { store_fault::silent, at(5000 + phase), at(11000 + phase) } },
                { { table_name::configuration, at(11370 + phase) }, { table_name::configuration, at(12044 + phase) } },
                1);
            simulation.run_until(at(30000));
            for (std::size_t change = 0; change < 2; ++change) {
                auto const took = simulation.time_to_receive(change);
                CPPUNIT_ASSERT(took.has_value());
                CPPUNIT_ASSERT_MESSAGE(
                    std::to_string(took->count()) + " ms, phase " + std::to_string(phase), *took <= smallest_bound);
            }
        }
    }

    // Draws the terms of a router in a failure domain of any size that receives nothing from the other routers.
    static watch_terms draw_terms()
    {
        constexpr std::size_t watchers = 2;
        auto const routers = *rc::gen::inRange<std::size_t>(1, 30);
        auto const rank = *rc::gen::inRange<std::size_t>(0, routers);
        auto const leaving_bound = *rc::gen::element(smallest_bound, milliseconds(3000), milliseconds(4000));
        return make_watch_terms({ leaving_bound, true, routers > watchers, rank < watchers });
    }

    // Draws two outages of any kind, length and time, and changes of any table at any time.
    void rows_are_received_in_time_after_any_outages()
    {
        testing::check_property("rows are received in time", [] {
            auto const draw_outage = [](std::int64_t earliest) {
                auto const from = earliest + *rc::gen::inRange<std::int64_t>(0, 9000);
                auto const length = *rc::gen::inRange<std::int64_t>(20, 9000);
                auto const fault = *rc::gen::element(store_fault::silent, store_fault::busy, store_fault::resetting,
                    store_fault::slow, store_fault::losing_answers);
                return store_outage { fault, at(from), at(from + length) };
            };
            std::vector<store_outage> outages { draw_outage(2000) };
            auto const between = *rc::gen::inRange<std::int64_t>(0, 6000);
            auto const first_end = outages[0].until.time_since_epoch();
            outages.push_back(draw_outage(std::chrono::duration_cast<milliseconds>(first_end).count() + between));
            auto const draw_change = [] {
                return store_change { *rc::gen::element(
                                          table_name::configuration, table_name::endpoints, table_name::routers),
                    at(*rc::gen::inRange<std::int64_t>(1500, 36000)) };
            };
            std::vector<store_change> changes;
            for (auto count = *rc::gen::inRange(1, 6); count > 0; --count)
                changes.push_back(draw_change());
            store_simulation simulation(draw_terms(), outages, changes, *rc::gen::arbitrary<std::uint64_t>());
            simulation.run_until(at(50000));
            std::ranges::sort(changes, {}, &store_change::at);
            for (std::size_t change = 0; change < changes.size(); ++change) {
                auto const took = simulation.time_to_receive(change);
                RC_ASSERT(took.has_value());
                RC_ASSERT(*took <= bound_of(changes[change].table));
            }
        });
    }

    static void check_time_to_receive(watch_terms const& terms, std::vector<store_outage> const& outages,
        store_change const& change, std::uint64_t seed)
    {
        store_simulation simulation(terms, outages, { change }, seed);
        simulation.run_until(at(50000));
        CPPUNIT_ASSERT(simulation.time_to_receive(0).value_or(milliseconds::max()) <= smallest_bound);
    }

    void failures_found_by_the_property_stay_fixed()
    {
        // The change took 2.42 s: the watchers looked for the row of an unexplained version only between two calls, and
        // a call of every table was in flight.
        check_time_to_receive(usual_terms(),
            { { store_fault::losing_answers, at(9629), at(11041) }, { store_fault::silent, at(13481), at(13501) } },
            { table_name::configuration, at(10241) }, 17172);
        // The change took 2.06 s: a table that failed alone waited as long as a router that leaves the probing to
        // others.
        check_time_to_receive(make_watch_terms({ milliseconds(3000), true, true, false }),
            { { store_fault::losing_answers, at(2055), at(6021) }, { store_fault::silent, at(8081), at(8101) } },
            { table_name::configuration, at(4801) }, 7107852200);
        // The change took 2.18 s: after one slow answer, the margin of long polls was 0.8 s.
        check_time_to_receive(make_watch_terms({ milliseconds(4000), true, false, true }),
            { { store_fault::slow, at(2245), at(2381) }, { store_fault::silent, at(2535), at(2641) } },
            { table_name::endpoints, at(2381) }, 0);
    }

    // Each call loads the store. The limit is the cost of an earlier implementation: 40 calls for the list and 8 each
    // for the configuration and the routers.
    void a_minute_without_changes_stays_within_the_call_limit()
    {
        constexpr std::size_t max_calls = 56;
        store_simulation simulation(usual_terms(), {}, {}, 1);
        simulation.run_until(at(10000));
        (void)simulation.take_calls();
        simulation.run_until(at(70000));
        CPPUNIT_ASSERT(simulation.calls() <= max_calls);
    }

    // A long poll made shortly before the store recovers blocks until its timeout, and all tables are read after it. If
    // the router had already detected the outage, the next probe shows its end.
    void the_maximum_time_is_the_sum_of_the_limits()
    {
        constexpr milliseconds tick { 20 };
        constexpr milliseconds answer { 5 };
        auto const terms = usual_terms();
        auto const undetected_limit = terms.of(table_name::endpoints).wait + store_watchers::min_long_poll_margin;
        auto const reread_time = 2 * (answer + 2 * tick);
        CPPUNIT_ASSERT(undetected_limit + reread_time < smallest_bound);
        auto const slow_undetected_limit = terms.of(table_name::endpoints).wait + store_watchers::max_long_poll_margin;
        CPPUNIT_ASSERT(slow_undetected_limit + reread_time < smallest_bound);
        for (std::int64_t length = 40; length < 6000; length += 160) {
            for (std::int64_t phase = 0; phase < 1400; phase += 140) {
                auto const from = 10000 + phase;
                auto const until = from + length;
                store_simulation simulation(terms, { { store_fault::silent, at(from), at(until) } },
                    { { table_name::configuration, at(until) }, { table_name::endpoints, at(until + 1) } }, 1);
                simulation.run_until(at(until + 5000));
                bool const is_detected = milliseconds(length) > undetected_limit + terms.of(table_name::endpoints).wait;
                for (std::size_t change = 0; change < 2; ++change) {
                    // A change just after an answer waits for the minimum polling interval of its table.
                    auto const interval = change == 0 ? milliseconds(0) : terms.of(table_name::endpoints).min_interval;
                    auto const bound = (is_detected ? terms.probe_interval + interval : undetected_limit) + reread_time;
                    auto const took = simulation.time_to_receive(change).value_or(milliseconds::max());
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ms, length " + std::to_string(length)
                            + ", phase " + std::to_string(phase),
                        took <= bound);
                }
            }
        }
    }

    // Limits the calls of all tables together. Independent calls of each table added up to 16.
    void an_unavailable_store_is_called_at_a_limited_rate()
    {
        for (auto const fault : { store_fault::silent, store_fault::busy, store_fault::resetting }) {
            store_simulation simulation(usual_terms(), { { fault, at(10000), at(20000) } }, {}, 1);
            simulation.run_until(at(13000));
            (void)simulation.take_calls();
            simulation.run_until(at(18000));
            CPPUNIT_ASSERT(simulation.watchers().is_lost());
            CPPUNIT_ASSERT(simulation.calls() > 4 && simulation.calls() < 16);
        }
        auto non_watcher_terms = make_watch_terms({ smallest_bound, true, true, false });
        store_simulation simulation(non_watcher_terms, { { store_fault::silent, at(10000), at(20000) } }, {}, 1);
        simulation.run_until(at(13000));
        (void)simulation.take_calls();
        simulation.run_until(at(18000));
        CPPUNIT_ASSERT(simulation.calls() <= 5);
    }

    void an_answer_ends_the_wait_of_all_tables()
    {
        store_simulation simulation(usual_terms(), { { store_fault::silent, at(10000), at(20000) } }, {}, 1);
        simulation.run_until(at(20000));
        CPPUNIT_ASSERT(simulation.watchers().is_lost());
        simulation.run_until(at(20600));
        CPPUNIT_ASSERT(!simulation.watchers().is_lost());
        for (auto const table : { table_name::configuration, table_name::endpoints, table_name::routers })
            CPPUNIT_ASSERT(simulation.watchers().of(table).confirmed_at() >= at(20000));
        // The list counts as recovered too, so that entries which expired in the outage are retained.
        CPPUNIT_ASSERT(simulation.watchers().of(table_name::endpoints).recovered_at() >= at(20000));
    }

    void a_table_that_fails_alone_does_not_affect_the_others()
    {
        store_watchers watchers(usual_terms());
        auto const answer
            = [&](table_name table, std::int64_t time) { (void)watchers.apply_page(table, {}, 5, false, at(time)); };
        for (auto const table : { table_name::configuration, table_name::endpoints, table_name::routers }) {
            CPPUNIT_ASSERT(watchers.take_next(table, at(1000)).has_value());
            answer(table, 1005);
        }
        std::size_t abandoned = 0;
        std::size_t failed = 0;
        for (std::int64_t time = 1020; time < 11020; time += 20) {
            for (auto const table : { table_name::configuration, table_name::routers }) {
                if (watchers.should_abandon(table, at(time))) {
                    ++abandoned;
                    watchers.apply_failure(table, table_watcher::failure::no_answer, at(time), 0);
                }
                auto const call = watchers.take_next(table, at(time));
                if (call && call->request.wait == milliseconds(0))
                    answer(table, time);
            }
            if (watchers.take_next(table_name::endpoints, at(time))) {
                ++failed;
                watchers.apply_failure(table_name::endpoints, table_watcher::failure::refused, at(time), 0);
            }
        }
        CPPUNIT_ASSERT(failed > 20 && failed < 55);
        // Calls of the other tables are abandoned only when the list starts to fail.
        CPPUNIT_ASSERT(abandoned <= 2);
    }

    // When 300 routers start at once and read 3,000 rows each, the store answers the small tables first. An abandoned
    // read would have to start again.
    void a_read_in_progress_is_not_abandoned()
    {
        store_watchers watchers(usual_terms());
        CPPUNIT_ASSERT(watchers.take_next(table_name::configuration, at(1000)).has_value());
        CPPUNIT_ASSERT(watchers.take_next(table_name::endpoints, at(1000)).has_value());
        watchers.apply_failure(table_name::configuration, table_watcher::failure::refused, at(1010), 0);
        CPPUNIT_ASSERT(watchers.is_lost());
        CPPUNIT_ASSERT(!watchers.should_abandon(table_name::endpoints, at(1010)));
        CPPUNIT_ASSERT(watchers.take_next(table_name::configuration, at(1200)).has_value());
        (void)watchers.apply_page(table_name::configuration, { { "row", "1", 3 } }, 5, false, at(1210));
        CPPUNIT_ASSERT(!watchers.is_lost());
        CPPUNIT_ASSERT(!watchers.should_abandon(table_name::endpoints, at(1210)));
    }

    void failing_reads_of_whole_tables_are_retried_less_often()
    {
        store_watchers watchers(usual_terms());
        (void)watchers.take_next(table_name::configuration, at(1000));
        (void)watchers.apply_page(table_name::configuration, { { "row", "1", 3 } }, 5, false, at(1000));
        std::vector<std::int64_t> call_times;
        for (std::int64_t time = 1020; time < 12000; time += 20) {
            if (!watchers.take_next(table_name::endpoints, at(time)))
                continue;
            call_times.push_back(time);
            watchers.apply_failure(table_name::endpoints, table_watcher::failure::no_answer, at(time), 199);
            // The store still answers the other tables.
            (void)watchers.apply_page(table_name::configuration, {}, 5, false, at(time));
        }
        CPPUNIT_ASSERT(call_times.size() >= 5 && call_times.size() <= 12);
        CPPUNIT_ASSERT(call_times.back() - call_times[call_times.size() - 2] >= 800);
    }

    // The answer with the new configuration is lost, while the list is answered as usual.
    // Guards against rows that differ from the store's until the next change, or for the minute between two polls of a
    // router that does not watch the store, whatever caused the difference.
    void a_router_that_does_not_watch_the_store_reads_a_differing_table_again()
    {
        store_watchers watchers(make_watch_terms({ smallest_bound, false, true, false }));
        auto const table = table_name::endpoints;
        CPPUNIT_ASSERT(watchers.take_next(table, at(1000))->request.kind == table_watcher::call_kind::read);
        (void)watchers.apply_page(table, { { "a", "1", 3 }, { "left", "1", 4 } }, 5, false, at(1010));
        CPPUNIT_ASSERT(!watchers.take_next(table, at(3000)));
        watchers.of(table).read_again(at(3400));
        CPPUNIT_ASSERT(!watchers.take_next(table, at(3399)));
        watchers.of(table).read_again(at(3900));
        auto const call = watchers.take_next(table, at(3400));
        CPPUNIT_ASSERT(call && call->request.kind == table_watcher::call_kind::read);
        CPPUNIT_ASSERT(watchers.of(table).rows().contains("left"));
        CPPUNIT_ASSERT(watchers.apply_page(table, { { "a", "1", 3 } }, 9, false, at(3410))
            == table_watcher::page_outcome::changed);
        CPPUNIT_ASSERT(!watchers.of(table).rows().contains("left"));
        CPPUNIT_ASSERT(!watchers.take_next(table, at(10000)));
    }

    void a_version_that_no_row_explains_causes_a_call()
    {
        store_watchers watchers(usual_terms());
        for (auto const table : { table_name::configuration, table_name::endpoints, table_name::routers }) {
            (void)watchers.take_next(table, at(1000));
            (void)watchers.apply_page(table, { { "row", "1", 3 } }, 5, false, at(1005));
        }
        CPPUNIT_ASSERT(watchers.take_next(table_name::configuration, at(1020))->request.wait > milliseconds(0));
        CPPUNIT_ASSERT(watchers.take_next(table_name::endpoints, at(2000)).has_value());
        (void)watchers.apply_page(table_name::endpoints, {}, 6, false, at(3000));
        CPPUNIT_ASSERT(!watchers.take_next(table_name::configuration, at(3000)).has_value());
        CPPUNIT_ASSERT(!watchers.should_abandon(table_name::configuration, at(3000)));
        CPPUNIT_ASSERT(watchers.should_abandon(table_name::configuration, at(3110)));
        watchers.apply_failure(table_name::configuration, table_watcher::failure::no_answer, at(3120), 0);
        CPPUNIT_ASSERT(!watchers.of(table_name::configuration).is_failing());
        auto const call = watchers.take_next(table_name::configuration, at(3140));
        CPPUNIT_ASSERT(call && call->request.wait == milliseconds(0));
        (void)watchers.apply_page(table_name::configuration, { { "row", "2", 6 } }, 6, false, at(3145));
        // The row explains the version, so no other table is read.
        CPPUNIT_ASSERT(watchers.take_next(table_name::routers, at(3160))->request.wait > milliseconds(0));
        CPPUNIT_ASSERT(!watchers.should_abandon(table_name::routers, at(5000)));
    }

    void versions_of_unwatched_tables_cause_few_calls()
    {
        store_watchers watchers(usual_terms());
        std::uint64_t version = 10;
        std::size_t calls = 0;
        for (std::int64_t time = 1000; time < 61000; time += 20) {
            // A table that no watcher polls changes five times a second.
            if (time % 200 == 0)
                ++version;
            for (auto const table : { table_name::configuration, table_name::endpoints, table_name::routers }) {
                if (watchers.should_abandon(table, at(time)))
                    watchers.apply_failure(table, table_watcher::failure::no_answer, at(time), 0);
                auto const call = watchers.take_next(table, at(time));
                if (!call)
                    continue;
                ++calls;
                if (call->request.wait == milliseconds(0) || table == table_name::endpoints)
                    (void)watchers.apply_page(table, {}, version, false, at(time));
            }
        }
        // The list is polled every 0.67 s here, which makes 90 of the calls.
        CPPUNIT_ASSERT(calls < 90 + 60);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watchers_test);

} // namespace shedhill::dispatch
