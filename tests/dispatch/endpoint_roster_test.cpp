// SPDX-License-Identifier: BSD-2-Clause
// Which endpoints are gone and which have only lapsed while the store was away.
#include "libraries/dispatch/store/endpoint_roster.h"
#include "libraries/dispatch/store/table_watcher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class endpoint_roster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_roster_test);
    CPPUNIT_TEST(what_goes_while_the_store_is_heard_is_gone);
    CPPUNIT_TEST(what_lapses_in_an_outage_is_kept_until_it_is_back);
    CPPUNIT_TEST(what_stays_missing_after_the_return_is_gone);
    CPPUNIT_TEST(a_draining_endpoint_is_never_kept);
    CPPUNIT_TEST(what_goes_some_time_after_the_return_is_gone);
    CPPUNIT_TEST(what_another_router_tells_keeps_nothing_for_ever);
    CPPUNIT_TEST(only_an_outage_counts_as_a_return);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static endpoint_entry entry(char const* name, bool is_draining = false)
    {
        return { endpoint_name(name), "10.0.0.1:1", pool_name("pool"), failure_domain("north"), 4, is_draining };
    }

    static constexpr store_availability heard {};
    static store_availability returned(std::int64_t time) { return { false, at(time) }; }
    static constexpr store_availability away { true, {} };

    static endpoint_roster of_two()
    {
        endpoint_roster roster;
        CPPUNIT_ASSERT(roster.apply_list({ entry("a"), entry("b") }, heard, at(1000)));
        return roster;
    }

    void what_goes_while_the_store_is_heard_is_gone()
    {
        auto roster = of_two();
        CPPUNIT_ASSERT(roster.apply_list({ entry("a") }, heard, at(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
        CPPUNIT_ASSERT(!roster.apply_list({ entry("a") }, heard, at(5100)));
    }

    void what_lapses_in_an_outage_is_kept_until_it_is_back()
    {
        auto roster = of_two();
        CPPUNIT_ASSERT(!roster.apply_list({ entry("a") }, returned(5000), at(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.retained_count());
        (void)roster.apply_list({ entry("a"), entry("b") }, returned(5000), at(6000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, roster.retained_count());
        CPPUNIT_ASSERT(!roster.drop_lapsed(at(9000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
    }

    void what_stays_missing_after_the_return_is_gone()
    {
        auto roster = of_two();
        (void)roster.apply_list({}, returned(5000), at(5000));
        CPPUNIT_ASSERT(!roster.drop_lapsed(at(6800)));
        CPPUNIT_ASSERT(roster.drop_lapsed(at(7000)));
        CPPUNIT_ASSERT(roster.entries().empty());
    }

    void a_draining_endpoint_is_never_kept()
    {
        auto roster = of_two();
        (void)roster.apply_list({ entry("a"), entry("b", true) }, heard, at(2000));
        CPPUNIT_ASSERT(roster.apply_list({ entry("a") }, returned(5000), at(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    void what_goes_some_time_after_the_return_is_gone()
    {
        auto roster = of_two();
        CPPUNIT_ASSERT(roster.apply_list({ entry("a") }, returned(5000), at(8000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    void what_another_router_tells_keeps_nothing_for_ever()
    {
        auto roster = of_two();
        (void)roster.apply_list({ entry("a") }, away, at(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        (void)roster.apply_list({ entry("a") }, away, at(6500));
        CPPUNIT_ASSERT(roster.drop_lapsed(at(7000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    void only_an_outage_counts_as_a_return()
    {
        table_watcher follower({});
        (void)follower.take_next(at(1000));
        (void)follower.apply_page({}, 1, false, at(1000));
        (void)follower.take_next(at(1100));
        follower.apply_failure(table_watcher::failure::no_answer, at(1200));
        (void)follower.take_next(at(1400));
        (void)follower.apply_page({}, 1, false, at(1500));
        CPPUNIT_ASSERT(follower.recovered_at() == instant {});
        (void)follower.take_next(at(1600));
        follower.apply_failure(table_watcher::failure::no_answer, at(1700));
        (void)follower.take_next(at(2900));
        (void)follower.apply_page({}, 1, false, at(3000));
        CPPUNIT_ASSERT(follower.recovered_at() == at(3000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_roster_test);

} // namespace shedhill::dispatch
