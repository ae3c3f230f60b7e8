// SPDX-License-Identifier: BSD-2-Clause
// What callers get of a pool with too little room that many routers share: how much of it is used while they are turned
// away, how many are answered in time, and when those come back who were refused.
#include "libraries/dispatch/admission/answer_time_limit.h"
#include "libraries/dispatch/admission/retry_delay.h"
#include "tests/dispatch/crowded_pool_play.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class crowded_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crowded_pool_test);
    CPPUNIT_TEST(few_slots_are_used_while_callers_are_turned_away);
    CPPUNIT_TEST(a_calm_service_answers_all_in_time);
    CPPUNIT_TEST(an_early_return_is_in_time_at_engines_too);
    CPPUNIT_TEST(the_limit_falls_once_for_answers_that_come_together);
    CPPUNIT_TEST(a_limit_that_is_not_used_does_not_rise);
    CPPUNIT_TEST(the_limit_recovers_after_a_slow_spell);
    CPPUNIT_TEST(below_one_requests_are_spread_over_time);
    CPPUNIT_TEST(who_found_no_place_comes_back_within_the_objective);
    CPPUNIT_TEST(who_must_go_elsewhere_comes_back_after_the_balancer_has_noticed);
    CPPUNIT_TEST(nobody_is_told_a_time_that_callers_do_not_wait);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    // Callers ask for 1.45 times what one endpoint of 6 slots can do; at best 0.69 of them are served. By the routers'
    // word of each other, with the wait and the return that others have: 0.87 of the slots used, 0.40 in time, 0.37
    // unserved at 22 routers; 0.37 in time at 60.
    void few_slots_are_used_while_callers_are_turned_away()
    {
        auto const crowded = crowded_pool_play(crowded_pool_load {}).play();
        CPPUNIT_ASSERT(crowded.used > 0.95);
        CPPUNIT_ASSERT(crowded.part_in_time() > 0.55);
        auto const few_routers = crowded_pool_play(crowded_pool_load { .routers = 2 }).play();
        CPPUNIT_ASSERT(few_routers.used > 0.95);
        CPPUNIT_ASSERT(few_routers.part_in_time() > 0.55);
        auto const many_routers
            = crowded_pool_play(crowded_pool_load { .routers = 60, .endpoints = 3, .calls_per_second = 800 }).play();
        CPPUNIT_ASSERT(many_routers.used > 0.95);
        CPPUNIT_ASSERT(many_routers.part_in_time() > 0.55);
    }

    void a_calm_service_answers_all_in_time()
    {
        auto const calm = crowded_pool_play(crowded_pool_load { .endpoints = 3 }).play();
        CPPUNIT_ASSERT(calm.part_in_time() > 0.995);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, calm.turned_away);
    }

    // Four engines that are asked for 1.3 times what they read, six plays: 0.77 in time where routers guessed by the
    // clock how far engines had read (0.71 where callers return after a second), 0.85 since unread prompts count until
    // their first events come; when callers return makes no difference any more.
    void an_early_return_is_in_time_at_engines_too()
    {
        constexpr std::uint64_t plays = 6;
        double in_time = 0;
        double in_time_later = 0;
        for (std::uint64_t seed = 1; seed <= plays; ++seed) {
            crowded_pool_load load { .kind = pool_kind::engine,
                .routers = 8,
                .endpoints = 4,
                .slots = 64,
                .work_ms = 500,
                .calls_per_second = 130,
                .objective = milliseconds(500),
                .seed = seed };
            auto const early = crowded_pool_play(load).play();
            load.policy.early_return = 0;
            auto const usual = crowded_pool_play(load).play();
            in_time += early.part_in_time() / plays;
            in_time_later += usual.part_in_time() / plays;
        }
        CPPUNIT_ASSERT(in_time > 0.82);
        CPPUNIT_ASSERT(in_time > in_time_later - 0.02);
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
        // One is sent whenever it may be, and answered at once again.
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

    void below_one_requests_are_spread_over_time()
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
        // A twentieth at a time would be one in two seconds; one a second is sent however slow the answers are.
        CPPUNIT_ASSERT_EQUAL(10, sent);
    }

    static refused_caller usual_caller()
    {
        return { refusal_reason::no_place, milliseconds(500), milliseconds(10000), false, 0.2 };
    }

    void who_found_no_place_comes_back_within_the_objective()
    {
        for (std::uint64_t draw = 0; draw < 5000; draw += 7) {
            auto const after = retry_delay(usual_caller(), draw);
            CPPUNIT_ASSERT(after >= milliseconds(50) && after <= milliseconds(150));
        }
    }

    void who_must_go_elsewhere_comes_back_after_the_balancer_has_noticed()
    {
        auto refused = usual_caller();
        refused.reason = refusal_reason::router_overloaded;
        CPPUNIT_ASSERT(retry_delay(refused, 0) == default_retry_delay);
        refused.is_router_overloaded = true;
        CPPUNIT_ASSERT(retry_delay(refused, 0) >= milliseconds(2000));
    }

    void nobody_is_told_a_time_that_callers_do_not_wait()
    {
        auto refused = usual_caller();
        refused.reason = refusal_reason::team_over_share;
        refused.left = milliseconds(900);
        CPPUNIT_ASSERT(retry_delay(refused, 0) <= milliseconds(300));
        refused.left = milliseconds(-5);
        CPPUNIT_ASSERT(retry_delay(refused, 0) == milliseconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowded_pool_test);

} // namespace shedhill::dispatch
