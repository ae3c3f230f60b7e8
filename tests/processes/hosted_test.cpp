// SPDX-License-Identifier: BSD-2-Clause
// Tests the router with stand-ins for the users' platform, on real processes and sockets, without the users' test
// bench.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::harness {

class hosted_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_test);
    CPPUNIT_TEST(each_kind_of_request_is_served);
    CPPUNIT_TEST(a_broken_stream_is_resumed_at_another_replica);
    CPPUNIT_TEST(a_stream_that_cannot_be_resumed_does_not_look_whole);
    CPPUNIT_TEST(an_unframed_answer_is_served_whole);
    CPPUNIT_TEST(the_end_of_a_router_does_not_complete_an_unframed_stream);
    CPPUNIT_TEST(an_order_runs_once_whatever_happens);
    CPPUNIT_TEST(a_request_that_one_replica_rejected_is_served_by_another);
    CPPUNIT_TEST(a_changed_configuration_is_in_force_at_every_router);
    CPPUNIT_TEST(routers_that_do_not_watch_the_store_receive_changes_from_watchers);
    CPPUNIT_TEST(an_evacuation_reaches_every_router_and_can_be_undone);
    CPPUNIT_TEST(a_leaving_replica_gets_nothing_new);
    CPPUNIT_TEST(requests_are_served_while_the_store_is_down);
    CPPUNIT_TEST(entries_that_lapsed_in_an_outage_are_retained_for_a_limited_time);
    CPPUNIT_TEST(a_router_that_starts_without_the_store_is_configured_by_another);
    CPPUNIT_TEST(a_full_read_follows_a_lost_feed_history);
    CPPUNIT_TEST(a_planned_stop_cuts_nothing);
    CPPUNIT_TEST(a_log_that_nobody_reads_blocks_nothing);
    CPPUNIT_TEST(the_operators_tool_reads_router_metrics);
    CPPUNIT_TEST(a_router_serves_without_its_metrics_port);
    CPPUNIT_TEST(bad_settings_are_refused);
    CPPUNIT_TEST_SUITE_END();

    static hosted_fleet start_fleet(std::size_t routers, std::size_t replicas, int work_ms = 5)
    {
        hosted_fleet_options options;
        options.routers = routers;
        options.replicas = replicas;
        options.work_ms = work_ms;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        return std::move(*fleet);
    }

    static std::uint16_t status_of(result<net::http_response> const& answer)
    {
        return answer ? answer->status : std::uint16_t { 0 };
    }

    // Sends requests until an answer has the status; returns false if none has it in about 10 seconds.
    template <typename Ask>
    static bool reaches_status(std::uint16_t status, Ask&& send_request)
    {
        constexpr int max_tries = 1000;
        for (int tries = 0; tries < max_tries; ++tries) {
            if (status_of(send_request(tries)) == status)
                return true;
            boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    static std::string whole_stream()
    {
        std::string whole;
        for (int number = 1; number <= 10; ++number)
            whole += "id: " + std::to_string(number) + "\ndata: piece\n\n";
        return whole;
    }

    void each_kind_of_request_is_served()
    {
        auto const fleet = start_fleet(1, 2);
        auto const order = fleet.send_request(0, "/order/a?b=c", "id-1");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, status_of(order));
        // The team's name reaches the replica, and the key does not.
        CPPUNIT_ASSERT_EQUAL(std::string("team=kitchen key= body=a body"), order->body);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, status_of(fleet.send_request(0, "/look/a", "id-2")));
        auto const stream = fleet.send_request(0, "/stream/a", "id-3");
        CPPUNIT_ASSERT_EQUAL(whole_stream(), stream->body);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 404 }, status_of(fleet.send_request(0, "/nowhere/", "id-4")));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 401 }, status_of(fleet.send_request(0, "/look/a", "id-5", "stolen")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fleet.runs().size());
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_refusals_total{reason=\"no_route\"}") == 1);
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_answer_seconds_bucket{pool=\"plain\",le=\"+Inf\"}") == 3);
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_answer_seconds_count{pool=\"plain\"}") == 3);
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_first_event_seconds_count{pool=\"plain\"}") == 1);
    }

    void a_broken_stream_is_resumed_at_another_replica()
    {
        auto fleet = start_fleet(1, 2);
        fleet.control_replica(0, "cut");
        for (int index = 0; index < 6; ++index)
            CPPUNIT_ASSERT_EQUAL(
                whole_stream(), fleet.send_request(0, "/stream/a", "id-" + std::to_string(index))->body);
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_retries_total{reason=\"broken\"}") >= 1);
    }

    void a_stream_that_cannot_be_resumed_does_not_look_whole()
    {
        auto fleet = start_fleet(1, 1);
        fleet.control_replica(0, "cut");
        auto const answer = fleet.send_request(0, "/stream/once/a", "id-1");
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, fleet.runs().at("id-1").as_int64());
    }

    void an_unframed_answer_is_served_whole()
    {
        auto fleet = start_fleet(1, 1);
        auto const stream = fleet.send_request(0, "/stream/unframed/a", "id-1");
        CPPUNIT_ASSERT(stream.has_value());
        CPPUNIT_ASSERT_EQUAL(whole_stream(), stream->body);
        auto const order = fleet.send_request(0, "/order/unframed/a", "id-2");
        CPPUNIT_ASSERT(order.has_value());
        CPPUNIT_ASSERT(order->body.ends_with("body=a body"));
    }

    void the_end_of_a_router_does_not_complete_an_unframed_stream()
    {
        auto fleet = start_fleet(1, 1, 100);
        bool has_answer = true;
        fiber_group callers;
        callers.start([&] { has_answer = fleet.send_request(0, "/stream/unframed/a", "id-1").has_value(); });
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_active_requests") > 0; }));
        // The router forwards a few of the ten events first.
        pause(300);
        fleet.router(0).kill();
        callers.join();
        CPPUNIT_ASSERT(!has_answer);
    }

    void an_order_runs_once_whatever_happens()
    {
        auto fleet = start_fleet(1, 2);
        fleet.control_replica(0, "cut");
        fleet.control_replica(1, "cut");
        // The order may have run, so the router neither repeats it nor reports to the caller that it has not run.
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, status_of(fleet.send_request(0, "/order/a", "id-1")));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, fleet.runs().at("id-1").as_int64());
    }

    void a_request_that_one_replica_rejected_is_served_by_another()
    {
        auto fleet = start_fleet(1, 2);
        fleet.control_replica(0, "busy");
        for (int index = 0; index < 6; ++index) {
            auto const id = "id-" + std::to_string(index);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, status_of(fleet.send_request(0, "/order/a", id)));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, fleet.runs().at(id).as_int64());
        }
        fleet.control_replica(1, "busy");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, status_of(fleet.send_request(0, "/order/a", "id-x")));
        CPPUNIT_ASSERT(!fleet.runs().contains("id-x"));
    }

    void a_changed_configuration_is_in_force_at_every_router()
    {
        auto const fleet = start_fleet(2, 1);
        fleet.declare_configuration(7, { "/added/" });
        for (std::size_t router = 0; router < 2; ++router)
            CPPUNIT_ASSERT(reaches_status(200, [&](int tries) {
                return fleet.send_request(
                    router, "/added/x", "id-" + std::to_string(router) + "-" + std::to_string(tries));
            }));
        // An older version is never applied, and an invalid document changes nothing.
        fleet.declare_configuration(3);
        fleet.control_store({ { "put",
            boost::json::array {
                boost::json::object { { "table", "op" }, { "key", "config" }, { "value", "{\"version\":9" } } } } });
        CPPUNIT_ASSERT(reaches_status(200, [&](int tries) {
            auto const answer = fleet.send_request(0, "/added/x", "later-" + std::to_string(tries));
            return fleet.metric(0, "shedhill_bad_documents_total") >= 1 ? answer : fail("wait", "", "not yet");
        }));
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_configuration_revision") == 7);
    }

    // Two of the four routers of one failure domain watch the store.
    void routers_that_do_not_watch_the_store_receive_changes_from_watchers()
    {
        constexpr std::size_t routers = 4;
        auto const fleet = start_fleet(routers, 2);
        auto const watcher_count = [&] {
            std::size_t count = 0;
            for (std::size_t router = 0; router < routers; ++router)
                count += fleet.metric(router, "shedhill_follows_store") > 0 ? 1 : 0;
            return count;
        };
        CPPUNIT_ASSERT(wait_until([&] { return watcher_count() == 2; }));
        fleet.declare_configuration(7, { "/added/" });
        fleet.list_replica(0, "draining");
        fleet.control_replica(1, "busy");
        for (std::size_t router = 0; router < routers; ++router) {
            auto const name = std::to_string(router) + "-";
            CPPUNIT_ASSERT(reaches_status(503, [&](int tries) {
                return fleet.send_request(router, "/order/a", "order-" + name + std::to_string(tries));
            }));
            CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(router, "shedhill_configuration_revision") == 7; }));
        }
        // A router that receives the reports of its domain peers late watches the store itself, and later stops again.
        CPPUNIT_ASSERT(wait_until([&] { return watcher_count() == 2; }));
    }

    void an_evacuation_reaches_every_router_and_can_be_undone()
    {
        constexpr std::size_t routers = 4;
        auto fleet = start_fleet(routers, 2);
        fleet.evacuate("north");
        fleet.evacuate("south");
        auto const evacuated = [&](std::size_t router) { return fleet.metric(router, "shedhill_evacuated_domains"); };
        for (std::size_t router = 0; router < routers; ++router) {
            CPPUNIT_ASSERT(wait_until([&] { return evacuated(router) == 2; }));
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 },
                status_of(fleet.send_request(router, "/look/a", "evacuated-" + std::to_string(router))));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.runs().size());
        // A router that starts while the store is down receives the evacuations from the other routers.
        fleet.control_store({ { "down", true } });
        CPPUNIT_ASSERT(fleet.restart_router(0));
        CPPUNIT_ASSERT(fleet.wait_until_ready(0));
        CPPUNIT_ASSERT(evacuated(0) == 2);
        fleet.control_store({ { "down", false } });
        fleet.end_evacuation("north");
        for (std::size_t router = 0; router < routers; ++router)
            CPPUNIT_ASSERT(reaches_status(200, [&](int tries) {
                return fleet.send_request(router, "/look/a", std::to_string(router) + "-" + std::to_string(tries));
            }));
    }

    void a_leaving_replica_gets_nothing_new()
    {
        auto fleet = start_fleet(1, 2);
        fleet.list_replica(0, "draining");
        fleet.control_replica(1, "busy");
        // Once the router has received the new state, it sends requests only to the other replica, which rejects them
        // all.
        CPPUNIT_ASSERT(reaches_status(
            503, [&](int tries) { return fleet.send_request(0, "/order/a", "id-" + std::to_string(tries)); }));
    }

    void requests_are_served_while_the_store_is_down()
    {
        auto fleet = start_fleet(1, 1);
        fleet.control_store({ { "down", true } });
        for (int index = 0; index < 20; ++index)
            CPPUNIT_ASSERT_EQUAL(
                std::uint16_t { 200 }, status_of(fleet.send_request(0, "/look/a", "id-" + std::to_string(index))));
        fleet.declare_configuration(2, { "/added/" });
        fleet.control_store({ { "down", false } });
        CPPUNIT_ASSERT(reaches_status(
            200, [&](int tries) { return fleet.send_request(0, "/added/a", "late-" + std::to_string(tries)); }));
    }

    void entries_that_lapsed_in_an_outage_are_retained_for_a_limited_time()
    {
        auto fleet = start_fleet(1, 1);
        fleet.control_store({ { "down", true } });
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_endpoint_list_age_ms") > 2000; }));
        fleet.unlist_replica(0);
        fleet.control_store({ { "down", false } });
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_lapsed_lists_total") == 1; }));
        // The entry does not return, so the router finally drops it.
        CPPUNIT_ASSERT(reaches_status(
            503, [&](int tries) { return fleet.send_request(0, "/look/a", "late-" + std::to_string(tries)); }));
    }

    void a_router_that_starts_without_the_store_is_configured_by_another()
    {
        auto fleet = start_fleet(2, 1);
        fleet.control_store({ { "down", true } });
        CPPUNIT_ASSERT(fleet.restart_router(1));
        CPPUNIT_ASSERT(fleet.wait_until_ready(1));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, status_of(fleet.send_request(1, "/look/a", "id-1")));
    }

    void a_full_read_follows_a_lost_feed_history()
    {
        auto fleet = start_fleet(1, 1);
        fleet.declare_configuration(2, { "/added/" });
        fleet.control_store({ { "forget", true } });
        fleet.declare_configuration(3, { "/added/", "/more/" });
        CPPUNIT_ASSERT(reaches_status(
            200, [&](int tries) { return fleet.send_request(0, "/more/a", "id-" + std::to_string(tries)); }));
    }

    void a_planned_stop_cuts_nothing()
    {
        auto fleet = start_fleet(2, 1, 100);
        std::vector<std::string> bodies(4);
        std::vector<boost::fibers::fiber> callers;
        for (std::size_t index = 0; index < bodies.size(); ++index)
            callers.emplace_back([&, index] {
                auto const answer = fleet.send_request(0, "/stream/once/a", "id-" + std::to_string(index));
                bodies[index] = answer ? answer->body : answer.error().to_string();
            });
        CPPUNIT_ASSERT(reaches_status(200, [&](int) -> result<net::http_response> {
            if (fleet.metric(0, "shedhill_active_requests") < 4)
                return fail("wait", "", "not yet");
            return net::http_response { 200, {}, {}, {} };
        }));
        fleet.router(0).send_signal(SIGTERM);
        CPPUNIT_ASSERT(fleet.wait_until_unready(0));
        for (auto& caller : callers)
            caller.join();
        for (auto const& body : bodies)
            CPPUNIT_ASSERT_EQUAL(whole_stream(), body);
        int code = -1;
        CPPUNIT_ASSERT(fleet.router(0).wait_for_end(code));
        CPPUNIT_ASSERT_EQUAL(0, code);
    }

    // The harness reads nothing after the first line, so the pipe is full after a few hundred requests.
    void a_log_that_nobody_reads_blocks_nothing()
    {
        auto const fleet = start_fleet(1, 1, 0);
        int sent_requests = 0;
        while (fleet.metric(0, "shedhill_log_lines_unread") == 0 && sent_requests < 3000) {
            for (int index = 0; index < 50; ++index)
                CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 },
                    status_of(fleet.send_request(0, "/look/a", "id-" + std::to_string(++sent_requests))));
        }
        CPPUNIT_ASSERT(fleet.metric(0, "shedhill_log_lines_unread") > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, status_of(fleet.send_request(0, "/look/a", "last")));
    }

    void the_operators_tool_reads_router_metrics()
    {
        auto fleet = start_fleet(2, 1);
        CPPUNIT_ASSERT_EQUAL(whole_stream(), fleet.send_request(0, "/stream/a", "id-1")->body);
        std::string printed;
        auto const code = child_process::run(program_path("shedhill"),
            { "routers", fleet.router(0).address("metrics"), fleet.router(1).address("metrics") }, printed);
        CPPUNIT_ASSERT_EQUAL(0, code.value());
        CPPUNIT_ASSERT(printed.find("ready, revision 1") != std::string::npos);
        CPPUNIT_ASSERT(printed.find("first events of plain") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0,
            child_process::run(program_path("shedhill"),
                { "fleet", fleet.router(0).address("metrics"), fleet.router(1).address("metrics") }, printed)
                .value());
        CPPUNIT_ASSERT(printed.find("2 routers, 2 ready, 0 silent") != std::string::npos);
        auto const killed_router_address = fleet.router(1).address("metrics");
        fleet.router(1).kill();
        CPPUNIT_ASSERT_EQUAL(
            5, child_process::run(program_path("shedhill"), { "routers", killed_router_address }, printed).value());
    }

    void a_router_serves_without_its_metrics_port()
    {
        auto const port_holder = fault_proxy::open("127.0.0.1:1");
        CPPUNIT_ASSERT(port_holder.has_value());
        auto const address = (*port_holder)->address();
        hosted_fleet_options options;
        options.router_arguments = { "--metrics-port=" + address.substr(address.rfind(':') + 1) };
        auto const fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, status_of(fleet->send_request(0, "/look/a", "id-1")));
    }

    void bad_settings_are_refused()
    {
        std::string output;
        auto const missing = child_process::run(program_path("shedhilld"),
            { "--role=router", "--binding=platform", "--settings-file=/nowhere/settings", "--check-settings" }, output);
        CPPUNIT_ASSERT_EQUAL(2, missing.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_test);

} // namespace shedhill::harness
