// SPDX-License-Identifier: BSD-2-Clause
// Whose outage it is: the store's, or this router's own.
#include "libraries/dispatch/store/store_outage_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class store_outage_watch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_outage_watch_test);
    CPPUNIT_TEST(a_lone_router_goes_by_its_own_contact);
    CPPUNIT_TEST(a_store_that_others_hear_is_not_away);
    CPPUNIT_TEST(the_return_is_the_first_routers);
    CPPUNIT_TEST(what_lapsed_is_kept_by_who_is_told_of_the_return);
    CPPUNIT_TEST(an_endpoint_that_left_during_an_own_outage_is_gone);
    CPPUNIT_TEST(late_reports_change_nothing);
    CPPUNIT_TEST(who_does_not_follow_goes_by_what_followers_tell);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static endpoint_entry entry(char const* name)
    {
        return { endpoint_name(name), "10.0.0.1:1", pool_name("pool"), failure_domain("north"), 4, false };
    }

    // Another router's reports, each 700 ms.
    static void hear_peers(store_outage_watch& watch, std::int64_t from, std::int64_t until)
    {
        for (auto time = from; time <= until; time += 700)
            watch.record_peer_confirmation(at(time));
    }

    void a_lone_router_goes_by_its_own_contact()
    {
        store_outage_watch const watch;
        CPPUNIT_ASSERT(!watch.availability({ at(1000), {} }, at(3400)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability({ at(1000), {} }, at(3500)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability({ at(9000), at(9000) }, at(9100)).recovered_at == at(9000));
    }

    void a_store_that_others_hear_is_not_away()
    {
        store_outage_watch watch;
        hear_peers(watch, 1000, 12000);
        CPPUNIT_ASSERT(!watch.availability({ at(1000), {} }, at(12000)).is_unavailable);
        // This router hears it again: that was not the store's return.
        CPPUNIT_ASSERT(watch.availability({ at(12000), at(12000) }, at(12100)).recovered_at == instant {});
        // They fall silent too.
        CPPUNIT_ASSERT(watch.availability({ at(1000), {} }, at(15000)).is_unavailable);
    }

    void the_return_is_the_first_routers()
    {
        store_outage_watch watch;
        hear_peers(watch, 1000, 3000);
        hear_peers(watch, 9000, 11000);
        CPPUNIT_ASSERT(watch.availability({ at(9800), at(9800) }, at(11000)).recovered_at == at(9000));
    }

    // The store was away for all, for so long that all entries lapsed. One router hears it first, keeps what has
    // lapsed, and tells the others the list as the store shows it, some 30 ms before their own calls are answered: four
    // of five routers went by that list, which had one endpoint of twelve.
    void what_lapsed_is_kept_by_who_is_told_of_the_return()
    {
        store_outage_watch watch;
        endpoint_roster roster;
        hear_peers(watch, 1000, 3100);
        (void)roster.apply_list({ entry("a"), entry("b") }, watch.availability({ at(3000), {} }, at(3000)), at(3000));
        watch.record_peer_confirmation(at(9000), at(9000));
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(3000), {} }, at(9030)), at(9030));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        // Its own call is answered, and later on the entry is still missing.
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(9060), at(9060) }, at(9060)), at(9060));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, roster.entries().size());
        CPPUNIT_ASSERT(!roster.drop_lapsed(at(10890)));
        CPPUNIT_ASSERT(roster.drop_lapsed(at(10900)));
    }

    // A hunt's finding: one router could not hear the store for nine seconds, the others told it the list; an endpoint
    // that left without a word was kept and sent to for three seconds after the store had told of it.
    void an_endpoint_that_left_during_an_own_outage_is_gone()
    {
        store_outage_watch watch;
        endpoint_roster roster;
        hear_peers(watch, 1000, 2400);
        (void)roster.apply_list({ entry("a"), entry("b") }, watch.availability({ at(2400), {} }, at(2400)), at(2400));
        hear_peers(watch, 3100, 11500);
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(2400), {} }, at(11700)), at(11700));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
        hear_peers(watch, 11900, 13100);
        (void)roster.apply_list({ entry("a") }, watch.availability({ at(13100), at(13100) }, at(13100)), at(13100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, roster.entries().size());
    }

    // A short outage shows only to those who follow the list: entries that lapsed in it are kept by what they tell.
    void who_does_not_follow_goes_by_what_followers_tell()
    {
        store_outage_watch watch;
        own_store_availability const not_following { at(1000), {}, false };
        watch.record_peer_confirmation(at(9000));
        CPPUNIT_ASSERT(watch.availability(not_following, at(9100)).recovered_at == instant {});
        watch.record_peer_confirmation(at(10700), at(10700));
        CPPUNIT_ASSERT(!watch.availability(not_following, at(10800)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability(not_following, at(10800)).recovered_at == at(10700));
    }

    void late_reports_change_nothing()
    {
        store_outage_watch watch;
        hear_peers(watch, 1000, 12000);
        watch.record_peer_confirmation(at(4000));
        CPPUNIT_ASSERT(!watch.availability({ at(1000), {} }, at(12700)).is_unavailable);
        CPPUNIT_ASSERT(watch.availability({ at(12000), at(12000) }, at(12700)).recovered_at == instant {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_outage_watch_test);

} // namespace shedhill::dispatch
