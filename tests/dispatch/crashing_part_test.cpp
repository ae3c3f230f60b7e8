// SPDX-License-Identifier: BSD-2-Clause
// Tests how many endpoints a fleet loses to requests that differ in everything but one part of their prompts, which
// crashes each endpoint that answers on it, and that requests with the other parts are still served.
#include "tests/dispatch/crash_simulation.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class crashing_part_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_part_test);
    CPPUNIT_TEST(a_prompt_part_that_crashes_endpoints_is_stopped_at_one_router);
    CPPUNIT_TEST(a_prompt_part_that_crashes_endpoints_is_stopped_at_three_routers);
    CPPUNIT_TEST(a_prompt_part_that_crashes_endpoints_is_stopped_at_six_routers);
    CPPUNIT_TEST(a_prompt_part_that_crashes_endpoints_is_stopped_in_two_failure_domains);
    CPPUNIT_TEST(a_first_prompt_part_that_crashes_endpoints_is_stopped);
    CPPUNIT_TEST(a_prompt_part_whose_requests_come_seldom_is_stopped);
    CPPUNIT_TEST(a_prompt_part_whose_requests_may_not_be_repeated_is_stopped);
    CPPUNIT_TEST(a_prompt_part_is_stopped_and_others_are_served_where_answers_take_long);
    CPPUNIT_TEST(a_prompt_part_stays_stopped_while_routers_restart);
    CPPUNIT_TEST(a_prompt_part_that_comes_with_the_crashing_one_is_served);
    CPPUNIT_TEST(no_prompt_part_is_blamed_for_crashes_of_other_causes);
    CPPUNIT_TEST(no_prompt_part_is_blamed_for_resets_of_connections);
    CPPUNIT_TEST(the_crashing_part_is_stopped_and_others_are_served_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

    using prompt_request = crash_simulation::prompt_request;

    static inline content_hash const harmful_kind { 666 };
    static inline content_hash const sound_kind { 1 };
    static constexpr std::uint64_t popular_part = 10;
    static constexpr std::uint64_t crashing_part = 99;
    static constexpr std::size_t max_lost = 5;
    static constexpr std::size_t max_sent_later = 3;
    // Time in which all routers must know the part after the fifth crash.
    static constexpr milliseconds propagation_time { 3000 };
    static constexpr milliseconds step { 10 };
    static constexpr milliseconds play_time { 19000 };
    static constexpr milliseconds warm_up { 5000 };

    struct play {
        std::size_t routers { 3 };
        std::size_t domains { 1 };
        std::size_t endpoints { 12 };
        milliseconds harmful_interval { 300 };
        std::vector<std::uint64_t> harmful_parts { popular_part, 200, crashing_part };
        std::string path { "/look/a" };
        milliseconds router_restart_interval { 0 };
        milliseconds answer_time { 0 };
    };

    // A sound request each 25 ms, with one of 94 second parts.
    static prompt_request sound_request(std::size_t number)
    {
        return { sound_kind, { popular_part, 200 + number % 94 } };
    }

    struct player {
        explicit player(play const& settings)
            : options(settings)
            , simulation({ .routers = settings.routers,
                  .domains = settings.domains,
                  .endpoints = settings.endpoints,
                  .answer_time = settings.answer_time })
        {
            simulation.set_harmful(harmful_kind, true);
        }

        void ask_sound()
        {
            simulation.ask(sound_count % options.routers, sound_request(sound_count));
            ++sound_count;
        }

        static bool is_due(milliseconds at, milliseconds interval) { return interval > step && at % interval < step; }

        // Sends sound requests, and harmful ones beside them if asked to.
        void run(milliseconds time, bool is_harmful)
        {
            constexpr milliseconds sound_interval { 30 };
            for (milliseconds at { 0 }; at < time; at += step) {
                if (is_due(at, sound_interval))
                    ask_sound();
                if (is_harmful && is_due(at, options.harmful_interval))
                    simulation.ask(
                        harmful_count++ % options.routers, { harmful_kind, options.harmful_parts, options.path });
                if (is_harmful && is_due(at + step, options.router_restart_interval))
                    simulation.restart_router(restarts++ % options.routers);
                simulation.wait(step);
            }
        }

        // Returns the fraction of sound requests that are served in this time.
        double served_fraction(milliseconds time, bool is_harmful)
        {
            auto const asked_before = sound_count;
            auto const served_before = simulation.served(sound_kind);
            run(time, is_harmful);
            return static_cast<double>(simulation.served(sound_kind) - served_before)
                / static_cast<double>(sound_count - asked_before);
        }

        play options;
        crash_simulation simulation;
        std::size_t sound_count { 0 };
        std::size_t harmful_count { 0 };
        std::size_t restarts { 0 };
    };

    static void check(play const& settings)
    {
        constexpr double min_served = 0.95;
        constexpr milliseconds settling_time { 7000 };
        player current(settings);
        current.run(warm_up, false);
        current.run(settling_time, true);
        auto const served = current.served_fraction(play_time - settling_time, true);
        auto const lost = current.simulation.endpoints_lost_to(harmful_kind);
        auto const later = current.simulation.sent_after_crash(harmful_kind, max_lost, propagation_time);
        CPPUNIT_ASSERT_MESSAGE("lost " + std::to_string(lost), lost <= max_lost);
        CPPUNIT_ASSERT_MESSAGE("sent later " + std::to_string(later), later <= max_sent_later);
        CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served), served >= min_served);
    }

    void a_prompt_part_that_crashes_endpoints_is_stopped_at_one_router() { check({ .routers = 1 }); }
    void a_prompt_part_that_crashes_endpoints_is_stopped_at_three_routers() { check({}); }
    void a_prompt_part_that_crashes_endpoints_is_stopped_at_six_routers() { check({ .routers = 6, .endpoints = 16 }); }
    void a_prompt_part_that_crashes_endpoints_is_stopped_in_two_failure_domains()
    {
        check({ .routers = 6, .domains = 2, .endpoints = 16 });
    }
    void a_first_prompt_part_that_crashes_endpoints_is_stopped()
    {
        check({ .harmful_parts = { crashing_part, popular_part, 200 } });
    }
    void a_prompt_part_whose_requests_come_seldom_is_stopped() { check({ .harmful_interval = milliseconds(2000) }); }
    void a_prompt_part_whose_requests_may_not_be_repeated_is_stopped() { check({ .path = "/order/a" }); }
    void a_prompt_part_is_stopped_and_others_are_served_where_answers_take_long()
    {
        check({ .answer_time = milliseconds(1500) });
    }
    void a_prompt_part_stays_stopped_while_routers_restart()
    {
        check({ .router_restart_interval = milliseconds(2500) });
    }

    // The part also comes in a sound request each three seconds, and no request had it before.
    void a_prompt_part_that_comes_with_the_crashing_one_is_served()
    {
        constexpr std::uint64_t twin = 777;
        content_hash const twin_kind { 2 };
        player current({ .harmful_parts = { popular_part, twin, crashing_part } });
        current.run(warm_up, false);
        std::size_t served = 0;
        for (int round = 0; round < 6; ++round) {
            current.run(milliseconds(3000), true);
            auto const before = current.simulation.served(twin_kind);
            current.simulation.ask(0, { twin_kind, { popular_part, twin } });
            current.run(milliseconds(1500), false);
            served += current.simulation.served(twin_kind) - before;
        }
        CPPUNIT_ASSERT(current.simulation.endpoints_lost_to(harmful_kind) <= max_lost);
        CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served), served >= 5);
    }

    // Each of 12 endpoints crashes about every 12 seconds while the same popular and rare parts run there.
    void no_prompt_part_is_blamed_for_crashes_of_other_causes()
    {
        player current({});
        current.run(warm_up, false);
        for (std::size_t crash = 0; crash < 40; ++crash) {
            current.run(milliseconds(400 + 97 * (crash % 7)), false);
            current.simulation.crash_endpoint(crash * 5 % 12);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, current.simulation.quarantined());
        }
    }

    void no_prompt_part_is_blamed_for_resets_of_connections()
    {
        player current({});
        current.run(warm_up, false);
        for (int reset = 0; reset < 40; ++reset) {
            current.run(milliseconds(300), false);
            current.simulation.reset_connections();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, current.simulation.quarantined());
        }
        CPPUNIT_ASSERT(current.served_fraction(milliseconds(2000), false) >= 0.95);
    }

    static void inject(crash_simulation& simulation, int fault)
    {
        auto const drawn = static_cast<std::size_t>(fault / 5);
        switch (fault % 5) {
        case 0:
            return simulation.restart_router(drawn % simulation.routers());
        case 1:
            return simulation.freeze_router(drawn % simulation.routers(), milliseconds(300 * (1 + fault % 6)));
        case 2:
            return simulation.reset_connections();
        default:
            return simulation.crash_endpoint(drawn % simulation.endpoints());
        }
    }

    void the_crashing_part_is_stopped_and_others_are_served_under_random_faults()
    {
        testing::check_property("a part is stopped after few crashes and sound parts are served", [] {
            auto const faults = *rc::gen::container<std::vector<int>>(10, rc::gen::inRange(0, 100));
            player current({ .routers = *rc::gen::element<std::size_t>(1, 3, 6) });
            current.run(warm_up, false);
            for (auto const fault : faults) {
                inject(current.simulation, fault);
                current.run(milliseconds(10 * (20 + fault)), true);
            }
            RC_ASSERT(current.simulation.sent_after_crash(harmful_kind, max_lost, propagation_time) <= max_sent_later);
            current.run(milliseconds(6000), true);
            RC_ASSERT(current.served_fraction(milliseconds(3000), true) >= 0.95);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_part_test);

} // namespace shedhill::dispatch
