// SPDX-License-Identifier: BSD-2-Clause
// Tests the client of the product's own interface against servers that follow or violate the HTTP protocol. It reads
// the answers of engines, of the store and of other processes.
#include "libraries/net/http.h"

#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::net {

namespace {

constexpr std::size_t megabyte = 1U << 20U;
constexpr std::chrono::milliseconds call_limit { 10'000 };

// Answers one call with the pieces, then repeats a unit until the client closes, and closes the connection.
class scripted_answer {
public:
    explicit scripted_answer(std::vector<std::string> pieces, std::string repeated_unit = {})
        : m_acceptor(*open_acceptor("127.0.0.1:0"))
        , m_pieces(std::move(pieces))
        , m_repeated_unit(std::move(repeated_unit))
        , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
        , m_fiber([this] { serve(); })
    {
    }
    scripted_answer(scripted_answer const&) = delete;
    scripted_answer& operator=(scripted_answer const&) = delete;
    ~scripted_answer() { m_fiber.join(); }

    [[nodiscard]] std::string const& address() const { return m_address; }
    // Waits until the connection is over and returns the bytes of repeated units that were sent.
    std::size_t repeated_bytes()
    {
        m_is_over.wait();
        return m_repeated_bytes;
    }

private:
    // A limit keeps a test from running on if the client never closes.
    static constexpr std::size_t max_repeated_bytes = 128 * megabyte;

    void serve()
    {
        boost::beast::tcp_stream stream(process_io_context());
        stream.expires_after(call_limit);
        (void)await_io([&](auto handler) { m_acceptor.async_accept(stream.socket(), std::move(handler)); });
        std::array<char, 4096> request {};
        (void)await_io([&](auto handler) { stream.async_read_some(boost::asio::buffer(request), std::move(handler)); });
        for (auto const& piece : m_pieces) {
            (void)send(stream, piece);
            boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
        }
        while (!m_repeated_unit.empty() && m_repeated_bytes < max_repeated_bytes && send(stream, m_repeated_unit))
            m_repeated_bytes += m_repeated_unit.size();
        m_is_over.set();
    }

    static bool send(boost::beast::tcp_stream& stream, std::string const& bytes)
    {
        return !await_io([&](auto handler) {
            boost::asio::async_write(stream, boost::asio::buffer(bytes), std::move(handler));
        }).failure;
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_pieces;
    std::string m_repeated_unit;
    std::string m_address;
    std::size_t m_repeated_bytes { 0 };
    fiber_event m_is_over;
    boost::fibers::fiber m_fiber;
};

} // namespace

class http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(an_answer_is_read_whole);
    CPPUNIT_TEST(an_answer_that_ends_early_is_broken);
    CPPUNIT_TEST(a_status_out_of_range_is_no_answer);
    CPPUNIT_TEST(the_answer_after_interim_answers_is_read);
    CPPUNIT_TEST(an_interim_status_is_never_final);
    CPPUNIT_TEST(an_answer_whose_length_is_in_doubt_is_broken);
    CPPUNIT_TEST(a_malformed_field_is_no_part_of_an_answer);
    CPPUNIT_TEST(trailer_fields_are_no_header_fields);
    CPPUNIT_TEST(an_empty_chunked_answer_may_arrive_in_pieces);
    CPPUNIT_TEST(a_length_beyond_the_memory_ends_only_the_call);
    CPPUNIT_TEST(a_body_without_end_is_not_kept);
    CPPUNIT_TEST(a_head_without_end_is_not_kept);
    CPPUNIT_TEST(a_chunk_line_without_end_is_not_kept);
    CPPUNIT_TEST(a_trailer_without_end_is_not_kept);
    CPPUNIT_TEST(a_streamed_call_takes_a_body_without_end_in_parts);
    CPPUNIT_TEST_SUITE_END();

    static result<http_response> fetch_from(scripted_answer const& server)
    {
        return fetch(server.address(), { "GET", "/", {}, {} }, call_limit);
    }

    static result<http_response> fetch_answer(std::vector<std::string> pieces)
    {
        scripted_answer const server(std::move(pieces));
        return fetch_from(server);
    }

    struct streamed_answer {
        http_call_outcome outcome { http_call_outcome::not_sent };
        std::vector<std::uint16_t> statuses;
        std::string body;
    };

    static streamed_answer stream_answer(std::vector<std::string> pieces)
    {
        scripted_answer const server(std::move(pieces));
        streamed_answer answer;
        answer.outcome = http_call::create()->run(
            server.address(), { "GET", "/", {}, {} }, call_limit,
            [&](std::uint16_t status, std::string const&) { answer.statuses.push_back(status); },
            [&](std::string_view data) { answer.body += data; });
        return answer;
    }

    // Both ways to call report that the server did not answer, and no byte of it reaches the caller.
    static void check_is_no_answer(std::string const& bytes)
    {
        auto const fetched = fetch_answer({ bytes });
        CPPUNIT_ASSERT_MESSAGE(bytes, !fetched);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("read answer"), fetched.error().step);
        auto const streamed = stream_answer({ bytes });
        CPPUNIT_ASSERT_MESSAGE(bytes, streamed.outcome == http_call_outcome::interrupted);
        CPPUNIT_ASSERT_MESSAGE(bytes, streamed.statuses.empty() && streamed.body.empty());
    }

