// SPDX-License-Identifier: BSD-2-Clause
// What other routers have sent and not told yet, foretold from what they say runs.
#include "libraries/dispatch/engines/unseen_work.h"

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

    static news_age told_each(milliseconds gap)
    {
        news_age age;
        for (int report = 0; report < 1000; ++report)
            age.note_gap(gap);
        return age;
    }

    void nothing_is_foretold_before_anything_was_seen()
    {
        unseen_work unseen;
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unseen.tokens(12, 3, told_each(milliseconds(100))));
        unseen.note_stay(5000, milliseconds(1000), at(1000));
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unseen.tokens(12, 3, news_age()));
    }

    // Ten attempts that stay a second and read 4,000 tokens each are 40 tokens in a millisecond. Neighbours' news is 50
    // ms old, sums of others 100.
    void it_is_the_rate_of_arrivals_over_the_age_of_the_news()
    {
        unseen_work unseen;
        unseen.note_stay(3000, milliseconds(800), at(1000));
        unseen.note_stay(5000, milliseconds(1200), at(1000));
        auto const age = told_each(milliseconds(100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, static_cast<double>(unseen.tokens(10, 0, age)), 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, static_cast<double>(unseen.tokens(10, 10, age)), 10);
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, unseen.tokens(0, 0, age));
    }

    void a_silence_says_nothing_of_the_age_of_news()
    {
        auto age = told_each(milliseconds(100));
        age.note_gap(milliseconds(20000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, age.of_neighbours_ms(), 1);
    }

    void what_is_long_past_counts_little()
    {
        unseen_work unseen;
        for (int attempt = 0; attempt < 100; ++attempt)
            unseen.note_stay(9000, milliseconds(100), at(1000));
        unseen.note_stay(1000, milliseconds(1000), at(120'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, unseen.tokens_per_running_ms(), 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unseen_work_test);

} // namespace shedhill::dispatch
