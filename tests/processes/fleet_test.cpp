// SPDX-License-Identifier: BSD-2-Clause
// Tests the fleet's guarantees on real processes: complete answers, at-most-once runs and planned stops, while
// processes are killed, frozen or cut off.
#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"
#include "tests/harness/parallel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::harness {

class fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(two_hundred_streams_over_both_deployments_are_whole_and_match_their_callers);
    CPPUNIT_TEST(an_unstreamed_answer_arrives_whole);
    CPPUNIT_TEST(an_answer_without_a_body_keeps_its_status);
    CPPUNIT_TEST(answers_without_end_leave_other_requests_served);
    CPPUNIT_TEST(a_stream_without_end_leaves_other_requests_served);
    CPPUNIT_TEST(a_killed_endpoint_ends_streams_visibly_and_orders_run_once);
    CPPUNIT_TEST(a_frozen_endpoint_does_not_block_callers);
    CPPUNIT_TEST(a_planned_stop_of_router_and_endpoint_cuts_no_request_off);
    CPPUNIT_TEST(a_killed_router_and_a_repeat_at_another_run_an_order_once);
    CPPUNIT_TEST(orders_run_once_while_the_platform_loses_answers);
    CPPUNIT_TEST(a_platform_that_is_down_stops_orders_only);
    CPPUNIT_TEST(a_restarted_router_serves_with_the_platform_down);
    CPPUNIT_TEST(a_caller_that_disconnects_frees_the_engine);
    CPPUNIT_TEST(a_caller_that_does_not_read_is_disconnected);
    CPPUNIT_TEST(a_slow_first_token_is_tried_elsewhere_and_answered_once);
    CPPUNIT_TEST_SUITE_END();

    static fleet start(fleet_shape const& shape)
    {
        auto started = fleet::start(shape);
        CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().to_string(), started.has_value());
        return std::move(*started);
    }

    static std::string key(std::size_t team) { return fleet::key_of("recetario/team-" + std::to_string(team)); }

    static std::int64_t count_runs(fleet& running, std::string const& order)
    {
        std::int64_t runs = 0;
        for (auto const& service : running.services()) {
            auto const counts = get_json(service.address("http"), "/runs").value();
            auto const* found = counts.as_object().if_contains(order);
            runs += found == nullptr ? 0 : found->to_number<std::int64_t>();
        }
        return runs;
    }

    // Returns the number of requests that the engines are running now.
    static std::uint64_t running_at_engines(fleet& running)
    {
        std::uint64_t busy = 0;
        for (auto const& engine : running.engines())
            busy += get_json(engine.address("http"), "/now").value().at("running").to_number<std::uint64_t>();
        return busy;
    }

    void two_hundred_streams_over_both_deployments_are_whole_and_match_their_callers()
    {
        fleet_shape shape;
        shape.partners = { recetario_shape(), batinah_shape() };
        shape.routers = 3;
        shape.is_shared = true;
        auto running = start(shape);
        int whole = 0;
        fiber_group callers;
        for (std::size_t index = 0; index < 200; ++index) {
            callers.start([&, index] {
                auto const is_recetario = index % 2 == 0;
                auto const team = (is_recetario ? "recetario/team-" : "batinah/team-") + std::to_string(index % 16);
                auto const text = "question " + std::to_string(index);
                auto const answer = request_chat(
                    running.http(index % 3), fleet::key_of(team), is_recetario ? "cook" : "parts", text, 16);
                whole += answer.is_whole && answer.text == expected_text(text, 16) ? 1 : 0;
            });
        }
        callers.join();
        CPPUNIT_ASSERT_EQUAL(200, whole);
    }

    void an_unstreamed_answer_arrives_whole()
    {
        auto running = start(small_shape());
        auto const answer = call_chat_unstreamed(running.http(0), key(0), "cook", "menu", 8);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), header_of(*answer, "x-shedhill-outcome"));
        CPPUNIT_ASSERT(answer->body.find("menu#7 ") != std::string::npos);
    }

    // Guards against answers with the status 000: an answer without a body has no chunk that could carry its status.
    void an_answer_without_a_body_keeps_its_status()
    {
        auto const running = start(small_shape());
        for (std::uint16_t const status : { 200, 204, 404, 500 }) {
            auto const target = "/services/catalogue/empty/" + std::to_string(status);
            auto const answer = call_service(running.http(0), key(0), target, "x", {});
            CPPUNIT_ASSERT_MESSAGE(target, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, status, answer->status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, std::string("ran"), header_of(*answer, "x-shedhill-outcome"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, std::string(), answer->body);
        }
    }

    static void check_memory(std::vector<child_process>& processes)
    {
        // The memory that one node has for control.
        constexpr std::int64_t max_peak_kib = 256'000'000 / 1024;
        for (auto& process : processes) {
            CPPUNIT_ASSERT(!process.has_ended());
            auto const peak_kib = process.peak_memory_kib();
            CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(peak_kib) + " KiB", peak_kib < max_peak_kib);
        }
    }

    // Guards against a process that keeps what a service sends without end, and against requests that end with it.
    void answers_without_end_leave_other_requests_served()
    {
        constexpr std::size_t endless_requests = 4;
        constexpr std::size_t orders = 12;
        auto shape = small_shape();
        shape.work_ms = 100;
        auto running = start(shape);
        std::size_t unserved = 0;
        std::size_t served = 0;
        fiber_group callers;
        for (std::size_t index = 0; index < endless_requests; ++index)
            callers.start([&, index] {
                auto const answer = call_service(running.http(0), key(index % 4), "/services/catalogue/endless",
                    std::to_string(index), "endless-" + std::to_string(index));
                unserved += answer && answer->status == 200 ? 0 : 1;
            });
        for (std::size_t index = 0; index < orders; ++index)
            callers.start([&, index] {
                auto const order = "order-" + std::to_string(index);
                auto const answer
                    = call_service(running.http(0), key(index % 4), "/services/catalogue/orders", "x", order);
                served += answer && answer->status == 200 ? 1 : 0;
            });
        callers.join();
        CPPUNIT_ASSERT_EQUAL(endless_requests, unserved);
        CPPUNIT_ASSERT_EQUAL(orders, served);
        check_memory(running.routers());
        check_memory(running.endpoints());
    }

    // Guards against an endpoint that keeps what its engine sends faster than the router takes it.
    void a_stream_without_end_leaves_other_requests_served()
    {
        constexpr std::size_t streams = 4;
        constexpr std::size_t answers = 12;
        constexpr std::size_t tokens = 100;
        constexpr std::size_t taken_bytes = 100'000'000;
        auto shape = small_shape();
        shape.partners.front().engines = 1;
        auto running = start(shape);
        auto const body = [](char const* text) {
            return R"({"model":"cook","stream":true,"max_tokens":100,"messages":[{"content":")" + std::string(text)
                + R"("}]})";
        };
        std::size_t whole = 0;
        fiber_group callers;
        for (std::size_t index = 0; index < streams; ++index)
            callers.start([&, index] {
                auto const call = net::http_call::create();
                std::size_t taken = 0;
                (void)call->run(
                    running.http(0),
                    { "POST", "/v1/chat/completions", { { "authorization", "Bearer " + key(index % 4) } },
                        body("endless") },
                    std::chrono::milliseconds(20000), [](std::uint16_t, std::string const&) {},
                    [&](std::string_view data) {
                        taken += data.size();
                        if (taken > taken_bytes)
                            call->cancel();
                    });
            });
        for (std::size_t index = 0; index < answers; ++index)
            callers.start([&, index] {
                auto const text = "q" + std::to_string(index);
                auto const answer = request_chat(running.http(0), key(index % 4), "cook", text, tokens);
                whole += answer.is_whole && answer.text == expected_text(text, tokens) ? 1 : 0;
            });
        callers.join();
        CPPUNIT_ASSERT_EQUAL(answers, whole);
        check_memory(running.routers());
        check_memory(running.endpoints());
    }

    void a_killed_endpoint_ends_streams_visibly_and_orders_run_once()
    {
        auto shape = small_shape();
        shape.work_ms = 2000;
        shape.token_interval_ms = 50;
        auto running = start(shape);
        int whole = 0;
        int broken = 0;
        std::vector<result<net::http_response>> orders;
        fiber_group callers;
        for (std::size_t index = 0; index < 18; ++index) {
            callers.start([&, index] {
                auto const text = "q" + std::to_string(index);
                auto const answer = request_chat(running.http(0), key(index % 4), "cook", text, 40);
                if (answer.is_whole && answer.text == expected_text(text, 40))
                    ++whole;
                else if (!answer.is_whole && answer.has_error_event)
                    ++broken;
            });
        }
        callers.start([&] {
            orders.push_back(call_service(running.http(0), key(0), "/services/catalogue/orders", "list", "order-1"));
        });
        CPPUNIT_ASSERT(
            wait_until([&] { return running_at_engines(running) == 18 && count_runs(running, "order-1") == 1; }));
        // Streaming of the answers has started by then.
        pause(100);
        // These are the endpoint processes of the first engine and of the service.
        running.endpoints().front().kill();
        running.endpoints().back().kill();
        callers.join();
        CPPUNIT_ASSERT_EQUAL(18, whole + broken);
        CPPUNIT_ASSERT(broken > 0 && broken <= 6);
        CPPUNIT_ASSERT(orders.front());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), header_of(*orders.front(), "x-shedhill-outcome"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, count_runs(running, "order-1"));
    }

    void a_frozen_endpoint_does_not_block_callers()
    {
        auto shape = small_shape();
        shape.token_interval_ms = 20;
        shape.router_settings = { "--first-chunk-limit-ms=1000", "--next-chunk-limit-ms=1000" };
        auto running = start(shape);
        int ended = 0;
        fiber_group callers;
        for (std::size_t index = 0; index < 12; ++index) {
            callers.start([&, index] {
                auto const text = "q" + std::to_string(index);
                auto const answer = request_chat(running.http(0), key(index % 4), "cook", text, 30);
                ended += (answer.is_whole && answer.text == expected_text(text, 30)) || answer.has_error_event ? 1 : 0;
            });
        }
        pause(200);
        running.endpoints().front().send_signal(SIGSTOP);
        callers.join();
        running.endpoints().front().send_signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(12, ended);
        auto const after = request_chat(running.http(0), key(0), "cook", "after", 5);
        CPPUNIT_ASSERT(after.is_whole);
    }

    void a_planned_stop_of_router_and_endpoint_cuts_no_request_off()
    {
        auto shape = small_shape();
        shape.routers = 2;
        shape.token_interval_ms = 50;
        auto running = start(shape);
        int whole = 0;
        int refused = 0;
        fiber_group callers;
        for (std::size_t index = 0; index < 30; ++index) {
            callers.start([&, index] {
                auto const text = "q" + std::to_string(index);
                auto const answer = request_chat(running.http(0), key(index % 4), "cook", text, 30);
                whole += answer.is_whole && answer.text == expected_text(text, 30) ? 1 : 0;
                refused += answer.status == 503 ? 1 : 0;
            });
        }
        CPPUNIT_ASSERT(wait_until([&] { return running_at_engines(running) == 18; }));
        running.routers().front().send_signal(SIGTERM);
        running.endpoints().front().send_signal(SIGTERM);
        callers.join();
        CPPUNIT_ASSERT_EQUAL(30, whole + refused);
        CPPUNIT_ASSERT_EQUAL(18, whole);
        int code = -1;
        CPPUNIT_ASSERT(running.routers().front().wait_for_end(code));
        CPPUNIT_ASSERT_EQUAL(0, code);
        CPPUNIT_ASSERT(running.endpoints().front().wait_for_end(code));
        CPPUNIT_ASSERT_EQUAL(0, code);
        CPPUNIT_ASSERT(request_chat(running.http(1), key(0), "cook", "after", 5).is_whole);
    }

    void a_killed_router_and_a_repeat_at_another_run_an_order_once()
    {
        auto shape = small_shape();
        shape.routers = 2;
        shape.work_ms = 2000;
        auto running = start(shape);
        fiber_group callers;
        callers.start([&] {
            auto const lost = call_service(running.http(0), key(0), "/services/catalogue/orders", "clutch", "order-7");
            CPPUNIT_ASSERT(!lost);
        });
        CPPUNIT_ASSERT(wait_until([&] { return count_runs(running, "order-7") == 1; }));
        running.routers().front().kill();
        callers.join();
        auto const again = call_service(running.http(1), key(0), "/services/catalogue/orders", "clutch", "order-7");
        CPPUNIT_ASSERT(again);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 409 }, again->status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), header_of(*again, "x-shedhill-outcome"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, count_runs(running, "order-7"));
    }

    void orders_run_once_while_the_platform_loses_answers()
    {
        auto shape = small_shape();
        shape.routers = 2;
        auto running = start(shape);
        CPPUNIT_ASSERT(post_json(running.platform_address(), "/control", { { "lose_answers", 3 } }));
        fiber_group callers;
        for (std::size_t index = 0; index < 20; ++index) {
            callers.start([&, index] {
                // Each order is sent twice, to both routers.
                auto const order = "order-" + std::to_string(index / 2);
                auto const answer
                    = call_service(running.http(index % 2), key(0), "/services/catalogue/orders", "x", order);
                CPPUNIT_ASSERT(answer);
            });
        }
        callers.join();
        for (std::size_t order = 0; order < 10; ++order)
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, count_runs(running, "order-" + std::to_string(order)));
    }

    void a_platform_that_is_down_stops_orders_only()
    {
        auto running = start(small_shape());
        CPPUNIT_ASSERT(post_json(running.platform_address(), "/control", { { "down", true } }));
        auto const order = call_service(running.http(0), key(0), "/services/catalogue/orders", "x", "order-1");
        CPPUNIT_ASSERT(order);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, order->status);
        CPPUNIT_ASSERT_EQUAL(std::string("claim_unavailable"), header_of(*order, "x-shedhill-reason"));
        CPPUNIT_ASSERT(!header_of(*order, "retry-after").empty());
        CPPUNIT_ASSERT(request_chat(running.http(0), key(0), "cook", "stew", 5).is_whole);
        CPPUNIT_ASSERT(post_json(running.platform_address(), "/control", { { "down", false } }));
        auto const again = call_service(running.http(0), key(0), "/services/catalogue/orders", "x", "order-1");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 200 }, again.value().status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, count_runs(running, "order-1"));
    }

    void a_restarted_router_serves_with_the_platform_down()
    {
        auto shape = small_shape();
        shape.routers = 2;
        auto running = start(shape);
        CPPUNIT_ASSERT(post_json(running.platform_address(), "/control", { { "down", true } }));
        CPPUNIT_ASSERT(running.restart_router(1));
        CPPUNIT_ASSERT(running.wait_until_ready(1));
        CPPUNIT_ASSERT(request_chat(running.http(1), key(0), "cook", "stew", 5).is_whole);
    }

    void a_slow_first_token_is_tried_elsewhere_and_answered_once()
    {
        auto shape = small_shape();
        shape.router_settings = { "--first-chunk-limit-ms=500" };
        auto running = start(shape);
        // Two of the three engines exceed the limit for the first token.
        for (std::size_t slow = 0; slow < 2; ++slow) {
            CPPUNIT_ASSERT(post_json(
                running.engines().at(slow).address("http"), "/control", { { "mode", "ok" }, { "delay_ms", 5000 } }));
        }
        int ended = 0;
        int whole = 0;
        fiber_group callers;
        for (std::size_t index = 0; index < 8; ++index) {
            callers.start([&, index] {
                auto const text = "q" + std::to_string(index);
                auto const answer = request_chat(running.http(0), key(index % 4), "cook", text, 5);
                auto const is_own = answer.is_whole && answer.text == expected_text(text, 5);
                whole += is_own ? 1 : 0;
                ended += is_own || answer.status >= 500 ? 1 : 0;
            });
        }
        callers.join();
        CPPUNIT_ASSERT_EQUAL(8, ended);
        CPPUNIT_ASSERT(whole > 0);
    }

    // The answer is larger than the buffers of the sockets and the router, and does not end within the test.
    void a_caller_that_does_not_read_is_disconnected()
    {
        auto shape = small_shape();
        shape.token_interval_ms = 0;
        auto running = start(shape);
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket silent(io);
        auto const address = running.http(0);
        silent.connect({ boost::asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))) });
        std::string const body = R"({"model":"cook","stream":true,"max_tokens":100000000,"messages":[{"content":")"
            + std::string(2000, 'x') + R"("}]})";
        std::string const request = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer " + key(0)
            + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(silent, boost::asio::buffer(request));
        CPPUNIT_ASSERT(wait_until([&] {
            auto const counters = running.metrics(running.routers().front()).value();
            return counters.contains("shedhill_slow_callers_total");
        }));
        CPPUNIT_ASSERT(wait_until([&] { return running_at_engines(running) == 0; }));
    }

    void a_caller_that_disconnects_frees_the_engine()
    {
        auto shape = small_shape();
        shape.token_interval_ms = 50;
        auto running = start(shape);
        auto const call = net::http_call::create();
        fiber_group callers;
        callers.start([&] { request_chat_with(*call, running.http(0), key(0), "cook", "long", 1000); });
        CPPUNIT_ASSERT(wait_until([&] { return running_at_engines(running) == 1; }));
        call->cancel();
        callers.join();
        CPPUNIT_ASSERT(wait_until([&] { return running_at_engines(running) == 0; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace shedhill::harness
