// SPDX-License-Identifier: BSD-2-Clause
// The clock of the loop, which is that of all that a router holds against time.
#include "libraries/relay/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <ctime>

namespace shedhill::relay {

class event_loop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_loop_test);
    CPPUNIT_TEST(time_in_which_the_machine_was_suspended_counts);
    CPPUNIT_TEST(the_clock_is_the_one_that_counts_suspension);
    CPPUNIT_TEST_SUITE_END();

    static inline boot_clock::time_point s_time {};
    static boot_clock::time_point driven_time() { return s_time; }

    void time_in_which_the_machine_was_suspended_counts()
    {
        s_time = boot_clock::time_point(std::chrono::seconds(100));
        event_loop loop(driven_time);
        auto const before = loop.now();
        s_time += std::chrono::seconds(7);
        loop.run_once(milliseconds(0));
        CPPUNIT_ASSERT(loop.now() - before == milliseconds(7000));
        loop.refresh_now();
        CPPUNIT_ASSERT(loop.now() - before == milliseconds(7000));
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
