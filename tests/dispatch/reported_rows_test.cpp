// SPDX-License-Identifier: BSD-2-Clause
// Tests the reports of a table's rows between routers: they contain only changes, and a removed row never remains at
// the receiver.
#include "libraries/dispatch/store/table_watcher.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class reported_rows_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reported_rows_test);
    CPPUNIT_TEST(only_changes_are_reported);
    CPPUNIT_TEST(incomplete_changes_are_not_applied);
    CPPUNIT_TEST(changes_since_a_later_version_are_not_applied);
    CPPUNIT_TEST(reported_changes_leave_other_rows_in_place);
    CPPUNIT_TEST(two_watchers_converge_to_the_same_rows);
    CPPUNIT_TEST_SUITE_END();

    using changed_row = table_watcher::changed_row;
    using outcome = table_watcher::page_outcome;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static table_watcher make_watcher(std::vector<changed_row> const& rows, std::uint64_t version)
    {
        table_watcher watcher({ milliseconds(0), milliseconds(1500) });
        (void)watcher.take_next(at(1000));
        (void)watcher.apply_page(rows, version, false, at(1000));
        return watcher;
    }

    static void poll(table_watcher& watcher, std::vector<changed_row> const& rows, std::uint64_t version)
    {
        (void)watcher.take_next(at(2000));
        (void)watcher.apply_page(rows, version, false, at(2000));
    }

    void only_changes_are_reported()
    {
        auto reporter = make_watcher({ { "a", "1", 3 }, { "b", "1", 4 }, { "c", "1", 5 } }, 10);
        auto receiver = make_watcher({ { "a", "1", 3 }, { "b", "1", 4 }, { "c", "1", 5 } }, 8);
        poll(reporter, { { "a", "2", 12 }, { "b", "", 13, true } }, 14);
        auto reported = reporter.rows_since(receiver.changes_wanted_since());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reported.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reported.removed.size());
        CPPUNIT_ASSERT(receiver.apply_reported(std::move(reported)) == outcome::changed);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), receiver.rows().at("a").value);
        CPPUNIT_ASSERT(!receiver.rows().contains("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 13 }, receiver.changed_version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 14 }, receiver.changes_wanted_since());
    }

    // A router that read the table after a row was removed cannot report the removal.
    void incomplete_changes_are_not_applied()
    {
        auto reporter = make_watcher({ { "a", "1", 3 } }, 10);
        auto receiver = make_watcher({ { "a", "1", 3 }, { "b", "1", 4 } }, 8);
        poll(reporter, { { "a", "2", 12 } }, 12);
        CPPUNIT_ASSERT(
            receiver.apply_reported(reporter.rows_since(receiver.changes_wanted_since())) == outcome::out_of_date);
        CPPUNIT_ASSERT(receiver.rows().contains("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, receiver.changes_wanted_since());
        CPPUNIT_ASSERT(
            receiver.apply_reported(reporter.rows_since(receiver.changes_wanted_since())) == outcome::changed);
        CPPUNIT_ASSERT(!receiver.rows().contains("b"));
    }

    void changes_since_a_later_version_are_not_applied()
    {
        auto reporter = make_watcher({ { "a", "1", 3 } }, 10);
        poll(reporter, { { "b", "1", 12 } }, 12);
        auto receiver = make_watcher({ { "a", "1", 3 } }, 5);
        CPPUNIT_ASSERT(receiver.apply_reported(reporter.rows_since(9)) == outcome::out_of_date);
    }

    // Guards against work in proportion to the table for each reported change: no other row is copied.
    void reported_changes_leave_other_rows_in_place()
    {
        auto reporter = make_watcher({ { "a", "1", 3 }, { "b", "1", 4 } }, 10);
        auto receiver = make_watcher({ { "a", "1", 3 }, { "b", "1", 4 } }, 10);
        auto const* const other = &receiver.rows().at("a");
        poll(reporter, { { "b", "2", 12 } }, 14);
        CPPUNIT_ASSERT(
            receiver.apply_reported(reporter.rows_since(receiver.changes_wanted_since())) == outcome::changed);
        CPPUNIT_ASSERT(other == &receiver.rows().at("a"));
        // A report without changes confirms the rows.
        poll(reporter, {}, 20);
        CPPUNIT_ASSERT(
            receiver.apply_reported(reporter.rows_since(receiver.changes_wanted_since())) == outcome::nothing_new);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 20 }, receiver.version());
    }

    // One watcher polls the store and the other receives its reports, at random times. Each starts with a complete read
    // at a time of its own.
    void two_watchers_converge_to_the_same_rows()
    {
        testing::check_property("two watchers converge to the same rows", [] {
            std::map<std::string, table_watcher::row> store;
            std::uint64_t version = 1;
            auto const whole = [&] {
                std::vector<changed_row> rows;
                rows.reserve(store.size());
                for (auto const& [key, row] : store)
                    rows.push_back({ key, row.value, row.version });
                return rows;
            };
            auto receiver = make_watcher(whole(), version);
            table_watcher reporter({ milliseconds(0), milliseconds(1500) });
            auto const steps = *rc::gen::container<std::vector<std::tuple<int, bool, bool>>>(
                rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>()));
            auto const read_at = *rc::gen::inRange<std::size_t>(0, steps.size() + 1);
            std::vector<changed_row> missed_rows;
            for (std::size_t step = 0; step < steps.size(); ++step) {
                auto const& [number, is_removed, is_reported] = steps[step];
                auto const key = std::to_string(number);
                ++version;
                if (is_removed)
                    store.erase(key);
                else
                    store[key] = { std::to_string(version), version };
                if (step < read_at)
                    continue;
                if (step == read_at)
                    reporter = make_watcher(whole(), version);
                else
                    poll(reporter, { { key, std::to_string(version), version, is_removed } }, version);
                if (!is_reported)
                    continue;
                if (receiver.apply_reported(reporter.rows_since(receiver.changes_wanted_since()))
                    == outcome::out_of_date)
                    (void)receiver.apply_reported(reporter.rows_since(receiver.changes_wanted_since()));
                RC_ASSERT(receiver.version() == version);
                RC_ASSERT(receiver.rows().size() == store.size());
                for (auto const& [expected_key, row] : store)
                    RC_ASSERT(receiver.rows().at(expected_key).value == row.value);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reported_rows_test);

} // namespace shedhill::dispatch
