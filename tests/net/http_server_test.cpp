// SPDX-License-Identifier: BSD-2-Clause
// Tests that the server of the product's own interface takes no part of a request's body for another request.
#include "libraries/net/http.h"

#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::net {

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(a_request_in_a_body_of_unknown_length_is_not_run);
    CPPUNIT_TEST(trailer_fields_are_no_header_fields);
    CPPUNIT_TEST(an_empty_chunked_body_may_arrive_in_pieces);
    CPPUNIT_TEST(a_chunk_line_or_trailer_without_end_is_refused);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST_SUITE_END();

    struct served {
        std::vector<http_request> requests;
        // All bytes that the caller received until the connection ended.
        std::string answers;
    };

    // Sends the pieces one after another on one connection, which the last answer has to end.
    static served send(std::vector<std::string> const& pieces)
    {
        served result;
        auto const server = http_server::open("127.0.0.1:0", {}, [&](http_exchange& exchange) {
            result.requests.push_back(exchange.request());
            (void)exchange.respond({ 200, {}, "text/plain", "done" });
        });
        boost::beast::tcp_stream stream(process_io_context());
        stream.expires_after(std::chrono::seconds(10));
        auto const address = parse_address("127.0.0.1:" + std::to_string((*server)->port()));
        (void)await_io([&](auto handler) { stream.async_connect(*address, std::move(handler)); });
        for (auto const& bytes : pieces) {
            (void)await_io([&](auto handler) {
                boost::asio::async_write(stream, boost::asio::buffer(bytes), std::move(handler));
            });
            boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
        }
        std::array<char, 4096> buffer {};
        for (;;) {
            auto const [failure, size] = await_io(
                [&](auto handler) { stream.async_read_some(boost::asio::buffer(buffer), std::move(handler)); });
            if (failure)
                break;
            result.answers.append(buffer.data(), size);
        }
        (*server)->close();
        return result;
    }

    // Guards against requests that nobody sent: the body of a request whose coding is not chunked was run as a request.
    void a_request_in_a_body_of_unknown_length_is_not_run()
    {
        auto const result = send({ "POST /outer HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n"
                                   "GET /inner HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" });
        CPPUNIT_ASSERT(result.requests.empty());
        CPPUNIT_ASSERT(result.answers.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(result.answers.find(R"(Transfer-Encoding \"gzip\")") != std::string::npos);
    }

    void trailer_fields_are_no_header_fields()
    {
        auto const result
            = send({ "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                     "4\r\nbody\r\n0\r\nIdempotency-Key: two\r\n\r\n" });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, result.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string("body"), result.requests[0].body);
        CPPUNIT_ASSERT_EQUAL(std::string(), result.requests[0].header("idempotency-key"));
    }

    // Guards against a process that ends at an assertion of the parser.
    void an_empty_chunked_body_may_arrive_in_pieces()
    {
        auto const result
            = send({ "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", "0\r\n",
                "\r", "\n" });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, result.requests.size());
        CPPUNIT_ASSERT(result.answers.starts_with("HTTP/1.1 200"));
    }

    // Guards against a process whose memory grows for as long as a caller sends.
    void a_chunk_line_or_trailer_without_end_is_refused()
    {
        constexpr std::size_t size = 200'000;
        for (std::string const beginning : { "5;", "0\r\nName: " }) {
            auto const result = send({ "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + beginning
                + std::string(size, 'x') });
            CPPUNIT_ASSERT(result.requests.empty());
            CPPUNIT_ASSERT_MESSAGE(result.answers, result.answers.starts_with("HTTP/1.1 431"));
        }
    }

    void pipelined_requests_are_answered_in_order()
    {
        auto const result = send({ "POST /one HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
                                   "GET /two HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, result.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string("body"), result.requests[0].body);
        CPPUNIT_ASSERT_EQUAL(std::string("/two"), result.requests[1].target);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace shedhill::net
