// SPDX-License-Identifier: BSD-2-Clause
// When a router turns work away, and when it steps aside.
#include "libraries/dispatch/admission/overload_guard.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class overload_guard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(overload_guard_test);
    CPPUNIT_TEST(a_router_with_time_refuses_nothing);
    CPPUNIT_TEST(a_router_that_never_waits_refuses_more_and_more);
    CPPUNIT_TEST(a_full_link_is_an_overload_too);
    CPPUNIT_TEST(a_link_that_is_full_for_a_moment_is_no_overload);
    CPPUNIT_TEST(teams_past_their_share_are_refused_first);
    CPPUNIT_TEST(a_lasting_overload_makes_it_step_aside_and_come_back);
    CPPUNIT_TEST(few_are_aside_at_once);
    CPPUNIT_TEST(nobody_steps_aside_where_all_are_overloaded);
    CPPUNIT_TEST(an_overload_that_comes_again_keeps_it_aside_longer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds in_time { 0 };
    static constexpr std::size_t routers = 8;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static void play(overload_guard& guard, double busy_fraction, int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick)
            guard.record_tick({ in_time, busy_fraction, 0 });
    }

    static int refused_of_thousand(overload_guard const& guard, share_status standing)
    {
        int refused = 0;
        for (std::uint64_t draw = 0; draw < 1000; ++draw)
            refused += guard.refuses(standing, draw) ? 1 : 0;
        return refused;
    }

    // Overloaded from the time on until the guard steps aside; when that was, or 0 if it never did.
    static std::int64_t overload_from(overload_guard& guard, std::int64_t time)
    {
        for (auto now = time; now < time + 5000; now += 20) {
            guard.record_tick({ in_time, 1, 0 });
            if (guard.update_overload_state({ routers, 0, 0.3 }, at(now)))
                return now;
        }
        return 0;
    }

    // Idle from the time on until the guard comes back; when that was.
    static std::int64_t rest_from(overload_guard& guard, std::int64_t time)
    {
        auto now = time;
        for (; guard.is_overloaded() && now < time + 100000; now += 20) {
            guard.record_tick({ in_time, 0.2, 0 });
            (void)guard.update_overload_state({ routers, 0, 0.3 }, at(now));
        }
        return now;
    }

    void a_router_with_time_refuses_nothing()
    {
        overload_guard guard;
        play(guard, 0.8, 1000);
        CPPUNIT_ASSERT(!guard.is_behind());
        CPPUNIT_ASSERT_EQUAL(0, refused_of_thousand(guard, share_status::ahead));
    }

    void a_router_that_never_waits_refuses_more_and_more()
    {
        overload_guard guard;
        play(guard, 1, 30);
        auto const at_first = refused_of_thousand(guard, share_status::within_share);
        play(guard, 1, 30);
        auto const later = refused_of_thousand(guard, share_status::within_share);
        CPPUNIT_ASSERT(guard.is_behind());
        CPPUNIT_ASSERT(at_first > 0 && later > at_first && later < 1000);
        play(guard, 0.2, 200);
        CPPUNIT_ASSERT_EQUAL(0, refused_of_thousand(guard, share_status::within_share));
    }

    // A router that a few busy callers came to had a link of 10 Mbit/s full while its processor was used by a third:
    // it refused nothing, and took 5,088 of 5,232 failed connects of the fleet for ill endpoints.
    void a_full_link_is_an_overload_too()
    {
        overload_guard guard;
        for (int tick = 0; tick < 300; ++tick)
            guard.record_tick({ in_time, 0.3, 0.7 });
        CPPUNIT_ASSERT(!guard.is_behind());
        CPPUNIT_ASSERT_EQUAL(0, refused_of_thousand(guard, share_status::ahead));
        for (int tick = 0; tick < 300; ++tick)
            guard.record_tick({ in_time, 0.3, 0.95 });
        CPPUNIT_ASSERT(guard.is_behind());
        CPPUNIT_ASSERT(refused_of_thousand(guard, share_status::within_share) > 0);
        CPPUNIT_ASSERT(guard.busy_fraction() > 0.9);
    }

    // A body of 64 kB fills such a link for 50 ms: that alone is none.
    void a_link_that_is_full_for_a_moment_is_no_overload()
    {
        overload_guard guard;
        for (int tick = 0; tick < 300; ++tick)
            guard.record_tick({ in_time, 0.3, tick % 20 < 6 ? 1.0 : 0.2 });
        CPPUNIT_ASSERT(!guard.is_behind());
    }

    void teams_past_their_share_are_refused_first()
    {
        overload_guard guard;
        play(guard, 1, 26);
        auto const within = refused_of_thousand(guard, share_status::within_share);
        auto const past = refused_of_thousand(guard, share_status::past_share);
        auto const ahead = refused_of_thousand(guard, share_status::ahead);
        CPPUNIT_ASSERT(within < past && past < ahead);
        overload_guard late;
        for (int tick = 0; tick < 50; ++tick)
            late.record_tick({ milliseconds(100), 0.5, 0 });
        CPPUNIT_ASSERT_EQUAL(1000, refused_of_thousand(late, share_status::past_share));
        CPPUNIT_ASSERT(refused_of_thousand(late, share_status::within_share) < 1000);
    }

    void a_lasting_overload_makes_it_step_aside_and_come_back()
    {
        overload_guard guard;
        auto const stepped = overload_from(guard, 1000);
        CPPUNIT_ASSERT(stepped > 1250);
        CPPUNIT_ASSERT(guard.is_overloaded());
        CPPUNIT_ASSERT(rest_from(guard, stepped) >= stepped + 6000);
        CPPUNIT_ASSERT(!guard.is_overloaded());
    }

    void few_are_aside_at_once()
    {
        overload_guard guard;
        play(guard, 1, 100);
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 2, 0.3 }, at(1000)));
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 2, 0.3 }, at(3000)));
        CPPUNIT_ASSERT(guard.update_overload_state({ routers, 1, 0.3 }, at(3100)));
    }

    void nobody_steps_aside_where_all_are_overloaded()
    {
        overload_guard guard;
        play(guard, 1, 100);
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 0, 0.9 }, at(1000)));
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 0, 0.9 }, at(3000)));
        CPPUNIT_ASSERT(guard.update_overload_state({ routers, 0, 0.4 }, at(3100)));
    }

    void an_overload_that_comes_again_keeps_it_aside_longer()
    {
        overload_guard guard;
        auto const first = overload_from(guard, 1000);
        auto const back = rest_from(guard, first);
        auto const second = overload_from(guard, back);
        CPPUNIT_ASSERT(rest_from(guard, second) - second > (back - first) * 3 / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_guard_test);

} // namespace shedhill::dispatch
