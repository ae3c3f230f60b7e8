// SPDX-License-Identifier: BSD-2-Clause
// What callers get of a pool most of which is idle, and which many routers share on news a tenth of a second old:
// nobody is turned away for a share there, and routers do not all send to the same engine.
#include "tests/dispatch/crowded_pool_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class wide_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(wide_pool_test);
    CPPUNIT_TEST(nobody_is_refused_while_most_of_the_pool_is_idle);
    CPPUNIT_TEST(prompts_find_idle_engines_though_news_is_old);
    CPPUNIT_TEST_SUITE_END();

    // A tenth of what the engines can read is asked for, half of it by one team.
    static crowded_pool_load idle_load(std::size_t routers)
    {
        constexpr token_count tokens_per_second_of_one = 12000;
        return { .kind = pool_kind::engine,
            .routers = routers,
            .endpoints = routers,
            .slots = 16,
            .work_ms = 450,
            .prompt = 3000,
            .tokens_per_ms = 150,
            .shared_parts = 10 * routers,
            .shared_prompt = 5000,
            .skew = 0.9,
            .teams = { 12, 3, 1, 1, 1, 1, 1 },
            .tokens_per_second = static_cast<token_count>(routers) * tokens_per_second_of_one,
            .calls_per_second = 3.0 * static_cast<double>(routers),
            .uneven_fraction = 1.0 / 3,
            .objective = milliseconds(500),
            .duration = milliseconds(3000) };
    }

    // With shares that bind whatever is idle, six seconds: 0.97, 0.80 and 0.82 of the calls in time, 7, 169 and 405
    // unserved (12, 48 and 120 routers).
    void nobody_is_refused_while_most_of_the_pool_is_idle()
    {
        for (std::size_t const routers : { 12U, 48U, 100U }) {
            auto const played = crowded_pool_simulation(idle_load(routers)).run();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, played.unserved);
            CPPUNIT_ASSERT(played.in_time_fraction() > 0.99);
        }
    }

    // The most wanted parts are asked for more than one engine bears, by routers none of which sees what others sent in
    // the last tenth of a second. Nine tenths of the prompts are to find an engine with nothing to read, by the
    // policy's own measure. Without a forecast of what is not told yet: 52 and 56 ms (12 and 120 routers).
    void prompts_find_idle_engines_though_news_is_old()
    {
        for (std::size_t const routers : { 12U, 100U }) {
            auto load = idle_load(routers);
            load.endpoints = 100;
            load.shared_parts = 1000;
            load.calls_per_second = 300;
            load.skew = 1.3;
            load.teams = { 1 };
            load.tokens_per_second = 0;
            auto const played = crowded_pool_simulation(load).run();
            auto const ninth_decile = played.queue_times.at(played.queue_times.size() * 9 / 10);
            CPPUNIT_ASSERT(static_cast<double>(ninth_decile.count()) <= load.policy.idle_reading_ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wide_pool_test);

} // namespace shedhill::dispatch
