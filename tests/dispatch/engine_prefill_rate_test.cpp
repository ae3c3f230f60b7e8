// SPDX-License-Identifier: BSD-2-Clause
// Tests how an engine's prefill rate is estimated from first events, from overdue first events and from the reports of
// other routers.
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

#include <cmath>

namespace shedhill::dispatch {

class engine_prefill_rate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_prefill_rate_test);
    CPPUNIT_TEST(pending_prefill_delays_the_own_prefill);
    CPPUNIT_TEST(the_prior_is_the_average_rate_of_the_endpoints);
    CPPUNIT_TEST(a_prefill_rate_converges_from_any_prior);
    CPPUNIT_TEST(the_base_latency_is_estimated);
    CPPUNIT_TEST(an_overdue_first_event_lowers_the_rate_before_it_arrives);
    CPPUNIT_TEST(a_stall_is_forgotten);
    CPPUNIT_TEST(an_engine_that_fails_at_once_does_not_look_idle);
    CPPUNIT_TEST(no_sample_moves_a_prefill_rate_out_of_bounds);
    CPPUNIT_TEST_SUITE_END();

    // The base first-event latency that the board assumes before it has samples.
    static constexpr double base_ms = 52;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static pool_prefill_rate make_pool(token_count tokens_per_second = 50000, std::size_t endpoints = 1)
    {
        pool_prefill_rate pool;
        pool.set_prior(tokens_per_second, endpoints, 6);
        return pool;
    }

    static engine_prefill_rate make_engine(pool_prefill_rate const& pool, instant now)
    {
        engine_prefill_rate engine;
        engine.update(pool, now);
        return engine;
    }

    static engine_run make_run(engine_prefill_rate const& engine, pool_prefill_rate const& pool,
        token_count pending_prefill, token_count uncached_tokens)
    {
        return engine.start_run(pending_prefill, uncached_tokens, 0, pool);
    }

    void pending_prefill_delays_the_own_prefill()
    {
        auto const pool = make_pool();
        auto const engine = make_engine(pool, at(1000));
        auto const idle = engine.estimate(0, 3000, pool);
        auto const busy = engine.estimate(6000, 3000, pool);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, idle.queue_ms, 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60, idle.own_prefill_ms, 0.01);
        // Prompt tokens prefilled during the base latency of a first event still count as pending prefill.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(120 - idle.base_ms, busy.queue_ms, 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(idle.total_ms() + busy.queue_ms, busy.total_ms(), 0.01);
        CPPUNIT_ASSERT(busy.prefill_fraction() > idle.prefill_fraction());
    }

    void the_prior_is_the_average_rate_of_the_endpoints()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(25, make_pool(1000000, 40).tokens_per_ms(), 0.01);
        // The estimate has a lower bound: an engine that is assumed to be too slow would receive no requests that could
        // correct the assumption.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, make_pool(1000, 40).tokens_per_ms(), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, make_pool(0, 40).tokens_per_ms(), 0.01);
    }

    // After forty first events, which one of fifty engines produces in three seconds, the estimated time to the first
    // event is within a third of the true one and the estimated rate within a factor of two, whatever the initial
    // estimate was. Short and long prompts alternate, because prompts of one length cannot distinguish a low rate from
    // a high base latency.
    void a_prefill_rate_converges_from_any_prior()
    {
        testing::check_property("a prefill rate converges", [] {
            auto const prior_rate = *rc::gen::inRange(20, 200);
            auto const true_rate = *rc::gen::inRange(8, 200);
            auto const prompts = *rc::gen::container<std::vector<std::pair<int, int>>>(
                20, rc::gen::pair(rc::gen::inRange(100, 1000), rc::gen::inRange(2000, 9000)));
            endpoint_board board(failure_domain("north"));
            board.apply_pools(dispatch_driver::usual_configuration().pools, token_count { prior_rate } * 1000);
            board.apply_list({ dispatch_driver::make_endpoint("e1", "model", 100) }, at(1000));
            endpoint_choice chosen;
            chosen.endpoint = board.find(endpoint_name("e1"));
            std::int64_t now = 1000;
            auto const run_prompt = [&](int prompt) {
                now += 75;
                chosen.uncached_tokens = prompt;
                auto run = board.record_attempt(chosen, true, at(now));
                auto const took = base_ms + static_cast<double>(prompt) / true_rate;
                board.record_overdue(*chosen.endpoint, run, std::max(took - run.estimate.total_ms(), 0.0), at(now));
                board.record_first_event(*chosen.endpoint, run, took, at(now));
                board.record_end(*chosen.endpoint, run, endpoint_board::run_end::done, at(now));
            };
            for (auto const& [small, large] : prompts) {
                run_prompt(small);
                run_prompt(large);
                board.update_rates(at(now));
            }
            auto const run = board.record_attempt(chosen, true, at(now));
            auto const true_total_ms = base_ms + static_cast<double>(chosen.uncached_tokens) / true_rate;
            RC_ASSERT(std::abs(std::log(run.estimate.total_ms() / true_total_ms)) < std::log(1.33));
            auto const estimated_rate = chosen.endpoint->prefill_rate.tokens_per_ms();
            RC_ASSERT(std::abs(std::log(estimated_rate / true_rate)) < std::log(2.0));
        });
    }

    void the_base_latency_is_estimated()
    {
        auto pool = make_pool();
        for (int round = 0; round < 100; ++round)
            pool.record_base_latency(150, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150, pool.base_latency_ms(), 5);
        // A single slow request changes the estimate only a little.
        pool.record_base_latency(5000, 1);
        CPPUNIT_ASSERT(pool.base_latency_ms() < 165);
    }

    void an_overdue_first_event_lowers_the_rate_before_it_arrives()
    {
        auto const pool = make_pool();
        auto engine = make_engine(pool, at(1000));
        auto const before = engine.tokens_per_ms();
        auto const run = make_run(engine, pool, 0, 6000);
        engine.add(engine_prefill_rate::sample_of_overdue(run, 1000), at(2000));
        engine.update(pool, at(2000));
        CPPUNIT_ASSERT(engine.tokens_per_ms() < before / 4);
    }

    // The estimate of an engine that stalled returns to the pool's rate after some seconds without samples.
    void a_stall_is_forgotten()
    {
        auto const pool = make_pool();
        auto engine = make_engine(pool, at(1000));
        auto const before = engine.tokens_per_ms();
        auto const run = make_run(engine, pool, 0, 6000);
        engine.add(engine_prefill_rate::sample_of_overdue(run, 1500), at(2000));
        engine.update(pool, at(12000));
        CPPUNIT_ASSERT(engine.tokens_per_ms() > before * 0.7);
    }

    void an_engine_that_fails_at_once_does_not_look_idle()
    {
        endpoint_board board(failure_domain("north"));
        board.apply_pools(dispatch_driver::usual_configuration().pools, 50000);
        board.apply_list({ dispatch_driver::make_endpoint("e1", "model", 100) }, at(1000));
        endpoint_choice chosen;
        chosen.endpoint = board.find(endpoint_name("e1"));
        chosen.uncached_tokens = 9000;
        auto const run = board.record_attempt(chosen, true, at(1000));
        board.record_end(*chosen.endpoint, run, endpoint_board::run_end::failed, at(1005));
        CPPUNIT_ASSERT_EQUAL(0U, chosen.endpoint->own.running);
        CPPUNIT_ASSERT_EQUAL(token_count { 9000 }, chosen.endpoint->own.pending_prefill);
        board.update_rates(at(1100));
        CPPUNIT_ASSERT_EQUAL(token_count { 9000 }, chosen.endpoint->own.pending_prefill);
        board.update_rates(at(2000));
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, chosen.endpoint->own.pending_prefill);
        // The prompt of a caller that leaves stops counting at once.
        auto const left = board.record_attempt(chosen, true, at(2000));
        board.record_end(*chosen.endpoint, left, endpoint_board::run_end::done, at(2005));
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, chosen.endpoint->own.pending_prefill);
    }

    void no_sample_moves_a_prefill_rate_out_of_bounds()
    {
        testing::check_property("a prefill rate stays within bounds", [] {
            auto pool = make_pool();
            auto engine = make_engine(pool, at(1000));
            std::int64_t now = 1000;
            auto const samples = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 2000000), rc::gen::inRange(0, 100000)));
            for (auto const& [tokens, time_ms] : samples) {
                engine.add({ static_cast<double>(tokens), static_cast<double>(time_ms) }, at(now));
                engine.update(pool, at(now));
                RC_ASSERT(engine.tokens_per_ms() >= 1 && engine.tokens_per_ms() <= 2000);
                now += time_ms;
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_prefill_rate_test);

} // namespace shedhill::dispatch
