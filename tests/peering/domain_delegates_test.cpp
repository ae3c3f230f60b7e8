// SPDX-License-Identifier: BSD-2-Clause
// Tests that the sums of a failure domain are counted once, whichever router sends them.
#include "libraries/peering/domain_delegates.h"

#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace shedhill::peering {

class domain_delegates_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(domain_delegates_test);
    CPPUNIT_TEST(a_sum_received_over_two_links_counts_once);
    CPPUNIT_TEST(another_delegate_is_accepted_after_a_timeout);
    CPPUNIT_TEST(a_restarted_delegate_is_accepted_again);
    CPPUNIT_TEST(no_message_is_accepted_twice);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }
    static inline failure_domain const north { "north" };

    void a_sum_received_over_two_links_counts_once()
    {
        domain_delegates delegates;
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("a"), 1, at(1000)));
        CPPUNIT_ASSERT(!delegates.accepts(north, vm_name("a"), 1, at(1003)));
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("a"), 2, at(1100)));
        CPPUNIT_ASSERT(delegates.accepts(failure_domain("south"), vm_name("c"), 1, at(1100)));
    }

    void another_delegate_is_accepted_after_a_timeout()
    {
        domain_delegates delegates;
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("a"), 1, at(1000)));
        CPPUNIT_ASSERT(!delegates.accepts(north, vm_name("b"), 7, at(1200)));
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("b"), 9, at(1400)));
        CPPUNIT_ASSERT(!delegates.accepts(north, vm_name("a"), 2, at(1500)));
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("b"), 10, at(1500)));
    }

    void a_restarted_delegate_is_accepted_again()
    {
        domain_delegates delegates;
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("a"), 900, at(1000)));
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("a"), 1, at(1500)));
        CPPUNIT_ASSERT(delegates.accepts(north, vm_name("a"), 2, at(1600)));
    }

    // Messages of two delegates arrive in any order, more than once, and late.
    void no_message_is_accepted_twice()
    {
        testing::check_property("a message is accepted at most once", [] {
            domain_delegates delegates;
            std::set<std::pair<bool, std::uint64_t>> accepted;
            auto const steps = *rc::gen::container<std::vector<std::tuple<bool, std::uint64_t, std::uint8_t>>>(
                rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint64_t>(1, 20),
                    rc::gen::inRange<std::uint8_t>(0, 60)));
            std::int64_t now = 1000;
            std::uint64_t base = 0;
            for (auto const& [is_first, number, elapsed] : steps) {
                now += elapsed;
                // The sequence numbers increase with time; a message is at most 19 numbers out of order.
                base = static_cast<std::uint64_t>(now) / 10;
                auto const sent = base + number;
                if (delegates.accepts(north, vm_name(is_first ? "a" : "b"), sent, at(now)))
                    RC_ASSERT(accepted.emplace(is_first, sent).second);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(domain_delegates_test);

} // namespace shedhill::peering
