// SPDX-License-Identifier: BSD-2-Clause
// Tests a pool with too little capacity that many routers share: how much of it is used while callers are refused, how
// many requests are answered in time, and when refused callers retry.
#include "libraries/dispatch/admission/answer_time_limit.h"
#include "libraries/dispatch/admission/retry_delay.h"
#include "tests/dispatch/crowded_pool_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class crowded_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crowded_pool_test);
    CPPUNIT_TEST(nearly_all_slots_are_busy_while_callers_are_refused);
    CPPUNIT_TEST(a_lightly_loaded_service_answers_all_in_time);
    CPPUNIT_TEST(an_early_retry_is_answered_in_time_by_engines_too);
    CPPUNIT_TEST(the_limit_falls_once_for_answers_that_come_together);
    CPPUNIT_TEST(a_limit_that_is_not_used_does_not_rise);
    CPPUNIT_TEST(the_limit_recovers_after_a_slow_spell);
    CPPUNIT_TEST(a_limit_below_one_spreads_requests_over_time);
    CPPUNIT_TEST(a_caller_that_found_no_slot_retries_within_the_objective);
    CPPUNIT_TEST(a_caller_of_an_overloaded_router_retries_after_the_balancer_reacted);
    CPPUNIT_TEST(no_retry_delay_exceeds_the_time_that_the_caller_waits);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    // Callers request 1.45 times the capacity of one endpoint with 6 slots, so that at most 0.69 of them can be served.
    // Where routers rely only on each other's reports, with the usual wait and retry delay, 0.87 of the slots are used,
    // 0.40 of the calls are answered in time and 0.37 are unserved at 22 routers; 0.37 are answered in time at 60
    // routers.
    void nearly_all_slots_are_busy_while_callers_are_refused()
    {
        auto const default_load = crowded_pool_simulation(crowded_pool_load {}).run();
        CPPUNIT_ASSERT(default_load.utilisation > 0.95);
        CPPUNIT_ASSERT(default_load.in_time_fraction() > 0.55);
        auto const few_routers = crowded_pool_simulation(crowded_pool_load { .routers = 2 }).run();
        CPPUNIT_ASSERT(few_routers.utilisation > 0.95);
        CPPUNIT_ASSERT(few_routers.in_time_fraction() > 0.55);
        auto const many_routers
            = crowded_pool_simulation(crowded_pool_load { .routers = 60, .endpoints = 3, .calls_per_second = 800 })
                  .run();
        CPPUNIT_ASSERT(many_routers.utilisation > 0.95);
        CPPUNIT_ASSERT(many_routers.in_time_fraction() > 0.55);
    }

    void a_lightly_loaded_service_answers_all_in_time()
    {
        auto const light_load = crowded_pool_simulation(crowded_pool_load { .endpoints = 3 }).run();
        CPPUNIT_ASSERT(light_load.in_time_fraction() > 0.995);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, light_load.rejected_by_endpoints);
    }

    // Four engines receive 1.3 times the load that they can prefill, in six runs. Where routers estimate the progress
    // of the prefill by the clock, 0.77 of the calls are answered in time (0.71 where callers retry after a second).
    // Where pending prefill counts until the first event, 0.85 are, whatever the retry delay is.
    void an_early_retry_is_answered_in_time_by_engines_too()
    {
        constexpr std::uint64_t runs = 6;
        double in_time = 0;
        double in_time_with_default_delay = 0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            crowded_pool_load load { .kind = pool_kind::engine,
                .routers = 8,
                .endpoints = 4,
                .slots = 64,
                .work_ms = 500,
                .calls_per_second = 130,
                .objective = milliseconds(500),
                .seed = seed };
            auto const early = crowded_pool_simulation(load).run();
            load.policy.early_return = 0;
            auto const default_delay = crowded_pool_simulation(load).run();
            in_time += early.in_time_fraction() / runs;
            in_time_with_default_delay += default_delay.in_time_fraction() / runs;
        }
        CPPUNIT_ASSERT(in_time > 0.82);
        CPPUNIT_ASSERT(in_time > in_time_with_default_delay - 0.02);
    }

    void the_limit_falls_once_for_answers_that_come_together()
    {
        answer_time_limit limit;
        limit.initialize(3);
        auto const before = limit.limit();
        for (int answer = 0; answer < 10; ++answer)
            limit.record_answer(200, 75, 5, at(5000));
        CPPUNIT_ASSERT(limit.limit() > before * 0.8);
        limit.record_rejection(at(5200));
        CPPUNIT_ASSERT(limit.limit() < before * 0.8);
    }

    void a_limit_that_is_not_used_does_not_rise()
    {
        answer_time_limit limit;
        limit.initialize(3);
        for (std::int64_t now = 0; now < 20000; now += 100)
            limit.record_answer(20, 75, 0, at(now));
        CPPUNIT_ASSERT(limit.limit() <= 6);
        limit.record_answer(20, 75, 5, at(20000));
        CPPUNIT_ASSERT(limit.limit() > 6);
    }

    void the_limit_recovers_after_a_slow_spell()
    {
        answer_time_limit limit;
        for (std::int64_t now = 0; now < 20000; now += 100)
            limit.record_answer(800, 75, 0, at(now));
        // A request is sent whenever the limit allows it, and is answered at once.
        int answers = 0;
        for (std::int64_t now = 20000; now < 40000; now += 10) {
            if (!limit.allows(0, at(now)))
                continue;
            limit.record_sent(at(now));
            limit.record_answer(30, 75, 0, at(now));
            ++answers;
        }
        CPPUNIT_ASSERT(limit.limit() >= 1);
        CPPUNIT_ASSERT(answers > 200);
    }

    void a_limit_below_one_spreads_requests_over_time()
    {
        answer_time_limit limit;
        for (std::int64_t now = 0; now < 20000; now += 100)
            limit.record_answer(100, 75, 0, at(now));
        int sent = 0;
        for (std::int64_t now = 20000; now < 30000; now += 1) {
            if (!limit.allows(0, at(now)))
                continue;
            limit.record_sent(at(now));
            ++sent;
        }
        // A limit of a twentieth would send one request in two seconds; the minimum of one per second applies however
        // slow the answers are.
        CPPUNIT_ASSERT_EQUAL(10, sent);
    }

    static refused_caller default_caller()
    {
        return { refusal_reason::no_place, milliseconds(500), milliseconds(10000), false, 0.2 };
    }

    void a_caller_that_found_no_slot_retries_within_the_objective()
    {
        for (std::uint64_t draw = 0; draw < 5000; draw += 7) {
            auto const after = retry_delay(default_caller(), draw);
            CPPUNIT_ASSERT(after >= milliseconds(50) && after <= milliseconds(150));
        }
    }

    void a_caller_of_an_overloaded_router_retries_after_the_balancer_reacted()
    {
        auto refused = default_caller();
        refused.reason = refusal_reason::router_overloaded;
        CPPUNIT_ASSERT(retry_delay(refused, 0) == default_retry_delay);
        refused.is_router_overloaded = true;
        CPPUNIT_ASSERT(retry_delay(refused, 0) >= milliseconds(2000));
    }

    void no_retry_delay_exceeds_the_time_that_the_caller_waits()
    {
        auto refused = default_caller();
        refused.reason = refusal_reason::team_over_share;
        refused.left = milliseconds(900);
        CPPUNIT_ASSERT(retry_delay(refused, 0) <= milliseconds(300));
        refused.left = milliseconds(-5);
        CPPUNIT_ASSERT(retry_delay(refused, 0) == milliseconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowded_pool_test);

} // namespace shedhill::dispatch
