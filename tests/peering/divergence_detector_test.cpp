// SPDX-License-Identifier: BSD-2-Clause
// Tests when rows that differ from another router's are reported.
#include "libraries/peering/divergence_detector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::peering {

class divergence_detector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(divergence_detector_test);
    CPPUNIT_TEST(different_rows_of_the_same_version_are_found_again_and_again);
    CPPUNIT_TEST(a_newer_version_is_no_divergence);
    CPPUNIT_TEST(rows_that_the_store_confirmed_earlier_are_no_divergence);
    CPPUNIT_TEST(changed_own_rows_are_compared_anew);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }
    static constexpr announced_rows own { 7, 111, instant(milliseconds(100)) };

    void different_rows_of_the_same_version_are_found_again_and_again()
    {
        divergence_detector detector;
        announced_rows const reported { 7, 222, at(500) };
        CPPUNIT_ASSERT(!detector.record(own, reported, at(1000)));
        CPPUNIT_ASSERT(!detector.record(own, reported, at(1799)));
        CPPUNIT_ASSERT(detector.record(own, reported, at(1800)));
        CPPUNIT_ASSERT(detector.since() == at(1000));
        CPPUNIT_ASSERT(!detector.record(own, reported, at(2599)));
        CPPUNIT_ASSERT(detector.record(own, reported, at(2600)));
        CPPUNIT_ASSERT(detector.since() == at(1000));
    }

    // A newer version is requested, and a router of an earlier version announces no digest.
    void a_newer_version_is_no_divergence()
    {
        divergence_detector detector;
        CPPUNIT_ASSERT(!detector.record(own, { 8, 222, at(500) }, at(1000)));
        CPPUNIT_ASSERT(!detector.record(own, { 8, 222, at(500) }, at(5000)));
        CPPUNIT_ASSERT(!detector.record(own, { 7, std::nullopt, at(500) }, at(5000)));
        CPPUNIT_ASSERT(!detector.record(own, { 7, std::nullopt, at(500) }, at(9000)));
    }

    void rows_that_the_store_confirmed_earlier_are_no_divergence()
    {
        divergence_detector detector;
        CPPUNIT_ASSERT(!detector.record(own, { 7, 222, at(100) }, at(1000)));
        CPPUNIT_ASSERT(!detector.record(own, { 7, 222, at(100) }, at(5000)));
    }

    void changed_own_rows_are_compared_anew()
    {
        divergence_detector detector;
        announced_rows const reported { 7, 222, at(500) };
        CPPUNIT_ASSERT(!detector.record(own, reported, at(1000)));
        announced_rows const changed { 8, 333, at(100) };
        CPPUNIT_ASSERT(!detector.record(changed, reported, at(2000)));
        CPPUNIT_ASSERT(!detector.record(changed, reported, at(2799)));
        CPPUNIT_ASSERT(detector.record(changed, reported, at(2800)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(divergence_detector_test);

} // namespace shedhill::peering
