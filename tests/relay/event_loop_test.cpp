// SPDX-License-Identifier: BSD-2-Clause
// Tests the clock of the event loop, by which a router measures all of its time limits.
#include "libraries/relay/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <ctime>

namespace shedhill::relay {

class event_loop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_loop_test);
    CPPUNIT_TEST(time_while_the_machine_is_suspended_counts);
    CPPUNIT_TEST(the_clock_is_the_one_that_counts_suspension);
    CPPUNIT_TEST(the_time_without_a_look_at_the_sockets_is_known);
    CPPUNIT_TEST_SUITE_END();

    static inline boot_clock::time_point s_time {};
    static boot_clock::time_point test_time() { return s_time; }

    void time_while_the_machine_is_suspended_counts()
    {
        s_time = boot_clock::time_point(std::chrono::seconds(100));
        event_loop loop(test_time);
        auto const before = loop.now();
        s_time += std::chrono::seconds(7);
        loop.run_once(milliseconds(0));
        CPPUNIT_ASSERT(loop.now() - before == milliseconds(7000));
        loop.refresh_now();
        CPPUNIT_ASSERT(loop.now() - before == milliseconds(7000));
    }

    void the_time_without_a_look_at_the_sockets_is_known()
    {
        s_time = boot_clock::time_point(std::chrono::seconds(100));
        event_loop loop(test_time);
        loop.run_once(milliseconds(0));
        s_time += std::chrono::milliseconds(400);
        CPPUNIT_ASSERT(loop.time_in_round() == milliseconds(400));
        loop.run_once(milliseconds(0));
        CPPUNIT_ASSERT(loop.max_unread_time() == milliseconds(400));
        CPPUNIT_ASSERT(loop.pause_before_round() == milliseconds(400));
        s_time += std::chrono::milliseconds(20);
        loop.run_once(milliseconds(0));
        CPPUNIT_ASSERT(loop.max_unread_time() == milliseconds(20));
        CPPUNIT_ASSERT(loop.pause_before_round() == milliseconds(0));
    }

    void the_clock_is_the_one_that_counts_suspension()
    {
        timespec before {};
        clock_gettime(CLOCK_BOOTTIME, &before);
        auto const read = boot_clock::now().time_since_epoch();
        timespec after {};
        clock_gettime(CLOCK_BOOTTIME, &after);
        CPPUNIT_ASSERT(read >= std::chrono::seconds(before.tv_sec) + std::chrono::nanoseconds(before.tv_nsec));
        CPPUNIT_ASSERT(read <= std::chrono::seconds(after.tv_sec) + std::chrono::nanoseconds(after.tv_nsec));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_loop_test);

} // namespace shedhill::relay
