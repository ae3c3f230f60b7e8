// SPDX-License-Identifier: BSD-2-Clause
// Engines with little memory: what fits is sent, what does not waits at the router, and what never fits is refused.
#include "base/hash.h"
#include "libraries/dispatch/engines/engine_headroom.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class engine_room_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_room_test);
    CPPUNIT_TEST(what_is_sent_never_fills_more_than_it_may);
    CPPUNIT_TEST(an_empty_engine_takes_what_fits_at_all);
    CPPUNIT_TEST(a_full_engine_is_passed_over);
    CPPUNIT_TEST(what_others_hold_counts_and_goes_with_them);
    CPPUNIT_TEST(what_waits_for_room_is_sent_when_there_is_some);
    CPPUNIT_TEST(a_prompt_that_never_fits_is_refused_at_once);
    CPPUNIT_TEST(a_pace_that_halves_is_told_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr token_count memory = 1000000;
    // Does not fit beside six tenths of the memory.
    static constexpr token_count large = 200000;

    void what_is_sent_never_fills_more_than_it_may()
    {
        testing::check_property("room is never promised twice", [] {
            auto const needs = *rc::gen::container<std::vector<token_count>>(rc::gen::inRange<token_count>(1, 400));
            engine_headroom room { 1000, 0 };
            for (auto const needed : needs) {
                bool const is_empty = room.kv_tokens == 0;
                if (!room.has_headroom_for(needed, 0.9))
                    continue;
                room.kv_tokens += needed;
                RC_ASSERT(is_empty || room.kv_tokens <= 900);
            }
        });
    }

    void an_empty_engine_takes_what_fits_at_all()
    {
        CPPUNIT_ASSERT((engine_headroom { 1000, 0 }.has_headroom_for(990, 0.9)));
        CPPUNIT_ASSERT(!(engine_headroom { 1000, 1 }.has_headroom_for(990, 0.9)));
        CPPUNIT_ASSERT((engine_headroom { 0, 500 }.has_headroom_for(100000, 0.9)));
        CPPUNIT_ASSERT((engine_headroom { 1000, 0 }.is_too_small_for(1000)));
        CPPUNIT_ASSERT(!(engine_headroom { 0, 0 }.is_too_small_for(100000)));
    }

    void a_full_engine_is_passed_over()
    {
        dispatch_driver driver;
        driver.start(
            { dispatch_driver::make_endpoint("e1", "model", 100), dispatch_driver::make_endpoint("e2", "model", 100) });
        for (auto* name : { "e1", "e2" })
            hold(driver, name, memory * 6 / 10);
        hold(driver, "e2", memory / 10);
        auto const request = driver.ask("/once/", "red-key", large);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), driver.sent_for(request).at(0).endpoint.value());
    }

    void what_others_hold_counts_and_goes_with_them()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        hold(driver, "e1", memory * 6 / 10);
        auto const first = driver.ask("/once/", "red-key", large);
        CPPUNIT_ASSERT(driver.sent_for(first).empty());
        driver.take(peer_lost { peer_report { .peer = vm_name("b") }.source() });
        driver.wait(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(first).size());
    }

    void what_waits_for_room_is_sent_when_there_is_some()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        hold(driver, "e1", memory * 6 / 10);
        auto const request = driver.ask("/once/", "red-key", large);
        driver.wait(milliseconds(20));
        CPPUNIT_ASSERT(driver.sent_for(request).empty());
        hold(driver, "e1", memory / 10);
        driver.wait(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(request).size());
    }

    void a_prompt_that_never_fits_is_refused_at_once()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        auto const request = driver.ask("/once/", "red-key", memory);
        CPPUNIT_ASSERT(driver.sent_for(request).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 413 }, driver.refusal_of(request)->status);
        CPPUNIT_ASSERT(driver.refusal_of(request)->reason == refusal_reason::prompt_too_large);
        CPPUNIT_ASSERT(!driver.refusal_of(request)->retry_after);
    }

    void a_pace_that_halves_is_told_once()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        driver.wait(milliseconds(6000));
        CPPUNIT_ASSERT(driver.log().find("engine_pace_changed") == std::string::npos);
        peer_report report;
        report.peer = vm_name("b");
        report.loads = { { key_of(endpoint_name("e1")), { 1, 0, 0 }, { 0, 5000 } } };
        driver.take(report);
        driver.wait(milliseconds(1));
        driver.wait(milliseconds(5000));
        auto const first = driver.log().find("engine_pace_changed");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(driver.log().find("engine_pace_changed", first + 1) == std::string::npos);
    }

    // Another router holds so much of the engine's memory, and has read all that it sent.
    static void hold(dispatch_driver& driver, char const* name, token_count held)
    {
        peer_report report;
        report.peer = vm_name("b");
        report.scope = report_scope::changes;
        report.loads = { { key_of(endpoint_name(name)), { 1, 0, held } } };
        driver.take(report);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_room_test);

} // namespace shedhill::dispatch
