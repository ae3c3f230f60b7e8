// SPDX-License-Identifier: BSD-2-Clause
// Tests that what a network held up does not look recent.
#include "libraries/relay/store_clock.h"

#include "libraries/dispatch/store/store_watchers.h"
#include "libraries/relay/store_session.h"
#include "platform/table_binding.h"
#include "tests/relay/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class store_clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_clock_test);
    CPPUNIT_TEST(an_answer_that_was_held_up_is_as_old_as_it_is);
    CPPUNIT_TEST(clocks_that_run_alike_convert_both_ways);
    CPPUNIT_TEST(a_store_whose_clock_begins_anew_is_followed);
    CPPUNIT_TEST(a_list_that_was_held_up_on_its_way_is_not_taken_for_recent);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t ms) { return instant(milliseconds(ms)); }

    void an_answer_that_was_held_up_is_as_old_as_it_is()
    {
        store_clock clock;
        CPPUNIT_ASSERT(clock.record_answer(500000, at(1000)) == at(1000));
        // The store wrote this answer 100 ms after the first one, and it took 1.5 s longer to arrive.
        CPPUNIT_ASSERT(clock.record_answer(500100, at(2600)) == at(1100));
        // An answer that is faster than the first one shows that the first one was under way for 5 ms.
        CPPUNIT_ASSERT(clock.record_answer(502005, at(3000)) == at(3000));
        CPPUNIT_ASSERT(*clock.to_own_time(500000) == at(995));
    }

    void clocks_that_run_alike_convert_both_ways()
    {
        store_clock clock;
        CPPUNIT_ASSERT(!clock.to_own_time(1) && !clock.to_store_time(at(1)));
        (void)clock.record_answer(70000, at(2000));
        CPPUNIT_ASSERT_EQUAL(store_milliseconds { 70010 }, *clock.to_store_time(at(2010)));
        CPPUNIT_ASSERT(*clock.to_own_time(70010) == at(2010));
    }

    void a_store_whose_clock_begins_anew_is_followed()
    {
        store_clock clock;
        (void)clock.record_answer(900000, at(1000));
        for (std::int64_t ms = 2000; ms <= 62000; ms += 1000)
            (void)clock.record_answer(ms, at(ms));
        CPPUNIT_ASSERT(clock.record_answer(63000, at(63000)) == at(63000));
    }

    static inline boot_clock::time_point s_time {};
    static boot_clock::time_point test_time() { return s_time; }

    static std::string page_at(store_milliseconds store_time)
    {
        auto const body = R"({"rows":[],"more":false,"ver":7,"now_ms":)" + std::to_string(store_time) + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Guards against a router that is out of step during a release: it took a list that arrived late for a recent one,
    // and continued streams of a newer version at the only version that it knew.
    void a_list_that_was_held_up_on_its_way_is_not_taken_for_recent()
    {
        event_loop loop(test_time);
        scripted_server server(loop);
        dispatch::store_watchers watchers(dispatch::make_watch_terms({ milliseconds(2000) }));
        store_clock clock;
        table_session<platform_binding::table_binding> session(
            loop, server.address(), table_name::endpoints, watchers, clock, [] {});
        auto const run = [&](milliseconds time) {
            for (milliseconds passed { 0 }; passed < time; passed += milliseconds(10)) {
                s_time += milliseconds(10);
                session.tick(loop.now(), 1);
                loop.run_once(milliseconds(1));
            }
        };
        server.add(page_at(100000));
        run(milliseconds(300));
        auto const first = session.watcher().confirmed_at();
        CPPUNIT_ASSERT(first != instant {});
        // The next answer is written soon after the first one and arrives more than a second later.
        run(milliseconds(1500));
        server.send(page_at(100400));
        run(milliseconds(100));
        CPPUNIT_ASSERT(session.watcher().confirmed_at() > first);
        CPPUNIT_ASSERT(session.watcher().confirmed_at() <= first + milliseconds(410));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_clock_test);

} // namespace shedhill::relay
