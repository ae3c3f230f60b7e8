// SPDX-License-Identifier: BSD-2-Clause
// Tests how a router distinguishes an outage of the store from an outage of its own connection to the store.
#include "libraries/dispatch/store/store_outage_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class store_outage_watch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_outage_watch_test);
    CPPUNIT_TEST(a_lone_router_uses_its_own_availability);
    CPPUNIT_TEST(a_store_that_others_reach_is_available);
    CPPUNIT_TEST(the_first_router_determines_the_recovery_time);
    CPPUNIT_TEST(lapsed_entries_are_retained_after_a_reported_recovery);
    CPPUNIT_TEST(an_endpoint_that_left_during_an_own_outage_is_dropped);
    CPPUNIT_TEST(late_reports_change_nothing);
    CPPUNIT_TEST(a_router_that_does_not_watch_relies_on_reported_confirmations);
    CPPUNIT_TEST(a_paused_router_keeps_no_endpoint_that_left_meanwhile);
    CPPUNIT_TEST(an_outage_that_began_before_a_pause_is_noticed);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static endpoint_entry entry(char const* name)
    {
        return { endpoint_name(name), "10.0.0.1:1", pool_name("pool"), failure_domain("north"), 4, false };
    }

    // Records a confirmation from another router every 700 ms.
    static void record_peer_confirmations(store_outage_watch& watch, std::int64_t from, std::int64_t until)
    {
        for (auto time = from; time <= until; time += 700)
            watch.record_peer_confirmation(at(time));
    }

    void a_lone_router_uses_its_own_availability()
    {
        store_outage_watch const watch;
        CPPUNIT_ASSERT(!watch.availability({ at(1000), {} }, at(3400)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability({ at(1000), {} }, at(3500)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability({ at(9000), at(9000) }, at(9100)).recovered_at == at(9000));
    }

    void a_store_that_others_reach_is_available()
    {
        store_outage_watch watch;
        record_peer_confirmations(watch, 1000, 12000);
        CPPUNIT_ASSERT(!watch.availability({ at(1000), {} }, at(12000)).is_unavailable);
        // This router reaches the store again, which does not count as a recovery of the store.
        CPPUNIT_ASSERT(watch.availability({ at(12000), at(12000) }, at(12100)).recovered_at == instant {});
        // The confirmations of the other routers have ended too.
        CPPUNIT_ASSERT(watch.availability({ at(1000), {} }, at(15000)).is_unavailable);
    }

    void the_first_router_determines_the_recovery_time()
    {
        store_outage_watch watch;
        record_peer_confirmations(watch, 1000, 3000);
        record_peer_confirmations(watch, 9000, 11000);
        CPPUNIT_ASSERT(watch.availability({ at(9800), at(9800) }, at(11000)).recovered_at == at(9000));
    }

    // Guards against routers that apply an incomplete list after an outage of the store in which rows expired. The
    // first router that reaches the store again retains their entries, but reports the list as stored to the others,
    // some 30 ms before their own calls are answered. Four of five routers applied that list, which had one endpoint of
    // twelve.
    void lapsed_entries_are_retained_after_a_reported_recovery()
    {
        store_outage_watch watch;
        endpoint_roster roster;
        record_peer_confirmations(watch, 1000, 3100);
        (void)roster.apply_list({ entry("a"), entry("b") }, watch.availability({ at(3000), {} }, at(3000)), at(3000));
        watch.record_peer_confirmation(at(9000), at(9000));
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(3000), {} }, at(9030)), at(9030));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        // The router's own call is answered, and the entry stays missing.
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(9060), at(9060) }, at(9060)), at(9060));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        CPPUNIT_ASSERT(!roster.drop_lapsed(at(10890)));
        CPPUNIT_ASSERT(roster.drop_lapsed(at(10900)));
    }

    // Guards against retaining endpoints in an outage of the router's own connection: one router could not reach the
    // store for nine seconds and received the list from the others. It retained an endpoint that had ended without an
    // announcement, and sent requests there for three seconds after the store had removed the row.
    void an_endpoint_that_left_during_an_own_outage_is_dropped()
    {
        store_outage_watch watch;
        endpoint_roster roster;
        record_peer_confirmations(watch, 1000, 2400);
        (void)roster.apply_list({ entry("a"), entry("b") }, watch.availability({ at(2400), {} }, at(2400)), at(2400));
        record_peer_confirmations(watch, 3100, 11500);
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(2400), {} }, at(11700)), at(11700));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
        record_peer_confirmations(watch, 11900, 13100);
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(13100), at(13100) }, at(13100)), at(13100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    // Only routers that watch the list detect a short outage. The others retain expired entries because of their
    // reports.
    void a_router_that_does_not_watch_relies_on_reported_confirmations()
    {
        store_outage_watch watch;
        own_store_availability const not_watching { at(1000), {}, false };
        watch.record_peer_confirmation(at(9000));
        CPPUNIT_ASSERT(watch.availability(not_watching, at(9100)).recovered_at == instant {});
        watch.record_peer_confirmation(at(10700), at(10700));
        CPPUNIT_ASSERT(!watch.availability(not_watching, at(10800)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability(not_watching, at(10800)).recovered_at == at(10700));
    }

    // The store confirms the list to the other routers all the time, and this router is paused for 2.2 s.
    void a_paused_router_keeps_no_endpoint_that_left_meanwhile()
    {
        store_outage_watch watch;
        endpoint_roster roster;
        own_store_availability const not_watching { {}, {}, false };
        record_peer_confirmations(watch, 1000, 3100);
        (void)roster.apply_list({ entry("a"), entry("b") }, watch.availability(not_watching, at(3200)), at(3200));
        watch.record_pause(milliseconds(2200));
        watch.record_peer_confirmation(at(5500));
        (void)roster.apply_list({ entry("a") }, watch.availability(not_watching, at(5600)), at(5600));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
        record_peer_confirmations(watch, 6200, 9000);
        CPPUNIT_ASSERT(watch.availability(not_watching, at(9100)).recovered_at == instant {});
    }

    void an_outage_that_began_before_a_pause_is_noticed()
    {
        store_outage_watch watch;
        own_store_availability const not_watching { {}, {}, false };
        record_peer_confirmations(watch, 1000, 3100);
        watch.record_pause(milliseconds(300));
        CPPUNIT_ASSERT(watch.availability(not_watching, at(6000)).is_unavailable);
        watch.record_peer_confirmation(at(6100));
        CPPUNIT_ASSERT(watch.availability(not_watching, at(6200)).recovered_at == at(6100));
    }

    void late_reports_change_nothing()
    {
        store_outage_watch watch;
        record_peer_confirmations(watch, 1000, 12000);
        watch.record_peer_confirmation(at(4000));
        CPPUNIT_ASSERT(!watch.availability({ at(1000), {} }, at(12700)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability({ at(12000), at(12000) }, at(12700)).recovered_at == instant {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_outage_watch_test);

} // namespace shedhill::dispatch
