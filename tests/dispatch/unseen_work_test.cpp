// SPDX-License-Identifier: BSD-2-Clause
// What other routers have sent and not told yet, foretold from what they say runs.
#include "libraries/dispatch/engines/unreported_work.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class unseen_work_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unseen_work_test);
    CPPUNIT_TEST(nothing_is_foretold_before_anything_was_seen);
    CPPUNIT_TEST(it_is_the_rate_of_arrivals_over_the_age_of_the_news);
    CPPUNIT_TEST(a_silence_says_nothing_of_the_age_of_news);
    CPPUNIT_TEST(what_is_long_past_counts_little);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static report_age told_each(milliseconds gap)
    {
        report_age age;
        for (int report = 0; report < 1000; ++report)
            age.record_gap(gap);
        return age;
    }

    void nothing_is_foretold_before_anything_was_seen()
    {
        unreported_work unreported;
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unreported.tokens(12, 3, told_each(milliseconds(100))));
        unreported.record_attempt_duration(5000, milliseconds(1000), at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unreported.tokens(12, 3, report_age()));
    }

    // Ten attempts that stay a second and read 4,000 tokens each are 40 tokens in a millisecond. Neighbours' news is 50
    // ms old, sums of others 100.
    void it_is_the_rate_of_arrivals_over_the_age_of_the_news()
    {
        unreported_work unreported;
        unreported.record_attempt_duration(3000, milliseconds(800), at(1000));
        unreported.record_attempt_duration(5000, milliseconds(1200), at(1000));
        auto const age = told_each(milliseconds(100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, static_cast<double>(unreported.tokens(10, 0, age)), 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, static_cast<double>(unreported.tokens(10, 10, age)), 10);
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unreported.tokens(0, 0, age));
    }

    void a_silence_says_nothing_of_the_age_of_news()
    {
        auto age = told_each(milliseconds(100));
        age.record_gap(milliseconds(20000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, age.of_domain_peers_ms(), 1);
    }

    void what_is_long_past_counts_little()
    {
        unreported_work unreported;
        for (int attempt = 0; attempt < 100; ++attempt)
            unreported.record_attempt_duration(9000, milliseconds(100), at(1000));
        unreported.record_attempt_duration(1000, milliseconds(1000), at(120'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, unreported.tokens_per_running_ms(), 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unseen_work_test);

} // namespace shedhill::dispatch
