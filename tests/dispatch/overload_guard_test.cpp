// SPDX-License-Identifier: BSD-2-Clause
// Tests when a router refuses requests because of its own load, and when it declares itself overloaded.
#include "libraries/dispatch/admission/overload_guard.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class overload_guard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(overload_guard_test);
    CPPUNIT_TEST(a_router_with_capacity_refuses_nothing);
    CPPUNIT_TEST(a_busy_router_refuses_an_increasing_fraction);
    CPPUNIT_TEST(a_full_link_is_an_overload_too);
    CPPUNIT_TEST(a_briefly_full_link_is_no_overload);
    CPPUNIT_TEST(teams_past_their_share_are_refused_first);
    CPPUNIT_TEST(a_lasting_overload_is_declared_and_ends);
    CPPUNIT_TEST(few_routers_declare_an_overload_at_once);
    CPPUNIT_TEST(no_router_declares_an_overload_where_all_are_busy);
    CPPUNIT_TEST(a_repeated_overload_lasts_longer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds no_lag { 0 };
    static constexpr std::size_t routers = 8;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static void record_ticks(overload_guard& guard, double busy_fraction, int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick)
            guard.record_tick({ no_lag, busy_fraction, 0 });
    }

    static int refused_of_thousand(overload_guard const& guard, share_status status)
    {
        int refused = 0;
        for (std::uint64_t draw = 0; draw < 1000; ++draw)
            refused += guard.refuses(status, draw) ? 1 : 0;
        return refused;
    }

    // Simulates full load from the given time until the guard declares the router overloaded. Returns the time of that
    // change, or 0 if it did not happen.
    static std::int64_t run_until_overloaded(overload_guard& guard, std::int64_t time)
    {
        for (auto now = time; now < time + 5000; now += 20) {
            guard.record_tick({ no_lag, 1, 0 });
            if (guard.update_overload_state({ routers, 0, 0.3 }, at(now)))
                return now;
        }
        return 0;
    }

    // Simulates low load from the given time until the guard ends the overloaded state. Returns the time of that
    // change.
    static std::int64_t run_until_recovered(overload_guard& guard, std::int64_t time)
    {
        auto now = time;
        for (; guard.is_overloaded() && now < time + 100000; now += 20) {
            guard.record_tick({ no_lag, 0.2, 0 });
            (void)guard.update_overload_state({ routers, 0, 0.3 }, at(now));
        }
        return now;
    }

    void a_router_with_capacity_refuses_nothing()
    {
        overload_guard guard;
        record_ticks(guard, 0.8, 1000);
        CPPUNIT_ASSERT(!guard.is_behind());
        CPPUNIT_ASSERT_EQUAL(0, refused_of_thousand(guard, share_status::ahead));
    }

    void a_busy_router_refuses_an_increasing_fraction()
    {
        overload_guard guard;
        record_ticks(guard, 1, 30);
        auto const at_first = refused_of_thousand(guard, share_status::within_share);
        record_ticks(guard, 1, 30);
        auto const later = refused_of_thousand(guard, share_status::within_share);
        CPPUNIT_ASSERT(guard.is_behind());
        CPPUNIT_ASSERT(at_first > 0 && later > at_first && later < 1000);
        record_ticks(guard, 0.2, 200);
        CPPUNIT_ASSERT_EQUAL(0, refused_of_thousand(guard, share_status::within_share));
    }

    // Guards against a router that overlooks a full link: a few busy callers filled the 10 Mbit/s link of a router
    // whose processor was a third busy. Without a check of the link, the router refused nothing and attributed 5,088 of
    // the fleet's 5,232 failed connects to unhealthy endpoints.
    void a_full_link_is_an_overload_too()
    {
        overload_guard guard;
        for (int tick = 0; tick < 300; ++tick)
            guard.record_tick({ no_lag, 0.3, 0.7 });
        CPPUNIT_ASSERT(!guard.is_behind());
        CPPUNIT_ASSERT_EQUAL(0, refused_of_thousand(guard, share_status::ahead));
        for (int tick = 0; tick < 300; ++tick)
            guard.record_tick({ no_lag, 0.3, 0.95 });
        CPPUNIT_ASSERT(guard.is_behind());
        CPPUNIT_ASSERT(refused_of_thousand(guard, share_status::within_share) > 0);
        CPPUNIT_ASSERT(guard.busy_fraction() > 0.9);
    }

    // A body of 64 kB fills a link of 10 Mbit/s for 50 ms, which is not an overload.
    void a_briefly_full_link_is_no_overload()
    {
        overload_guard guard;
        for (int tick = 0; tick < 300; ++tick)
            guard.record_tick({ no_lag, 0.3, tick % 20 < 6 ? 1.0 : 0.2 });
        CPPUNIT_ASSERT(!guard.is_behind());
    }

    void teams_past_their_share_are_refused_first()
    {
        overload_guard guard;
        record_ticks(guard, 1, 26);
        auto const within = refused_of_thousand(guard, share_status::within_share);
        auto const past = refused_of_thousand(guard, share_status::past_share);
        auto const ahead = refused_of_thousand(guard, share_status::ahead);
        CPPUNIT_ASSERT(within < past && past < ahead);
        overload_guard late_guard;
        for (int tick = 0; tick < 50; ++tick)
            late_guard.record_tick({ milliseconds(100), 0.5, 0 });
        CPPUNIT_ASSERT_EQUAL(1000, refused_of_thousand(late_guard, share_status::past_share));
        CPPUNIT_ASSERT(refused_of_thousand(late_guard, share_status::within_share) < 1000);
    }

    void a_lasting_overload_is_declared_and_ends()
    {
        overload_guard guard;
        auto const overloaded_at = run_until_overloaded(guard, 1000);
        CPPUNIT_ASSERT(overloaded_at > 1250);
        CPPUNIT_ASSERT(guard.is_overloaded());
        CPPUNIT_ASSERT(run_until_recovered(guard, overloaded_at) >= overloaded_at + 6000);
        CPPUNIT_ASSERT(!guard.is_overloaded());
    }

    void few_routers_declare_an_overload_at_once()
    {
        overload_guard guard;
        record_ticks(guard, 1, 100);
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 2, 0.3 }, at(1000)));
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 2, 0.3 }, at(3000)));
        CPPUNIT_ASSERT(guard.update_overload_state({ routers, 1, 0.3 }, at(3100)));
    }

    void no_router_declares_an_overload_where_all_are_busy()
    {
        overload_guard guard;
        record_ticks(guard, 1, 100);
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 0, 0.9 }, at(1000)));
        CPPUNIT_ASSERT(!guard.update_overload_state({ routers, 0, 0.9 }, at(3000)));
        CPPUNIT_ASSERT(guard.update_overload_state({ routers, 0, 0.4 }, at(3100)));
    }

    void a_repeated_overload_lasts_longer()
    {
        overload_guard guard;
        auto const first = run_until_overloaded(guard, 1000);
        auto const recovered_at = run_until_recovered(guard, first);
        auto const second = run_until_overloaded(guard, recovered_at);
        CPPUNIT_ASSERT(run_until_recovered(guard, second) - second > (recovered_at - first) * 3 / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_guard_test);

} // namespace shedhill::dispatch
