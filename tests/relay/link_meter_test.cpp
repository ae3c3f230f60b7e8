// SPDX-License-Identifier: BSD-2-Clause
// How full a link is, by what sockets carry.
#include "libraries/relay/link_meter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class link_meter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_meter_test);
    CPPUNIT_TEST(the_fuller_direction_counts);
    CPPUNIT_TEST(a_link_of_unknown_width_is_never_full);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t ns_per_second = 1'000'000'000;

    void the_fuller_direction_counts()
    {
        link_meter meter;
        // 1.25 MB a second each way.
        meter.set_megabits_per_second(10);
        (void)meter.take_part(ns_per_second);
        meter.note_sent(125'000);
        meter.note_received(625'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.535, meter.take_part(2 * ns_per_second), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, meter.take_part(3 * ns_per_second), 0.001);
        meter.note_sent(9'000'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, meter.take_part(4 * ns_per_second), 0.001);
    }

    void a_link_of_unknown_width_is_never_full()
    {
        link_meter meter;
        meter.note_sent(9'000'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, meter.take_part(ns_per_second), 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_meter_test);

} // namespace shedhill::relay
