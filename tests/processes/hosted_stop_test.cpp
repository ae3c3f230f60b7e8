// SPDX-License-Identifier: BSD-2-Clause
// Tests what becomes of requests that a planned stop of a router meets, with real processes.
#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace shedhill::harness {

class hosted_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_stop_test);
    CPPUNIT_TEST(a_request_that_outlasts_the_stop_is_answered);
    CPPUNIT_TEST(a_stream_that_outlasts_the_stop_does_not_look_whole);
    CPPUNIT_TEST(a_short_stop_takes_nothing_that_it_cannot_end);
    CPPUNIT_TEST(a_late_request_on_an_open_connection_is_not_run);
    CPPUNIT_TEST_SUITE_END();

    static hosted_fleet start_fleet(int work_ms, int grace_s)
    {
        hosted_fleet_options options;
        options.work_ms = work_ms;
        options.grace_s = grace_s;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        return std::move(*fleet);
    }

    static bool has_run(hosted_fleet const& fleet, char const* id) { return fleet.runs().contains(id); }

    static void check_ends_by_itself(hosted_fleet& fleet)
    {
        int code = -1;
        CPPUNIT_ASSERT(fleet.router(0).wait_for_end(code));
        CPPUNIT_ASSERT_EQUAL(0, code);
    }

    // Guards against orders whose callers learn nothing, because the process ends before the endpoint has answered.
    void a_request_that_outlasts_the_stop_is_answered()
    {
        auto fleet = start_fleet(5000, 3);
        std::vector<result<net::http_response>> answers;
        fiber_group callers;
        for (auto const* const target : { "/order/a", "/look/a" })
            callers.start([&, target] { answers.push_back(fleet.send_request(0, target, target)); });
        CPPUNIT_ASSERT(wait_until([&] { return has_run(fleet, "/order/a") && has_run(fleet, "/look/a"); }));
        fleet.router(0).send_signal(SIGTERM);
        callers.join();
        for (auto const& answer : answers) {
            CPPUNIT_ASSERT_MESSAGE(answer ? "" : answer.error().to_string(), answer.has_value());
            // It may have run, so no other status is true.
            CPPUNIT_ASSERT_EQUAL(std::uint16_t { 504 }, answer->status);
        }
        check_ends_by_itself(fleet);
    }

    void a_stream_that_outlasts_the_stop_does_not_look_whole()
    {
        auto fleet = start_fleet(600, 3);
        bool is_whole = true;
        fiber_group callers;
        callers.start([&] { is_whole = fleet.send_request(0, "/stream/once/a", "id-1").has_value(); });
        CPPUNIT_ASSERT(wait_until([&] { return has_run(fleet, "id-1"); }));
        fleet.router(0).send_signal(SIGTERM);
        callers.join();
        CPPUNIT_ASSERT(!is_whole);
        check_ends_by_itself(fleet);
    }

    // Guards against requests that are taken until the process ends, because the grace is shorter than the time in
    // which the load balancer notices.
    void a_short_stop_takes_nothing_that_it_cannot_end()
    {
        auto fleet = start_fleet(3000, 2);
        fleet.router(0).send_signal(SIGTERM);
        pause(1100);
        auto const answer = fleet.send_request(0, "/order/a", "late");
        CPPUNIT_ASSERT(!answer || answer->status == 503);
        check_ends_by_itself(fleet);
        CPPUNIT_ASSERT(!has_run(fleet, "late"));
    }

    // A caller that keeps its connection open, with a request of which the end is still to come.
    class slow_caller {
    public:
        explicit slow_caller(std::string const& address)
        {
            m_stream.expires_after(std::chrono::seconds(20));
            auto const target = net::parse_address(address);
            (void)net::await_io([&](auto handler) { m_stream.async_connect(*target, std::move(handler)); });
        }

        void send(std::string const& bytes)
        {
            (void)net::await_io([&](auto handler) {
                boost::asio::async_write(m_stream, boost::asio::buffer(bytes), std::move(handler));
            });
        }

        // Returns all bytes up to the end of the connection.
        std::string receive_all()
        {
            std::string received;
            std::array<char, 4096> buffer {};
            while (true) {
                auto const [failure, size] = net::await_io(
                    [&](auto handler) { m_stream.async_read_some(boost::asio::buffer(buffer), std::move(handler)); });
                if (failure)
                    return received;
                received.append(buffer.data(), size);
            }
        }

    private:
        boost::beast::tcp_stream m_stream { net::process_io_context() };
    };

    // Guards against requests that are passed on and then cut off at the end of the grace.
    void a_late_request_on_an_open_connection_is_not_run()
    {
        auto fleet = start_fleet(5000, 6);
        std::string const head = "POST /order/a HTTP/1.1\r\nHost: shop.example\r\nShedhill-Request-Id: late\r\n"
                                 "Shedhill-Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n";
        slow_caller with_head(fleet.router(0).address("callers"));
        with_head.send(head);
        slow_caller with_body(fleet.router(0).address("callers"));
        with_body.send(head + "\r\nbo");
        pause(100);
        fleet.router(0).send_signal(SIGTERM);
        // The load balancer has noticed by then.
        pause(3200);
        with_head.send("\r\nbody");
        with_body.send("dy");
        // A connection may also be closed before the whole request was read.
        for (auto* const caller : { &with_head, &with_body }) {
            auto const answer = caller->receive_all();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.empty() || answer.starts_with("HTTP/1.1 503 "));
        }
        check_ends_by_itself(fleet);
        CPPUNIT_ASSERT(!has_run(fleet, "late"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_stop_test);

} // namespace shedhill::harness
