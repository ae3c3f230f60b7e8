// SPDX-License-Identifier: BSD-2-Clause
// Tests that two routers of a failure domain watch the store, and that others watch it too if the watchers are gone or
// cannot reach it.
#include "libraries/peering/watch_assignment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace shedhill::peering {

class watch_assignment_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(watch_assignment_test);
    CPPUNIT_TEST(two_of_many_routers_watch);
    CPPUNIT_TEST(all_routers_of_a_small_failure_domain_watch);
    CPPUNIT_TEST(another_router_watches_when_a_watcher_is_gone);
    CPPUNIT_TEST(all_watch_when_the_watchers_cannot_reach_the_store);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds limit { 1500 };

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }
    static vm_name router(int number) { return vm_name("edge-" + std::to_string(number)); }

    // Returns which of the routers watch the store, if the silent ones send no reports and the others receive reports
    // with a confirmation of this age.
    static std::vector<int> find_watchers(int routers, std::vector<int> const& silent, milliseconds age)
    {
        std::vector<int> watchers;
        auto const is_silent
            = [&](int number) { return std::find(silent.begin(), silent.end(), number) != silent.end(); };
        for (int self = 0; self < routers; ++self) {
            watch_assignment assignment(router(self));
            for (int other = 0; other < routers; ++other) {
                if (other != self && !is_silent(other))
                    assignment.record_report(router(other), at(10000) - age, at(10000));
            }
            if (!is_silent(self) && assignment.is_assigned(limit, at(10100)))
                watchers.push_back(self);
        }
        return watchers;
    }

    void two_of_many_routers_watch()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, find_watchers(20, {}, milliseconds(500)).size());
    }

    void all_routers_of_a_small_failure_domain_watch()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, find_watchers(2, {}, milliseconds(500)).size());
        watch_assignment assignment(router(0));
        assignment.record_report(router(1), at(1000), at(1000));
        CPPUNIT_ASSERT(!assignment.is_shared(at(1000)));
        assignment.record_report(router(2), at(1000), at(1000));
        CPPUNIT_ASSERT(assignment.is_shared(at(1000)));
        CPPUNIT_ASSERT(!assignment.is_shared(at(1600)));
    }

    void another_router_watches_when_a_watcher_is_gone()
    {
        auto const before = find_watchers(20, {}, milliseconds(500));
        auto const after = find_watchers(20, { before[0] }, milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, after.size());
        CPPUNIT_ASSERT(std::find(after.begin(), after.end(), before[1]) != after.end());
    }

    void all_watch_when_the_watchers_cannot_reach_the_store()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, find_watchers(20, {}, milliseconds(1600)).size());
        // Two of them probe whether the store is reachable again.
        std::size_t probers = 0;
        for (int self = 0; self < 20; ++self) {
            watch_assignment assignment(router(self));
            for (int other = 0; other < 20; ++other) {
                if (other != self)
                    assignment.record_report(router(other), at(1000), at(10000));
            }
            probers += assignment.is_outage_prober(at(10100)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, probers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_assignment_test);

} // namespace shedhill::peering
