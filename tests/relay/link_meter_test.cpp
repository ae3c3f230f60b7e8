// SPDX-License-Identifier: BSD-2-Clause
// Tests the link's utilisation as computed from the bytes of the sockets.
#include "libraries/relay/link_meter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class link_meter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_meter_test);
    CPPUNIT_TEST(the_fuller_direction_counts);
    CPPUNIT_TEST(a_link_of_unknown_capacity_is_never_full);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t ns_per_second = 1'000'000'000;

    void the_fuller_direction_counts()
    {
        link_meter meter;
        // 1.25 MB per second in each direction.
        meter.set_megabits_per_second(10);
        (void)meter.take_fraction(ns_per_second);
        meter.record_sent(125'000);
        meter.record_received(625'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.535, meter.take_fraction(2 * ns_per_second), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, meter.take_fraction(3 * ns_per_second), 0.001);
        meter.record_sent(9'000'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, meter.take_fraction(4 * ns_per_second), 0.001);
    }

    void a_link_of_unknown_capacity_is_never_full()
    {
        link_meter meter;
        meter.record_sent(9'000'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, meter.take_fraction(ns_per_second), 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_meter_test);

} // namespace shedhill::relay
