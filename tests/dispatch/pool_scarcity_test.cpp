// SPDX-License-Identifier: BSD-2-Clause
// Tests when a pool counts as scarce, and how much capacity that leaves for teams within their share.
#include "libraries/dispatch/endpoints/pool_scarcity.h"
#include "tests/support/property.h"

#include <vector>

namespace shedhill::dispatch {

class pool_scarcity_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pool_scarcity_test);
    CPPUNIT_TEST(an_idle_pool_is_not_scarce);
    CPPUNIT_TEST(a_pool_without_engines_is_scarce);
    CPPUNIT_TEST(slots_prefill_and_kv_tokens_each_make_a_pool_scarce);
    CPPUNIT_TEST(scarcity_never_falls_with_more_work);
    CPPUNIT_TEST(where_nothing_is_scarce_an_entitled_request_starts_at_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr engine_size usual_size { 16, 600000 };

    struct engine_load {
        engine_work work;
        double queue_ms { 0 };
    };

    static double scarcity_of(std::vector<engine_load> const& engines, engine_size size = usual_size)
    {
        dispatch_policy const policy;
        pool_scarcity pool(policy);
        for (auto const& engine : engines)
            pool.add(size, engine.work, engine.queue_ms);
        return pool.scarcity();
    }

    void an_idle_pool_is_not_scarce()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, scarcity_of({ {}, {}, {} }));
        CPPUNIT_ASSERT_EQUAL(0.0, scarcity_of({ { { 2, 0, 20000 }, 0 }, {} }));
    }

    void a_pool_without_engines_is_scarce() { CPPUNIT_ASSERT_EQUAL(1.0, scarcity_of({})); }

    void slots_prefill_and_kv_tokens_each_make_a_pool_scarce()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, scarcity_of({ { { 8, 0, 0 }, 0 } }));
        CPPUNIT_ASSERT_EQUAL(1.0, scarcity_of({ { { 1, 90000, 0 }, 600 } }));
        CPPUNIT_ASSERT_EQUAL(1.0, scarcity_of({ { { 1, 0, 300000 }, 0 } }));
        // A KV cache whose capacity is not configured never makes the pool scarce.
        CPPUNIT_ASSERT_EQUAL(0.0, scarcity_of({ { { 1, 0, 300000 }, 0 } }, { 16, 0 }));
    }

    static std::vector<engine_load> draw_engines()
    {
        std::vector<engine_load> engines(static_cast<std::size_t>(*rc::gen::inRange(1, 60)));
        for (auto& engine : engines) {
            engine.work.running = *rc::gen::inRange<std::uint32_t>(0, 12);
            engine.work.kv_tokens = *rc::gen::inRange<token_count>(0, 200000);
            engine.queue_ms = *rc::gen::inRange(0, 100);
        }
        return engines;
    }

    void scarcity_never_falls_with_more_work()
    {
        testing::check_property("scarcity never falls with more work", [] {
            auto engines = draw_engines();
            auto const before = scarcity_of(engines);
            auto& busier = engines.at(*rc::gen::inRange<std::size_t>(0, engines.size()));
            busier.work.running += *rc::gen::inRange<std::uint32_t>(0, 10);
            busier.work.kv_tokens += *rc::gen::inRange<token_count>(0, 100000);
            busier.queue_ms += *rc::gen::inRange(0, 100);
            auto const after = scarcity_of(engines);
            RC_ASSERT(after >= before);
            RC_ASSERT(before >= 0 && after <= 1);
        });
    }

    // Requests admitted past a team's share do not delay requests of teams within theirs, because seven of eight
    // engines have no pending prefill.
    void where_nothing_is_scarce_an_entitled_request_starts_at_once()
    {
        testing::check_property("a request within its share starts at once", [] {
            // Only few engines are busy, because otherwise nearly all generated pools are scarce.
            std::vector<engine_load> engines(static_cast<std::size_t>(*rc::gen::inRange(1, 60)));
            for (auto& engine : engines) {
                engine.work.running = *rc::gen::inRange<std::uint32_t>(0, 4);
                engine.queue_ms = *rc::gen::inRange(0, 8) == 0 ? *rc::gen::inRange(0, 100) : 0;
            }
            dispatch_policy const policy;
            RC_PRE(scarcity_of(engines) == 0);
            std::size_t idle = 0;
            for (auto const& engine : engines)
                idle += engine.queue_ms <= policy.idle_reading_ms ? 1 : 0;
            auto const idle_fraction = static_cast<double>(idle) / static_cast<double>(engines.size());
            RC_ASSERT(idle_fraction >= 1 - policy.scarce_from);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_scarcity_test);

} // namespace shedhill::dispatch
