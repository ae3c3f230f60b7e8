// SPDX-License-Identifier: BSD-2-Clause
// Tests the estimate of the work that other routers have sent but not reported yet, based on their reported running
// attempts.
#include "libraries/dispatch/engines/unreported_work.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class unreported_work_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unreported_work_test);
    CPPUNIT_TEST(nothing_is_estimated_before_any_sample);
    CPPUNIT_TEST(the_estimate_is_the_arrival_rate_times_the_report_age);
    CPPUNIT_TEST(a_long_gap_does_not_change_the_report_age);
    CPPUNIT_TEST(old_attempts_count_little);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static report_age reported_every(milliseconds gap)
    {
        report_age age;
        for (int report = 0; report < 1000; ++report)
            age.record_gap(gap);
        return age;
    }

    void nothing_is_estimated_before_any_sample()
    {
        unreported_work unreported;
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unreported.tokens(12, 3, reported_every(milliseconds(100))));
        unreported.record_attempt_duration(5000, milliseconds(1000), at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unreported.tokens(12, 3, report_age()));
    }

    // Ten attempts that take a second and prefill 4,000 tokens each are 40 tokens per millisecond. Reports of routers
    // of the same failure domain are 50 ms old, the sums of other domains 100 ms.
    void the_estimate_is_the_arrival_rate_times_the_report_age()
    {
        unreported_work unreported;
        unreported.record_attempt_duration(3000, milliseconds(800), at(1000));
        unreported.record_attempt_duration(5000, milliseconds(1200), at(1000));
        auto const age = reported_every(milliseconds(100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, static_cast<double>(unreported.tokens(10, 0, age)), 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, static_cast<double>(unreported.tokens(10, 10, age)), 10);
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unreported.tokens(0, 0, age));
    }

    void a_long_gap_does_not_change_the_report_age()
    {
        auto age = reported_every(milliseconds(100));
        age.record_gap(milliseconds(20000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, age.of_domain_peers_ms(), 1);
    }

    void old_attempts_count_little()
    {
        unreported_work unreported;
        for (int attempt = 0; attempt < 100; ++attempt)
            unreported.record_attempt_duration(9000, milliseconds(100), at(1000));
        unreported.record_attempt_duration(1000, milliseconds(1000), at(120'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, unreported.tokens_per_running_ms(), 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unreported_work_test);

} // namespace shedhill::dispatch
