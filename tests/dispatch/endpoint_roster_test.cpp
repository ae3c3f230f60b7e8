// SPDX-License-Identifier: BSD-2-Clause
// Tests how the roster distinguishes endpoints that have ended from endpoints whose rows expired in an outage of the
// store.
#include "libraries/dispatch/store/endpoint_roster.h"
#include "libraries/dispatch/store/table_watcher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class endpoint_roster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_roster_test);
    CPPUNIT_TEST(an_entry_removed_while_the_store_is_reachable_is_dropped);
    CPPUNIT_TEST(an_entry_that_lapses_in_an_outage_is_retained_until_it_returns);
    CPPUNIT_TEST(an_entry_still_missing_after_the_recovery_is_dropped);
    CPPUNIT_TEST(a_draining_endpoint_is_never_retained);
    CPPUNIT_TEST(an_entry_removed_some_time_after_the_recovery_is_dropped);
    CPPUNIT_TEST(reports_of_other_routers_retain_no_entry_forever);
    CPPUNIT_TEST(only_an_outage_leads_to_a_recovery);
    CPPUNIT_TEST(twice_as_many_entries_in_an_outage_take_twice_as_many_operations);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static endpoint_entry entry(char const* name, bool is_draining = false)
    {
        return { endpoint_name(name), "10.0.0.1:1", pool_name("pool"), failure_domain("north"), 4, is_draining };
    }

    static constexpr store_availability reachable {};
    static store_availability recovered(std::int64_t time) { return { false, at(time) }; }
    static constexpr store_availability unavailable { true, {} };

    static endpoint_roster make_roster_of_two()
    {
        endpoint_roster roster;
        CPPUNIT_ASSERT(roster.apply_list({ entry("a"), entry("b") }, reachable, at(1000)));
        return roster;
    }

    void an_entry_removed_while_the_store_is_reachable_is_dropped()
    {
        auto roster = make_roster_of_two();
        CPPUNIT_ASSERT(roster.apply_list({ entry("a") }, reachable, at(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
        CPPUNIT_ASSERT(!roster.apply_list({ entry("a") }, reachable, at(5100)));
    }

    void an_entry_that_lapses_in_an_outage_is_retained_until_it_returns()
    {
        auto roster = make_roster_of_two();
        CPPUNIT_ASSERT(!roster.apply_list({ entry("a") }, recovered(5000), at(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.retained_count());
        (void)roster.apply_list({ entry("a"), entry("b") }, recovered(5000), at(6000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, roster.retained_count());
        CPPUNIT_ASSERT(!roster.drop_lapsed(at(9000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
    }

    void an_entry_still_missing_after_the_recovery_is_dropped()
    {
        auto roster = make_roster_of_two();
        (void)roster.apply_list({}, recovered(5000), at(5000));
        CPPUNIT_ASSERT(!roster.drop_lapsed(at(6800)));
        CPPUNIT_ASSERT(roster.drop_lapsed(at(7000)));
        CPPUNIT_ASSERT(roster.entries().empty());
    }

    void a_draining_endpoint_is_never_retained()
    {
        auto roster = make_roster_of_two();
        (void)roster.apply_list({ entry("a"), entry("b", true) }, reachable, at(2000));
        CPPUNIT_ASSERT(roster.apply_list({ entry("a") }, recovered(5000), at(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    void an_entry_removed_some_time_after_the_recovery_is_dropped()
    {
        auto roster = make_roster_of_two();
        CPPUNIT_ASSERT(roster.apply_list({ entry("a") }, recovered(5000), at(8000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    void reports_of_other_routers_retain_no_entry_forever()
    {
        auto roster = make_roster_of_two();
        (void)roster.apply_list({ entry("a") }, unavailable, at(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        (void)roster.apply_list({ entry("a") }, unavailable, at(6500));
        CPPUNIT_ASSERT(roster.drop_lapsed(at(7000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    void only_an_outage_leads_to_a_recovery()
    {
        table_watcher watcher({});
        (void)watcher.take_next(at(1000));
        (void)watcher.apply_page({}, 1, false, at(1000));
        (void)watcher.take_next(at(1100));
        watcher.apply_failure(table_watcher::failure::no_answer, at(1200));
        (void)watcher.take_next(at(1400));
        (void)watcher.apply_page({}, 1, false, at(1500));
        CPPUNIT_ASSERT(watcher.recovered_at() == instant {});
        (void)watcher.take_next(at(1600));
        watcher.apply_failure(table_watcher::failure::no_answer, at(1700));
        (void)watcher.take_next(at(2900));
        (void)watcher.apply_page({}, 1, false, at(3000));
        CPPUNIT_ASSERT(watcher.recovered_at() == at(3000));
    }

    // Returns the operations of a router whose store returns from an outage in which half of the rows expired.
    static std::uint64_t operations_of_outage(std::size_t count)
    {
        std::vector<endpoint_entry> all;
        for (std::size_t index = 0; index < count; ++index)
            all.push_back({ endpoint_name("i-" + std::to_string(index)), "10.0.0.1:1", pool_name("pool"),
                failure_domain("north"), 4, false });
        endpoint_roster roster;
        (void)roster.apply_list(all, {}, instant(milliseconds(1000)));
        auto const half
            = std::vector<endpoint_entry>(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count / 2));
        store_availability const recovered { false, instant(milliseconds(9000)) };
        (void)roster.apply_list(half, recovered, instant(milliseconds(9000)));
        CPPUNIT_ASSERT_EQUAL(count, roster.entries().size());
        (void)roster.apply_list(all, recovered, instant(milliseconds(9500)));
        return roster.examined_entries();
    }

    void twice_as_many_entries_in_an_outage_take_twice_as_many_operations()
    {
        auto const single = operations_of_outage(600);
        auto const twice = operations_of_outage(1200);
        CPPUNIT_ASSERT(twice <= 2 * single);
        // Each of the three lists is examined with the one before and with the retained entries.
        constexpr std::uint64_t max_operations_per_entry = 9;
        CPPUNIT_ASSERT(twice <= max_operations_per_entry * 1200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_roster_test);

} // namespace shedhill::dispatch
