// SPDX-License-Identifier: BSD-2-Clause
// Tests that a planned stop interrupts no work in progress and ends in time.
#include "libraries/relay/stop_sequence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class stop_sequence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_sequence_test);
    CPPUNIT_TEST(nothing_happens_before_a_stop_is_requested);
    CPPUNIT_TEST(callers_are_released_once_the_balancer_has_noticed);
    CPPUNIT_TEST(the_stop_waits_for_open_work);
    CPPUNIT_TEST(open_requests_are_answered_before_the_stop_ends);
    CPPUNIT_TEST(the_stop_ends_in_time_whatever_is_open);
    CPPUNIT_TEST(a_short_stop_releases_callers_at_half_of_its_time);
    CPPUNIT_TEST(a_stop_without_time_answers_first);
    CPPUNIT_TEST(a_second_signal_does_not_restart_the_stop);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds stop_time { 8000 };
    static constexpr open_work nothing_open {};

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static stop_sequence make_started()
    {
        stop_sequence stop;
        stop.begin(at(1000));
        return stop;
    }

    static void nothing_happens_before_a_stop_is_requested()
    {
        stop_sequence stop;
        CPPUNIT_ASSERT(stop.advance(nothing_open, stop_time, at(100000)) == stop_step::wait);
        CPPUNIT_ASSERT(!stop.has_begun());
    }

    static void callers_are_released_once_the_balancer_has_noticed()
    {
        auto stop = make_started();
        CPPUNIT_ASSERT(stop.advance(nothing_open, stop_time, at(3600)) == stop_step::wait);
        CPPUNIT_ASSERT(!stop.is_closing());
        CPPUNIT_ASSERT(stop.advance(nothing_open, stop_time, at(3700)) == stop_step::close_callers);
        CPPUNIT_ASSERT(stop.is_closing());
        CPPUNIT_ASSERT(stop.advance(nothing_open, stop_time, at(3708)) == stop_step::end_process);
    }

    static void the_stop_waits_for_open_work()
    {
        auto stop = make_started();
        CPPUNIT_ASSERT(stop.advance({ 1, false }, stop_time, at(3700)) == stop_step::close_callers);
        CPPUNIT_ASSERT(stop.advance({ 1, false }, stop_time, at(5000)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance({ 0, true }, stop_time, at(6000)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance(nothing_open, stop_time, at(6100)) == stop_step::end_process);
    }

    static void open_requests_are_answered_before_the_stop_ends()
    {
        auto stop = make_started();
        (void)stop.advance({ 3, true }, stop_time, at(3700));
        CPPUNIT_ASSERT(stop.advance({ 3, true }, stop_time, at(8299)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance({ 3, true }, stop_time, at(8300)) == stop_step::end_requests);
        CPPUNIT_ASSERT(stop.advance({ 0, true }, stop_time, at(8308)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance(nothing_open, stop_time, at(8316)) == stop_step::end_process);
    }

    static void the_stop_ends_in_time_whatever_is_open()
    {
        auto stop = make_started();
        (void)stop.advance({ 3, true }, stop_time, at(3700));
        (void)stop.advance({ 3, true }, stop_time, at(8300));
        CPPUNIT_ASSERT(stop.advance({ 3, true }, stop_time, at(8599)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance({ 3, true }, stop_time, at(8600)) == stop_step::end_process);
    }

    static void a_short_stop_releases_callers_at_half_of_its_time()
    {
        constexpr milliseconds short_time { 3000 };
        auto stop = make_started();
        CPPUNIT_ASSERT(stop.advance({ 3, false }, short_time, at(2499)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance({ 3, false }, short_time, at(2500)) == stop_step::close_callers);
        CPPUNIT_ASSERT(stop.advance({ 3, false }, short_time, at(3299)) == stop_step::wait);
        CPPUNIT_ASSERT(stop.advance({ 3, false }, short_time, at(3300)) == stop_step::end_requests);
    }

    static void a_stop_without_time_answers_first()
    {
        auto stop = make_started();
        CPPUNIT_ASSERT(stop.advance({ 3, true }, milliseconds(0), at(1000)) == stop_step::end_requests);
        CPPUNIT_ASSERT(stop.is_closing());
        CPPUNIT_ASSERT(stop.advance({ 3, true }, milliseconds(0), at(1008)) == stop_step::end_process);
    }

    static void a_second_signal_does_not_restart_the_stop()
    {
        auto stop = make_started();
        stop.begin(at(8000));
        CPPUNIT_ASSERT(stop.advance({ 3, true }, stop_time, at(8300)) == stop_step::end_requests);
        CPPUNIT_ASSERT(stop.advance({ 3, true }, stop_time, at(8600)) == stop_step::end_process);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_sequence_test);

} // namespace shedhill::relay
