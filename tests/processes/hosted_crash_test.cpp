// SPDX-License-Identifier: BSD-2-Clause
// Tests the quarantine of a request that crashes each replica which runs it, with real routers and stand-ins of
// replicas.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::harness {

class hosted_crash_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_crash_test);
    CPPUNIT_TEST(a_repeated_resumable_request_ends_three_replicas_at_most);
    CPPUNIT_TEST(a_request_that_may_not_be_repeated_ends_three_replicas_at_most);
    CPPUNIT_TEST(a_crash_that_closes_a_stream_inside_an_event_is_not_an_answer);
    CPPUNIT_TEST(a_crash_that_closes_a_stream_between_events_is_not_an_answer);
    CPPUNIT_TEST(different_requests_with_one_crashing_prompt_part_end_five_replicas_at_most);
    CPPUNIT_TEST(routers_of_other_failure_domains_receive_a_quarantine);
    CPPUNIT_TEST(a_quarantine_outlives_the_loss_of_all_routers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t routers = 3;
    static constexpr std::size_t replicas = 8;
    static constexpr std::size_t max_ended = 3;
    // The request is sent this often, each time to the next router.
    static constexpr std::size_t repeats = 8;
    static constexpr int repeat_pause_ms = 400;

    static hosted_fleet start_fleet()
    {
        hosted_fleet_options options;
        options.routers = routers;
        options.replicas = replicas;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        // Routers report crashes to each other only once they are connected.
        for (std::size_t index = 0; index < routers; ++index)
            CPPUNIT_ASSERT(wait_until([&] { return fleet->metric(index, "shedhill_other_routers") >= routers - 1; }));
        return std::move(*fleet);
    }

    static std::size_t ended_replicas(hosted_fleet& fleet)
    {
        std::size_t ended = 0;
        for (std::size_t index = 0; index < replicas; ++index)
            ended += fleet.replica(index).has_ended() ? 1 : 0;
        return ended;
    }

    static void check_repeats_of(std::string const& target)
    {
        auto fleet = start_fleet();
        for (std::size_t index = 0; index < repeats; ++index) {
            (void)fleet.send_request(index % routers, target, "crash-" + std::to_string(index));
            // The caller repeats the request after a pause.
            pause(repeat_pause_ms);
        }
        CPPUNIT_ASSERT(ended_replicas(fleet) <= max_ended);
        for (std::size_t index = 0; index < routers; ++index) {
            auto const answer = fleet.send_request(index, "/look/a", "other-" + std::to_string(index));
            CPPUNIT_ASSERT(answer && answer->status == 200);
        }
    }

    // Sound requests of the same team share the first part.
    void different_requests_with_one_crashing_prompt_part_end_five_replicas_at_most()
    {
        constexpr std::size_t max_ended_by_part = 5;
        auto fleet = start_fleet();
        for (std::size_t index = 0; index < repeats; ++index) {
            auto const own_part = "b" + std::to_string(index) + ":10";
            auto const sound = "sound-" + std::to_string(index);
            CPPUNIT_ASSERT(fleet.send_prompt(index % routers, "/look/a", sound, "a1:50," + own_part).has_value());
            auto const harmful = "crash-" + std::to_string(index);
            (void)fleet.send_prompt(index % routers, "/look/" + harmful, harmful, "a1:50,dead1:20," + own_part);
            pause(repeat_pause_ms);
        }
        CPPUNIT_ASSERT(ended_replicas(fleet) <= max_ended_by_part);
        for (std::size_t index = 0; index < routers; ++index) {
            auto const answer = fleet.send_prompt(index, "/look/a", "last-" + std::to_string(index), "a1:50,c1:10");
            CPPUNIT_ASSERT(answer && answer->status == 200);
        }
    }

    static double stored_quarantines(hosted_fleet const& fleet)
    {
        double stored = 0;
        for (std::size_t index = 0; index < routers; ++index)
            stored += fleet.metric(index, "shedhill_stored_quarantines");
        return stored;
    }

    void routers_of_other_failure_domains_receive_a_quarantine()
    {
        constexpr std::size_t router_count = 6;
        hosted_fleet_options options;
        options.routers = router_count;
        options.domains = 2;
        options.replicas = replicas;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        for (std::size_t index = 0; index < router_count; ++index)
            CPPUNIT_ASSERT(
                wait_until([&] { return fleet->metric(index, "shedhill_other_routers") >= router_count - 1; }));
        for (std::size_t index = 0; index < max_ended; ++index) {
            (void)fleet->send_request(0, "/look/crash/a", "crash-" + std::to_string(index));
            pause(repeat_pause_ms);
        }
        for (std::size_t index = 0; index < router_count; ++index)
            CPPUNIT_ASSERT(wait_until([&] { return fleet->metric(index, "shedhill_quarantined_requests") > 0; }));
        auto const ended = ended_replicas(*fleet);
        for (std::size_t index = 0; index < router_count; ++index)
            (void)fleet->send_request(index, "/look/crash/a", "after-" + std::to_string(index));
        CPPUNIT_ASSERT_EQUAL(ended, ended_replicas(*fleet));
    }

    void a_quarantine_outlives_the_loss_of_all_routers()
    {
        std::string const target = "/look/crash/a";
        auto fleet = start_fleet();
        for (std::size_t index = 0; index < max_ended; ++index) {
            (void)fleet.send_request(0, target, "before-" + std::to_string(index));
            pause(repeat_pause_ms);
        }
        CPPUNIT_ASSERT(wait_until([&] { return stored_quarantines(fleet) > 0; }));
        auto const ended = ended_replicas(fleet);
        for (std::size_t index = 0; index < routers; ++index)
            fleet.router(index).kill();
        for (std::size_t index = 0; index < routers; ++index)
            CPPUNIT_ASSERT(fleet.restart_router(index).has_value());
        for (std::size_t index = 0; index < routers; ++index) {
            CPPUNIT_ASSERT(fleet.wait_until_ready(index).has_value());
            CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(index, "shedhill_quarantined_requests") > 0; }));
            (void)fleet.send_request(index, target, "after-" + std::to_string(index));
        }
        CPPUNIT_ASSERT_EQUAL(ended, ended_replicas(fleet));
    }

    void a_repeated_resumable_request_ends_three_replicas_at_most() { check_repeats_of("/stream/crash/a"); }
    void a_request_that_may_not_be_repeated_ends_three_replicas_at_most() { check_repeats_of("/order/crash/a"); }
    void a_crash_that_closes_a_stream_inside_an_event_is_not_an_answer() { check_repeats_of("/stream/crash/inside/a"); }
    void a_crash_that_closes_a_stream_between_events_is_not_an_answer() { check_repeats_of("/stream/crash/between/a"); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_crash_test);

} // namespace shedhill::harness
