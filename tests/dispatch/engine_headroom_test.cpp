// SPDX-License-Identifier: BSD-2-Clause
// Tests engines with little KV cache capacity: a prompt that fits is sent, a prompt that does not fit waits at the
// router, and a prompt that can never fit is refused.
#include "base/hash.h"
#include "libraries/dispatch/engines/engine_headroom.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class engine_headroom_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_headroom_test);
    CPPUNIT_TEST(admitted_prompts_never_exceed_the_fill_limit);
    CPPUNIT_TEST(an_empty_engine_accepts_any_prompt_within_its_capacity);
    CPPUNIT_TEST(a_full_engine_is_not_selected);
    CPPUNIT_TEST(kv_tokens_of_other_routers_count_until_those_are_gone);
    CPPUNIT_TEST(a_request_that_waits_for_headroom_is_sent_when_there_is_some);
    CPPUNIT_TEST(a_prompt_that_never_fits_is_refused_at_once);
    CPPUNIT_TEST(a_prefill_rate_that_halves_is_logged_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr token_count kv_capacity = 1000000;
    // A prompt that does not fit into an engine with six tenths of its capacity in use.
    static constexpr token_count large_prompt = 200000;

    void admitted_prompts_never_exceed_the_fill_limit()
    {
        testing::check_property("headroom is never assigned twice", [] {
            auto const needs = *rc::gen::container<std::vector<token_count>>(rc::gen::inRange<token_count>(1, 400));
            engine_headroom headroom { 1000, 0 };
            for (auto const needed : needs) {
                bool const is_empty = headroom.kv_tokens == 0;
                if (!headroom.has_headroom_for(needed, 0.9))
                    continue;
                headroom.kv_tokens += needed;
                RC_ASSERT(is_empty || headroom.kv_tokens <= 900);
            }
        });
    }

    void an_empty_engine_accepts_any_prompt_within_its_capacity()
    {
        CPPUNIT_ASSERT((engine_headroom { 1000, 0 }.has_headroom_for(990, 0.9)));
        CPPUNIT_ASSERT(!(engine_headroom { 1000, 1 }.has_headroom_for(990, 0.9)));
        CPPUNIT_ASSERT((engine_headroom { 0, 500 }.has_headroom_for(100000, 0.9)));
        CPPUNIT_ASSERT((engine_headroom { 1000, 0 }.is_too_small_for(1000)));
        CPPUNIT_ASSERT(!(engine_headroom { 0, 0 }.is_too_small_for(100000)));
    }

    void a_full_engine_is_not_selected()
    {
        dispatch_driver driver;
        driver.start(
            { dispatch_driver::make_endpoint("e1", "model", 100), dispatch_driver::make_endpoint("e2", "model", 100) });
        for (auto* name : { "e1", "e2" })
            report_kv_tokens(driver, name, kv_capacity * 6 / 10);
        report_kv_tokens(driver, "e2", kv_capacity / 10);
        auto const request = driver.ask("/once/", "red-key", large_prompt);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), driver.sent_for(request).at(0).endpoint.value());
    }

    void kv_tokens_of_other_routers_count_until_those_are_gone()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        report_kv_tokens(driver, "e1", kv_capacity * 6 / 10);
        auto const first = driver.ask("/once/", "red-key", large_prompt);
        CPPUNIT_ASSERT(driver.sent_for(first).empty());
        driver.deliver(peer_lost { peer_report { .peer = vm_name("b") }.source() });
        driver.wait(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(first).size());
    }

    void a_request_that_waits_for_headroom_is_sent_when_there_is_some()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        report_kv_tokens(driver, "e1", kv_capacity * 6 / 10);
        auto const request = driver.ask("/once/", "red-key", large_prompt);
        driver.wait(milliseconds(20));
        CPPUNIT_ASSERT(driver.sent_for(request).empty());
        report_kv_tokens(driver, "e1", kv_capacity / 10);
        driver.wait(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(request).size());
    }

    void a_prompt_that_never_fits_is_refused_at_once()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        auto const request = driver.ask("/once/", "red-key", kv_capacity);
        CPPUNIT_ASSERT(driver.sent_for(request).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 413 }, driver.refusal_of(request)->status);
        CPPUNIT_ASSERT(driver.refusal_of(request)->reason == refusal_reason::prompt_too_large);
        CPPUNIT_ASSERT(!driver.refusal_of(request)->retry_after);
    }

    void a_prefill_rate_that_halves_is_logged_once()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("e1", "model", 100) });
        driver.wait(milliseconds(6000));
        CPPUNIT_ASSERT(driver.log().find("engine_pace_changed") == std::string::npos);
        peer_report report;
        report.peer = vm_name("b");
        report.loads = { { key_of(endpoint_name("e1")), { 1, 0, 0 }, { 0, 5000 } } };
        driver.deliver(report);
        driver.wait(milliseconds(1));
        driver.wait(milliseconds(5000));
        auto const first = driver.log().find("engine_pace_changed");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(driver.log().find("engine_pace_changed", first + 1) == std::string::npos);
    }

    // Reports that another router's requests occupy this number of tokens at the engine and have no pending prefill.
    static void report_kv_tokens(dispatch_driver& driver, char const* name, token_count kv_tokens)
    {
        peer_report report;
        report.peer = vm_name("b");
        report.scope = report_scope::changes;
        report.loads = { { key_of(endpoint_name(name)), { 1, 0, kv_tokens } } };
        driver.deliver(report);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_headroom_test);

} // namespace shedhill::dispatch
