// SPDX-License-Identifier: BSD-2-Clause
// What one router tells another of the list: only what has changed, and never so that a row that went stays.
#include "libraries/dispatch/store/table_watcher.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class told_rows_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(told_rows_test);
    CPPUNIT_TEST(only_what_changed_is_told);
    CPPUNIT_TEST(changes_that_leave_something_out_are_not_taken);
    CPPUNIT_TEST(changes_since_a_later_version_are_not_taken);
    CPPUNIT_TEST(two_followers_come_to_the_same_rows);
    CPPUNIT_TEST_SUITE_END();

    using changed_row = table_watcher::changed_row;
    using outcome = table_watcher::page_outcome;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static table_watcher reading(std::vector<changed_row> const& rows, std::uint64_t version)
    {
        table_watcher follower({ milliseconds(0), milliseconds(1500) });
        (void)follower.take_next(at(1000));
        (void)follower.apply_page(rows, version, false, at(1000));
        return follower;
    }

    static void follow(table_watcher& follower, std::vector<changed_row> const& rows, std::uint64_t version)
    {
        (void)follower.take_next(at(2000));
        (void)follower.apply_page(rows, version, false, at(2000));
    }

    void only_what_changed_is_told()
    {
        auto here = reading({ { "a", "1", 3 }, { "b", "1", 4 }, { "c", "1", 5 } }, 10);
        auto there = reading({ { "a", "1", 3 }, { "b", "1", 4 }, { "c", "1", 5 } }, 8);
        follow(here, { { "a", "2", 12 }, { "b", "", 13, true } }, 14);
        auto told = here.rows_since(there.changes_wanted_since());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, told.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, told.removed.size());
        CPPUNIT_ASSERT(there.apply_reported(std::move(told)) == outcome::changed);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), there.rows().at("a").value);
        CPPUNIT_ASSERT(!there.rows().contains("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 13 }, there.changed_version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 14 }, there.changes_wanted_since());
    }

    // One router read the list after a row had gone: it cannot tell that it went.
    void changes_that_leave_something_out_are_not_taken()
    {
        auto here = reading({ { "a", "1", 3 } }, 10);
        auto there = reading({ { "a", "1", 3 }, { "b", "1", 4 } }, 8);
        follow(here, { { "a", "2", 12 } }, 12);
        CPPUNIT_ASSERT(there.apply_reported(here.rows_since(there.changes_wanted_since())) == outcome::out_of_date);
        CPPUNIT_ASSERT(there.rows().contains("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, there.changes_wanted_since());
        CPPUNIT_ASSERT(there.apply_reported(here.rows_since(there.changes_wanted_since())) == outcome::changed);
        CPPUNIT_ASSERT(!there.rows().contains("b"));
    }

    void changes_since_a_later_version_are_not_taken()
    {
        auto here = reading({ { "a", "1", 3 } }, 10);
        follow(here, { { "b", "1", 12 } }, 12);
        auto there = reading({ { "a", "1", 3 } }, 5);
        CPPUNIT_ASSERT(there.apply_reported(here.rows_since(9)) == outcome::out_of_date);
    }

    // One follows the store, the other learns from it, at any moments; each began by reading at a moment of its own.
    void two_followers_come_to_the_same_rows()
    {
        testing::check_property("two followers come to the same rows", [] {
            std::map<std::string, table_watcher::row> store;
            std::uint64_t version = 1;
            auto const whole = [&] {
                std::vector<changed_row> rows;
                rows.reserve(store.size());
                for (auto const& [key, row] : store)
                    rows.push_back({ key, row.value, row.version });
                return rows;
            };
            auto there = reading(whole(), version);
            table_watcher here({ milliseconds(0), milliseconds(1500) });
            auto const steps = *rc::gen::container<std::vector<std::tuple<int, bool, bool>>>(
                rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>()));
            auto const read_at = *rc::gen::inRange<std::size_t>(0, steps.size() + 1);
            std::vector<changed_row> unheard;
            for (std::size_t step = 0; step < steps.size(); ++step) {
                auto const& [number, is_gone, is_told] = steps[step];
                auto const key = std::to_string(number);
                ++version;
                if (is_gone)
                    store.erase(key);
                else
                    store[key] = { std::to_string(version), version };
                if (step < read_at)
                    continue;
                if (step == read_at)
                    here = reading(whole(), version);
                else
                    follow(here, { { key, std::to_string(version), version, is_gone } }, version);
                if (!is_told)
                    continue;
                if (there.apply_reported(here.rows_since(there.changes_wanted_since())) == outcome::out_of_date)
                    (void)there.apply_reported(here.rows_since(there.changes_wanted_since()));
                RC_ASSERT(there.version() == version);
                RC_ASSERT(there.rows().size() == store.size());
                for (auto const& [kept, row] : store)
                    RC_ASSERT(there.rows().at(kept).value == row.value);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(told_rows_test);

} // namespace shedhill::dispatch
