// SPDX-License-Identifier: BSD-2-Clause
// Sums of a failure domain are taken once, whoever tells them.
#include "libraries/peering/domain_tellers.h"

#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace shedhill::peering {

class domain_tellers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(domain_tellers_test);
    CPPUNIT_TEST(a_sum_that_comes_two_ways_counts_once);
    CPPUNIT_TEST(another_teller_is_heard_after_the_first_is_silent);
    CPPUNIT_TEST(a_teller_that_was_restarted_is_heard_again);
    CPPUNIT_TEST(nothing_is_taken_twice);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }
    static inline failure_domain const north { "north" };

    void a_sum_that_comes_two_ways_counts_once()
    {
        domain_tellers tellers;
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("a"), 1, at(1000)));
        CPPUNIT_ASSERT(!tellers.accepts(north, vm_name("a"), 1, at(1003)));
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("a"), 2, at(1100)));
        CPPUNIT_ASSERT(tellers.accepts(failure_domain("south"), vm_name("c"), 1, at(1100)));
    }

    void another_teller_is_heard_after_the_first_is_silent()
    {
        domain_tellers tellers;
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("a"), 1, at(1000)));
        CPPUNIT_ASSERT(!tellers.accepts(north, vm_name("b"), 7, at(1200)));
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("b"), 9, at(1400)));
        CPPUNIT_ASSERT(!tellers.accepts(north, vm_name("a"), 2, at(1500)));
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("b"), 10, at(1500)));
    }

    void a_teller_that_was_restarted_is_heard_again()
    {
        domain_tellers tellers;
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("a"), 900, at(1000)));
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("a"), 1, at(1500)));
        CPPUNIT_ASSERT(tellers.accepts(north, vm_name("a"), 2, at(1600)));
    }

    // Two tellers, each message by two ways, in any order and however late.
    void nothing_is_taken_twice()
    {
        testing::check_property("a message is taken at most once", [] {
            domain_tellers tellers;
            std::set<std::pair<bool, std::uint64_t>> taken;
            auto const steps = *rc::gen::container<std::vector<std::tuple<bool, std::uint64_t, std::uint8_t>>>(
                rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint64_t>(1, 20),
                    rc::gen::inRange<std::uint8_t>(0, 60)));
            std::int64_t now = 1000;
            std::uint64_t base = 0;
            for (auto const& [is_first, number, passed] : steps) {
                now += passed;
                // Numbers rise with time; a message is at most ten tenths of a second late.
                base = static_cast<std::uint64_t>(now) / 10;
                auto const sent = base + number;
                if (tellers.accepts(north, vm_name(is_first ? "a" : "b"), sent, at(now)))
                    RC_ASSERT(taken.emplace(is_first, sent).second);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(domain_tellers_test);

} // namespace shedhill::peering