    static void check_is_answer(
        std::vector<std::string> const& pieces, std::uint16_t status, std::string const& expected_body)
    {
        auto const fetched = fetch_answer(pieces);
        CPPUNIT_ASSERT_MESSAGE(fetched ? "" : fetched.error().to_string(), fetched.has_value());
        CPPUNIT_ASSERT_EQUAL(status, fetched->status);
        CPPUNIT_ASSERT_EQUAL(expected_body, fetched->body);
        auto const streamed = stream_answer(pieces);
        CPPUNIT_ASSERT(streamed.outcome == http_call_outcome::complete);
        CPPUNIT_ASSERT(streamed.statuses == std::vector { status });
        CPPUNIT_ASSERT_EQUAL(expected_body, streamed.body);
    }

    void an_answer_is_read_whole()
    {
        check_is_answer({ "HTTP/1.1 200 OK\r\nContent-Le", "ngth: 5\r\n\r\nhel", "lo" }, 200, "hello");
        check_is_answer(
            { "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "lo\r\n1\r\n!\r\n", "0\r\n\r\n" },
            500, "hello!");
        check_is_answer({ "HTTP/1.1 200 OK\r\n\r\nhel", "lo" }, 200, "hello");
        check_is_answer({ "HTTP/1.1 204 No Content\r\n\r\n" }, 204, "");
        auto const typed
            = fetch_answer({ "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX: y\r\nContent-Length: 0\r\n\r\n" });
        CPPUNIT_ASSERT_EQUAL(std::string("a/b"), typed->content_type);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), typed->headers.at(1).value);
    }

    void an_answer_that_ends_early_is_broken()
    {
        for (auto const* const bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n" }) {
            CPPUNIT_ASSERT_MESSAGE(bytes, !fetch_answer({ bytes }));
            CPPUNIT_ASSERT_MESSAGE(bytes, stream_answer({ bytes }).outcome == http_call_outcome::interrupted);
        }
        check_is_no_answer("HTTP/1.1 200 OK\r\nContent-Len");
        check_is_no_answer("");
    }

    void a_status_out_of_range_is_no_answer()
    {
        for (auto const* const status : { "000", "001", "099", "600", "999" })
            check_is_no_answer("HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 3\r\n\r\nbad");
    }

    void the_answer_after_interim_answers_is_read()
    {
        check_is_answer({ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n", "\r\n",
                            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" },
            200, "good");
    }

    void an_interim_status_is_never_final()
    {
        for (auto const* const status : { "100", "101", "102", "199" }) {
            check_is_no_answer("HTTP/1.1 " + std::string(status) + " Name\r\n\r\n");
            check_is_no_answer("HTTP/1.1 " + std::string(status) + " Name\r\nContent-Length: 3\r\n\r\nbad");
        }
    }

    void an_answer_whose_length_is_in_doubt_is_broken()
    {
        for (auto const* const lines : { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
                 "Content-Length: 2\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n 0\r\n",
                 "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n" })
            check_is_no_answer("HTTP/1.1 200 OK\r\n" + std::string(lines) + "\r\nhi");
    }

    void a_malformed_field_is_no_part_of_an_answer()
    {
        for (auto const byte : { ' ', '\t', '\x01', '\x7f', '\xa0', '\0' }) {
            std::string const odd(1, byte);
            for (auto const& name : { odd + "Name", "Na" + odd + "me", "Name" + odd })
                check_is_no_answer("HTTP/1.1 200 OK\r\n" + name + ": value\r\nContent-Length: 3\r\n\r\nbad");
        }
    }

    void trailer_fields_are_no_header_fields()
    {
        auto const answer = fetch_answer({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                           "2\r\nhi\r\n0\r\nContent-Type: other\r\n\r\n" });
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("hi"), answer->body);
        CPPUNIT_ASSERT_EQUAL(std::string(), answer->content_type);
    }

    // Guards against a process that ends at an assertion of the parser.
    void an_empty_chunked_answer_may_arrive_in_pieces()
    {
        check_is_answer({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n", "\r", "\n" }, 200, "");
    }

    // Guards against a process that ends because it reserves the memory that a peer announces.
    void a_length_beyond_the_memory_ends_only_the_call()
    {
        CPPUNIT_ASSERT(!fetch_answer({ "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\nhi" }));
        CPPUNIT_ASSERT(!fetch_answer({ "HTTP/1.1 200 OK\r\nContent-Length: 90000000000000\r\n\r\nhi" }));
    }

    // The system buffers at most this much for the two ends of a connection.
    static constexpr std::size_t max_buffered_bytes = 16 * megabyte;

    static void check_is_not_kept(std::string const& beginning, std::string const& unit, std::size_t max_kept_bytes)
    {
        scripted_answer server({ beginning }, unit);
        CPPUNIT_ASSERT_MESSAGE(beginning, !fetch_from(server));
        CPPUNIT_ASSERT_MESSAGE(beginning, server.repeated_bytes() < max_kept_bytes + max_buffered_bytes);
    }

    void a_body_without_end_is_not_kept()
    {
        std::string const unit(65536, 'x');
        check_is_not_kept("HTTP/1.1 200 OK\r\n\r\n", unit, max_fetched_body_bytes);
        check_is_not_kept("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + unit + "\r\n",
            max_fetched_body_bytes);
    }

    void a_head_without_end_is_not_kept()
    {
        check_is_not_kept("HTTP/1.1 200 OK\r\n", "Name: " + std::string(65536, 'x') + "\r\n", 0);
        check_is_not_kept("HTTP/1.1 200 OK\r\nName: ", std::string(65536, 'x'), 0);
    }

    void a_chunk_line_without_end_is_not_kept()
    {
        check_is_not_kept("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", std::string(65536, 'x'), 0);
    }

    void a_trailer_without_end_is_not_kept()
    {
        check_is_not_kept(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", std::string(65536, 'x'), 0);
    }

    // The limit of a fetched body is no limit of a streamed one.
    void a_streamed_call_takes_a_body_without_end_in_parts()
    {
        scripted_answer server({ "HTTP/1.1 200 OK\r\n\r\n" }, std::string(65536, 'x'));
        std::size_t taken = 0;
        std::size_t largest = 0;
        auto const outcome = http_call::create()->run(
            server.address(), { "GET", "/", {}, {} }, call_limit, [](std::uint16_t, std::string const&) {},
            [&](std::string_view data) {
                taken += data.size();
                largest = std::max(largest, data.size());
            });
        CPPUNIT_ASSERT(outcome == http_call_outcome::complete);
        CPPUNIT_ASSERT_EQUAL(server.repeated_bytes(), taken);
        CPPUNIT_ASSERT(largest < megabyte);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace shedhill::net
