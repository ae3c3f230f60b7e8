// SPDX-License-Identifier: BSD-2-Clause
// A few routers of a failure domain follow the store; whoever hears too few of them confirm follows it too.
#include "libraries/peering/follow_duty.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace shedhill::peering {

class follow_duty_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(follow_duty_test);
    CPPUNIT_TEST(a_few_of_many_follow);
    CPPUNIT_TEST(a_small_failure_domain_follows_all_together);
    CPPUNIT_TEST(another_follows_when_a_follower_is_gone);
    CPPUNIT_TEST(all_follow_when_the_followers_cannot_hear_the_store);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds limit { 1500 };

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }
    static vm_name router(int number) { return vm_name("edge-" + std::to_string(number)); }

    // Those of so many routers that follow, when each hears the others and those that are left out are silent.
    static std::vector<int> followers(int routers, std::vector<int> const& left_out, milliseconds age)
    {
        std::vector<int> following;
        auto const is_left_out
            = [&](int number) { return std::find(left_out.begin(), left_out.end(), number) != left_out.end(); };
        for (int self = 0; self < routers; ++self) {
            follow_duty duty(router(self));
            for (int other = 0; other < routers; ++other) {
                if (other != self && !is_left_out(other))
                    duty.note_heard(router(other), at(10000) - age, at(10000));
            }
            if (!is_left_out(self) && duty.is_own(limit, at(10100)))
                following.push_back(self);
        }
        return following;
    }

    void a_few_of_many_follow()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, followers(20, {}, milliseconds(500)).size());
    }

    void a_small_failure_domain_follows_all_together()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, followers(2, {}, milliseconds(500)).size());
        follow_duty duty(router(0));
        duty.note_heard(router(1), at(1000), at(1000));
        CPPUNIT_ASSERT(!duty.is_shared(at(1000)));
        duty.note_heard(router(2), at(1000), at(1000));
        CPPUNIT_ASSERT(duty.is_shared(at(1000)));
        CPPUNIT_ASSERT(!duty.is_shared(at(1600)));
    }

    void another_follows_when_a_follower_is_gone()
    {
        auto const before = followers(20, {}, milliseconds(500));
        auto const after = followers(20, { before[0] }, milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, after.size());
        CPPUNIT_ASSERT(std::find(after.begin(), after.end(), before[1]) != after.end());
    }

    void all_follow_when_the_followers_cannot_hear_the_store()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, followers(20, {}, milliseconds(1600)).size());
        // Two of them look for its return.
        std::size_t first = 0;
        for (int self = 0; self < 20; ++self) {
            follow_duty duty(router(self));
            for (int other = 0; other < 20; ++other) {
                if (other != self)
                    duty.note_heard(router(other), at(1000), at(10000));
            }
            first += duty.is_among_the_first(at(10100)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(follow_duty_test);

} // namespace shedhill::peering
