// SPDX-License-Identifier: BSD-2-Clause
// Tests that a stream goes on only at the software version that began it, within one answer and over the requests of a
// caller, and that streams still go on where endpoints of their version serve.
#include "base/hash.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/dispatch/stream_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class stream_versions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_versions_test);
    CPPUNIT_TEST(a_stream_resumed_within_its_answer_is_never_mixed);
    CPPUNIT_TEST(a_broken_answer_ends_if_no_endpoint_of_its_version_is_left);
    CPPUNIT_TEST(a_stream_resumed_by_its_caller_is_never_mixed);
    CPPUNIT_TEST(a_stream_whose_router_was_killed_is_never_mixed);
    CPPUNIT_TEST(streams_go_on_after_all_routers_ended_at_once);
    CPPUNIT_TEST(a_stream_resumed_in_another_failure_domain_goes_on);
    CPPUNIT_TEST(a_stream_of_unknown_version_is_refused_at_once);
    CPPUNIT_TEST(a_pool_with_one_version_resumes_every_stream);
    CPPUNIT_TEST(resumed_streams_go_on_while_new_ones_crowd_the_last_endpoints_of_their_version);
    CPPUNIT_TEST(a_router_with_an_old_list_continues_no_stream_of_a_newer_version);
    CPPUNIT_TEST(a_router_that_starts_beside_a_cut_off_one_begins_no_stream_at_a_new_version);
    CPPUNIT_TEST(a_router_that_has_just_started_knows_the_versions_that_all_had_stored);
    CPPUNIT_TEST(a_paused_router_does_not_take_its_list_for_recent);
    CPPUNIT_TEST(a_stream_of_a_version_that_is_gone_is_refused_at_once);
    CPPUNIT_TEST(a_stream_does_not_follow_its_route_to_another_pool);
    CPPUNIT_TEST(another_teams_stream_is_not_resumed);
    CPPUNIT_TEST(no_stream_is_mixed_whatever_happens);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t streams_per_second = 40;

    static stream_simulation with_versions(
        std::vector<std::string> const& versions, stream_simulation::options const& settings = {})
    {
        stream_simulation fleet(settings);
        for (auto const& version : versions)
            fleet.add_endpoint(version);
        // The sums of the teams are complete after a whole window.
        fleet.wait(milliseconds(5000));
        return fleet;
    }

    static std::vector<std::string> two_versions() { return { "v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2" }; }

    // At least 95 of 100 resumptions go on, as those of new requests that began do.
    static void check_that_streams_go_on(stream_simulation const& fleet)
    {
        auto const& result = fleet.result();
        CPPUNIT_ASSERT(result.resumed >= 12);
        auto const new_share = static_cast<double>(result.begun) / static_cast<double>(result.asked);
        auto const share = static_cast<double>(result.continued) / static_cast<double>(result.resumed);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(share) + " of resumptions, " + std::to_string(new_share) + " of new streams",
            share >= 0.95 * new_share);
    }

    static endpoint_entry with_version(std::string const& name, std::string const& version)
    {
        auto entry = dispatch_driver::make_endpoint(name, "model");
        entry.version = version;
        return entry;
    }

    void a_stream_resumed_within_its_answer_is_never_mixed()
    {
        auto fleet = with_versions(two_versions());
        for (std::size_t index = 0; index < 24; ++index) {
            fleet.stream(streams_per_second, milliseconds(250));
            fleet.break_streams_of(index % fleet.endpoints());
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        CPPUNIT_ASSERT(fleet.result().whole >= fleet.result().begun * 95 / 100);
    }

    void a_broken_answer_ends_if_no_endpoint_of_its_version_is_left()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1") });
        auto const request = fleet.ask("/resumable/x");
        fleet.begin(request);
        fleet.deliver(endpoints_listed { { with_version("e1", "v1"), with_version("e2", "v2") } });
        fleet.end(request, attempt_end::broken, 0, true);
        fleet.wait(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(fleet.is_aborted(request));
    }

    void a_stream_resumed_by_its_caller_is_never_mixed()
    {
        auto fleet = with_versions(two_versions());
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.stream(streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.2);
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        check_that_streams_go_on(fleet);
    }

    void a_stream_whose_router_was_killed_is_never_mixed()
    {
        auto fleet = with_versions(two_versions());
        for (std::size_t index = 0; index < 6; ++index) {
            fleet.stream(streams_per_second, milliseconds(1000));
            fleet.kill_router(index % fleet.routers());
            fleet.stream(streams_per_second, milliseconds(300));
            fleet.start_router(index % fleet.routers());
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        check_that_streams_go_on(fleet);
    }

    // Guards against callers whose streams are refused, or go on at another version, after all routers were killed at
    // once.
    void streams_go_on_after_all_routers_ended_at_once()
    {
        for (std::size_t const domains : { std::size_t { 1 }, std::size_t { 2 } }) {
            stream_simulation::options settings;
            settings.routers = 4;
            settings.domains = domains;
            auto fleet = with_versions(two_versions(), settings);
            for (int index = 0; index < 4; ++index) {
                fleet.stream(streams_per_second, milliseconds(1500));
                fleet.kill_all_routers();
                fleet.wait(milliseconds(1000));
                fleet.start_all_routers();
            }
            fleet.wait(milliseconds(2000));
            auto const& result = fleet.result();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, result.mixed);
            CPPUNIT_ASSERT(result.resumed >= 100);
            // A stream lasts 1.2 s here; those that began in the last 0.3 s are not stored yet.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(result.continued) + " of " + std::to_string(result.resumed),
                result.continued * 100 >= result.resumed * 70);
        }
    }

    void a_stream_resumed_in_another_failure_domain_goes_on()
    {
        stream_simulation::options settings;
        settings.routers = 6;
        settings.domains = 3;
        auto fleet = with_versions(two_versions(), settings);
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.stream(streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.2);
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        check_that_streams_go_on(fleet);
    }

    void a_stream_of_unknown_version_is_refused_at_once()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1"), with_version("e2", "v2") });
        request_arrived arrived;
        arrived.request = request_number(1);
        arrived.caller_id = "id-b";
        arrived.host = "host";
        arrived.path = "/resumable/x";
        arrived.key = "red-key";
        arrived.cost.prompt = 100;
        arrived.resumption = stream_resumption { "id-a" };
        fleet.deliver(std::move(arrived));
        CPPUNIT_ASSERT(fleet.sent().empty());
        auto const refusal = fleet.refusal_of(request_number(1));
        CPPUNIT_ASSERT(refusal && refusal->status == 503 && refusal->retry_after);
    }

    void a_router_with_an_old_list_continues_no_stream_of_a_newer_version()
    {
        auto fleet = with_versions({ "v1", "v1", "v1", "v1" });
        fleet.stream(streams_per_second, milliseconds(35000));
        fleet.cut_off(0);
        for (int index = 0; index < 4; ++index)
            fleet.add_endpoint("v2");
        for (std::size_t index = 0; index < 8; ++index) {
            fleet.stream(streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.3);
        }
        fleet.end_cut(0);
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
    }

    void a_router_that_starts_beside_a_cut_off_one_begins_no_stream_at_a_new_version()
    {
        stream_simulation::options settings;
        settings.routers = 2;
        auto fleet = with_versions({ "v1", "v1" }, settings);
        fleet.stream(streams_per_second, milliseconds(35000));
        fleet.cut_off(0);
        fleet.add_endpoint("v2");
        fleet.add_endpoint("v2");
        fleet.kill_router(1);
        fleet.start_router(1);
        fleet.stream(streams_per_second, milliseconds(500));
        fleet.disconnect_callers(1);
        fleet.wait(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
    }

    // Delivers a request of this team that resumes a stream, and returns its number.
    static request_number resume(dispatch_driver& fleet, std::string const& first_request, std::string const& key)
    {
        static std::uint64_t last_number = 1'000'000;
        request_arrived arrived;
        arrived.request = request_number(++last_number);
        arrived.caller_id = "id-next";
        arrived.host = "host";
        arrived.path = "/resumable/x";
        arrived.key = key;
        arrived.cost.prompt = 100;
        arrived.resumption = stream_resumption { first_request };
        fleet.deliver(std::move(arrived));
        return request_number(last_number);
    }

    // Whether a router that has just started continues a stream that it does not know.
    static bool continues_unknown_stream(stored_history const& stored)
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1") });
        fleet.deliver(versions_restored { stored });
        return !fleet.refusal_of(resume(fleet, "id-a", "red-key"));
    }

    void a_router_that_has_just_started_knows_the_versions_that_all_had_stored()
    {
        auto const pool = key_of(pool_name("model"));
        stored_version const first { pool, key_of_software(pool_name("model"), "v1"), true };
        stored_version const other { pool, key_of_software(pool_name("model"), "v0"), true };
        CPPUNIT_ASSERT(continues_unknown_stream({ { first, first }, true }));
        CPPUNIT_ASSERT(!continues_unknown_stream({ { first, other }, true }));
        // A router of an earlier version, which states none, may have begun streams at any.
        CPPUNIT_ASSERT(!continues_unknown_stream({ { first }, false }));
    }

    static constexpr milliseconds after_stream_lifetime { 31000 };

    void a_paused_router_does_not_take_its_list_for_recent()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1") });
        fleet.wait(after_stream_lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(resume(fleet, "id-a", "red-key")).size());
        fleet.pause(milliseconds(400));
        CPPUNIT_ASSERT(fleet.refusal_of(resume(fleet, "id-b", "red-key")));
        fleet.wait(milliseconds(100));
        CPPUNIT_ASSERT(fleet.refusal_of(resume(fleet, "id-c", "red-key")));
        fleet.wait(milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(resume(fleet, "id-d", "red-key")).size());
    }

    void a_stream_of_a_version_that_is_gone_is_refused_at_once()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1"), with_version("e2", "v1") });
        auto const first = fleet.ask("/resumable/x");
        fleet.begin(first);
        fleet.deliver(endpoints_listed { { with_version("e3", "v2") } });
        fleet.end(first, attempt_end::broken, 0, true);
        auto const refusal = fleet.refusal_of(resume(fleet, "id-1", "red-key"));
        CPPUNIT_ASSERT(refusal && refusal->status == 503 && refusal->retry_after);
        CPPUNIT_ASSERT(refusal->reason == refusal_reason::no_matching_version);
    }

    void a_stream_does_not_follow_its_route_to_another_pool()
    {
        dispatch_driver fleet;
        auto other = dispatch_driver::make_endpoint("e2", "plain");
        other.version = "v1";
        fleet.start({ with_version("e1", "v1"), other });
        fleet.wait(after_stream_lifetime);
        auto const first = fleet.ask("/resumable/x");
        fleet.begin(first);
        auto moved = dispatch_driver::usual_configuration(2);
        moved.routes.front().pools = { { pool_name("plain"), 1 } };
        fleet.deliver(configuration_received { moved });
        CPPUNIT_ASSERT(fleet.refusal_of(resume(fleet, "id-1", "red-key")));
        CPPUNIT_ASSERT(fleet.refusal_of(resume(fleet, "id-unknown", "red-key")));
    }

    void another_teams_stream_is_not_resumed()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1"), with_version("e2", "v2") });
        auto const first = fleet.ask("/resumable/x");
        fleet.begin(first);
        CPPUNIT_ASSERT(fleet.refusal_of(resume(fleet, "id-1", "blue-key")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(resume(fleet, "id-1", "red-key")).size());
    }

    // One random disturbance of the fleet.
    static void disturb(stream_simulation& fleet)
    {
        auto const endpoint = fleet.draw(fleet.endpoints());
        auto const router = fleet.draw(fleet.routers());
        switch (fleet.draw(10)) {
        case 0:
        case 1:
            fleet.add_endpoint("v" + std::to_string(fleet.draw(3)));
            return;
        case 2:
            return fleet.drain_endpoint(endpoint);
        case 3:
            fleet.unlist_endpoint(endpoint);
            return fleet.crash_endpoint(endpoint);
        case 4:
            return fleet.break_streams_of(endpoint);
        case 5:
            return fleet.disconnect_callers(0.4);
        case 6:
            return fleet.is_up(router) ? fleet.kill_router(router) : fleet.start_router(router);
        case 7:
            return fleet.cut_off(router);
        case 8:
            return fleet.end_cut(router);
        default:
            return fleet.unlist_endpoint(endpoint);
        }
    }

    void no_stream_is_mixed_whatever_happens()
    {
        std::size_t resumed = 0;
        std::size_t continued = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            stream_simulation::options settings;
            settings.seed = seed;
            settings.routers = 2 + seed % 3;
            settings.domains = 1 + seed % 2;
            settings.lost_percent = seed % 4 * 10;
            auto fleet = with_versions({ "v1", "v1", "v1" }, settings);
            // Every other fleet has run for so long that its routers rely on the history of versions.
            if (seed % 4 < 2)
                fleet.stream(5, after_stream_lifetime);
            for (int index = 0; index < 40; ++index) {
                fleet.stream(streams_per_second, milliseconds(10 + fleet.draw(300)));
                disturb(fleet);
            }
            fleet.wait(milliseconds(1000));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t { 0 }, fleet.result().mixed);
            resumed += fleet.result().resumed;
            continued += fleet.result().continued;
        }
        // The disturbances leave enough streams that go on for the check to mean something.
        CPPUNIT_ASSERT(resumed >= 1000);
        CPPUNIT_ASSERT(continued >= resumed / 4);
    }

    // During a roll-out two endpoints of the old version are left, and callers ask for more than the pool can serve.
    void resumed_streams_go_on_while_new_ones_crowd_the_last_endpoints_of_their_version()
    {
        stream_simulation::options settings;
        settings.slots = 8;
        auto fleet = with_versions({ "v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2" }, settings);
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.stream(4 * streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.2);
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        CPPUNIT_ASSERT(fleet.result().begun < fleet.result().asked);
        check_that_streams_go_on(fleet);
    }

    void a_pool_with_one_version_resumes_every_stream()
    {
        auto fleet = with_versions({ "v1", "v1", "v1", "v1" });
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.stream(streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.2);
        }
        fleet.wait(milliseconds(2000));
        check_that_streams_go_on(fleet);
        CPPUNIT_ASSERT_EQUAL(fleet.result().resumed, fleet.result().continued);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_versions_test);

} // namespace shedhill::dispatch
