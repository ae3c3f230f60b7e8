// SPDX-License-Identifier: BSD-2-Clause
// Tests callers that send complete, truncated, chunked, pipelined and smuggled requests, and the parsing of event
// streams.
#include "libraries/relay/caller_connection.h"

#include "libraries/relay/event_stream.h"
#include "tests/relay/scripted_server.h"
#include "tests/support/property.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace shedhill::relay {

class caller_connection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_connection_test);
    CPPUNIT_TEST(a_chunked_body_is_read_whole);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(a_smuggled_request_is_refused);
    CPPUNIT_TEST(a_request_in_a_body_of_unknown_length_is_not_run);
    CPPUNIT_TEST(trailer_fields_are_no_header_fields);
    CPPUNIT_TEST(each_byte_belongs_to_one_request_or_to_a_refusal);
    CPPUNIT_TEST(limits_are_enforced);
    CPPUNIT_TEST(a_chunk_line_without_end_is_refused);
    CPPUNIT_TEST(a_trailer_without_end_is_refused);
    CPPUNIT_TEST(changed_limits_apply_to_the_next_request_of_an_open_connection);
    CPPUNIT_TEST(a_close_by_the_caller_is_reported);
    CPPUNIT_TEST(a_request_whose_caller_has_left_is_not_started);
    CPPUNIT_TEST(an_answer_reaches_a_caller_that_is_released);
    CPPUNIT_TEST(a_broken_answer_does_not_look_whole);
    CPPUNIT_TEST(an_unframed_answer_ends_in_an_orderly_way_only_if_it_is_whole);
    CPPUNIT_TEST(only_whole_events_are_forwarded);
    CPPUNIT_TEST(repeated_events_are_omitted);
    CPPUNIT_TEST(a_missing_event_is_detected);
    CPPUNIT_TEST(an_answer_that_was_not_written_yet_does_not_wait_for_its_caller);
    CPPUNIT_TEST(a_connection_after_a_calm_time_has_not_waited);
    CPPUNIT_TEST_SUITE_END();

    // The caller's end of a caller_connection.
    class client final : public io_handler {
    public:
        client(event_loop& loop, std::string const& address)
            : m_socket(loop, *this)
        {
            (void)m_socket.connect(address);
        }
        void send(std::string const& bytes)
        {
            m_socket.queue(bytes);
            if (m_is_connected)
                (void)m_socket.flush();
        }
        void close() { m_socket.close(); }
        std::string received;
        bool is_closed { false };
        bool is_reset { false };

    private:
        void on_ready(readiness) override
        {
            if (!m_is_connected) {
                m_is_connected = m_socket.finish_connect();
                (void)m_socket.flush();
                return;
            }
            auto const [bytes, end] = m_socket.read();
            received += bytes;
            if (end != read_end::drained) {
                is_closed = true;
                is_reset = end == read_end::failed;
                m_socket.close();
            }
        }
        socket m_socket;
        bool m_is_connected { false };
    };

    class server final : public caller_listener {
    public:
        explicit server(event_loop& loop, read_limits limits = {})
            : m_listener(loop, [this, &loop, limits](int descriptor) {
                max_unaccepted_time = m_listener.max_unaccepted_time();
                connection = std::make_shared<caller_connection>(loop, 1, static_cast<caller_listener&>(*this), limits);
                connection->open(descriptor);
            })
        {
            (void)m_listener.open("127.0.0.1:0");
        }
        [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
        [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

        void on_request(caller_connection& from, caller_request request) override
        {
            requests.push_back(std::move(request));
            if (answers_immediately)
                answer(from);
        }
        static void answer(caller_connection& to)
        {
            to.out() += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            to.finish_answer();
        }
        void on_bad_request(caller_connection& from, bad_request const& refused) override
        {
            bad_status = refused.status;
            bad_reason = refused.reason;
            from.out() += "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            from.finish_answer();
        }
        void on_body_refused(caller_connection& from, caller_request const&) override
        {
            from.out() += "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            from.finish_answer();
        }
        void on_caller_caught_up(caller_connection&) override { }
        void on_caller_disconnected(caller_connection&) override { is_disconnected = true; }

        bool answers_immediately { true };
        milliseconds max_unaccepted_time { 0 };
        std::vector<caller_request> requests;
        unsigned bad_status { 0 };
        std::string bad_reason;
        bool is_disconnected { false };
        std::shared_ptr<caller_connection> connection;

    private:
        listener_socket m_listener;
    };

    event_loop m_loop;

    template <typename Condition>
    void run_until(Condition&& condition)
    {
        for (int round = 0; round < 400 && !condition(); ++round)
            m_loop.run_once(milliseconds(5));
    }

    void a_chunked_body_is_read_whole()
    {
        server served(m_loop);
        client caller(m_loop, served.address());
        caller.send("POST /a?b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        run_until([&] { return served.connection != nullptr; });
        caller.send("2\r\nde\r\n0\r\n\r\n");
        run_until([&] { return !served.requests.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), served.requests.at(0).body());
        CPPUNIT_ASSERT_EQUAL(std::string("/a?b"), std::string(served.requests.at(0).target()));
    }

    void pipelined_requests_are_answered_in_order()
    {
        server served(m_loop);
        client caller(m_loop, served.address());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /3 HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n");
        run_until([&] { return caller.is_closed; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, served.requests.size());
        CPPUNIT_ASSERT(caller.is_closed);
    }

    void a_smuggled_request_is_refused()
    {
        server served(m_loop);
        client caller(m_loop, served.address());
        caller.send(
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /"
            " HTTP/1.1\r\n\r\n");
        run_until([&] { return served.bad_status != 0; });
        CPPUNIT_ASSERT_EQUAL(400U, served.bad_status);
        CPPUNIT_ASSERT(served.requests.empty());
    }

    static constexpr char const* inner_request = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";

    // Guards against requests that nobody sent: a request whose transfer coding is not chunked was run without its
    // body, and the body was run as the next request.
    void a_request_in_a_body_of_unknown_length_is_not_run()
    {
        for (auto const* const coding : { "gzip", "identity", "deflate" }) {
            server served(m_loop);
            client caller(m_loop, served.address());
            caller.send("POST /outer HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n"
                + inner_request);
            run_until([&] { return caller.is_closed; });
            CPPUNIT_ASSERT_EQUAL(400U, served.bad_status);
            CPPUNIT_ASSERT(served.bad_reason.find(coding) != std::string::npos);
            CPPUNIT_ASSERT(served.requests.empty());
            CPPUNIT_ASSERT(caller.is_closed);
        }
    }

    // Guards against a caller whose trailer fields stand beside its header fields, under the same names.
    void trailer_fields_are_no_header_fields()
    {
        server served(m_loop);
        client caller(m_loop, served.address());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nX-Key: one\r\n\r\n"
                    "4\r\nbody\r\n0\r\nX-Key: two\r\nX-Other: three\r\n\r\n");
        run_until([&] { return !served.requests.empty(); });
        auto const& request = served.requests.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), request.body());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, request.count("X-Key"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), std::string(request["X-Key"]));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, request.count("X-Other"));
    }

    // Draws a request that is framed without doubt, and records its body.
    static std::string draw_valid_request(std::vector<std::string>& bodies)
    {
        auto const body = *rc::gen::element<std::string>("", "text", inner_request, "0\r\n\r\n", "\r\n\r\n");
        auto const framing = *rc::gen::inRange(0, 4);
        std::string const start = "POST / HTTP/1.1\r\nHost: x\r\n";
        if (framing == 0) {
            bodies.emplace_back();
            return start + "\r\n";
        }
        bodies.push_back(body);
        if (framing == 1)
            return start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string chunks;
        auto const chunk_size = *rc::gen::inRange<std::size_t>(1, 9);
        for (std::size_t at = 0; at < body.size(); at += chunk_size)
            append_chunk(chunks, std::string_view(body).substr(at, chunk_size));
        auto const* const trailer = framing == 2 ? "" : "Content-Type: inner\r\n";
        return start + "Transfer-Encoding: " + (framing == 2 ? "chunked" : "Chunked ") + "\r\n\r\n" + chunks + "0\r\n"
            + trailer + "\r\n";
    }

    static std::string draw_doubtful_request()
    {
        auto const lines = *rc::gen::element<std::string>("Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked, gzip\r\n",
            "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked;x=y\r\n", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 5\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: +5\r\n", "Content-Length: 5, 5\r\n",
            "Content-Length: 99999999999999999999\r\n", "Content-Length : 5\r\n", "X: y\nContent-Length: 5\r\n",
            "X: y\rContent-Length: 5\r\n", "Content-Length: 5\r\n 0\r\n", "X: y\r\n Content-Length: 5\r\n");
        return "POST / HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n" + inner_request;
    }

    // Guards against a caller's bytes that are taken for a request that it did not send, whatever the head says and
    // wherever the network cuts the bytes.
    void each_byte_belongs_to_one_request_or_to_a_refusal()
    {
        testing::check_property("each byte belongs to one request or to a refusal", [this] {
            std::vector<std::string> bodies;
            std::string bytes;
            auto const requests = *rc::gen::inRange(0, 4);
            for (int request = 0; request < requests; ++request)
                bytes += draw_valid_request(bodies);
            bool const is_doubtful = *rc::gen::arbitrary<bool>();
            if (is_doubtful)
                bytes += draw_doubtful_request() + inner_request;
            server served(m_loop);
            client caller(m_loop, served.address());
            run_until([&] { return served.connection != nullptr; });
            while (!bytes.empty()) {
                auto const size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
                caller.send(bytes.substr(0, size));
                bytes.erase(0, size);
                m_loop.run_once(milliseconds(1));
            }
            run_until([&] { return is_doubtful ? caller.is_closed : served.requests.size() >= bodies.size(); });
            RC_ASSERT(served.requests.size() == bodies.size());
            for (std::size_t index = 0; index < bodies.size(); ++index)
                RC_ASSERT(served.requests[index].body() == bodies[index]);
            RC_ASSERT(served.bad_status == (is_doubtful ? 400U : 0U));
            RC_ASSERT(caller.is_closed == is_doubtful);
        });
    }

    void limits_are_enforced()
    {
        server served(m_loop, { 200, 10 });
        client large_body(m_loop, served.address());
        large_body.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\nabcdefghijk");
        run_until([&] { return served.bad_status != 0; });
        CPPUNIT_ASSERT_EQUAL(413U, served.bad_status);
        served.bad_status = 0;
        client large_header(m_loop, served.address());
        large_header.send("GET / HTTP/1.1\r\nHost: x\r\nWords: " + std::string(300, 'w') + "\r\n\r\n");
        run_until([&] { return served.bad_status != 0; });
        CPPUNIT_ASSERT_EQUAL(431U, served.bad_status);
    }

    // Sends a request that begins like this and never ends, and returns the reason of its refusal.
    std::string refusal_of_endless_request(std::string const& begin)
    {
        server served(m_loop);
        client caller(m_loop, served.address());
        caller.send(
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + begin + std::string(1U << 20U, 'x'));
        run_until([&] { return served.bad_status != 0; });
        CPPUNIT_ASSERT_EQUAL(431U, served.bad_status);
        CPPUNIT_ASSERT(served.requests.empty());
        return served.bad_reason;
    }

    // Guards against a process whose memory grows with a chunk line that a caller never ends.
    void a_chunk_line_without_end_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a chunk line is larger than max_header_bytes, 16384"),
            refusal_of_endless_request("2\r\nhi\r\n5;"));
    }

    // Guards against a process whose memory grows with a trailer that a caller never ends.
    void a_trailer_without_end_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("the trailer is larger than max_header_bytes, 16384"),
            refusal_of_endless_request("2\r\nhi\r\n0\r\nX: "));
    }

    // Guards against callers that are refused with 413 on a kept connection after operators have raised the limit.
    void changed_limits_apply_to_the_next_request_of_an_open_connection()
    {
        server served(m_loop, { 200, 10 });
        client caller(m_loop, served.address());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab");
        run_until([&] { return served.requests.size() == 1; });
        served.connection->set_limits({ 400, 20 });
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nWords: " + std::string(250, 'w')
            + "\r\nContent-Length: 11\r\n\r\nabcdefghijk");
        run_until([&] { return served.requests.size() == 2 || served.bad_status != 0; });
        CPPUNIT_ASSERT_EQUAL(0U, served.bad_status);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, served.requests.size());
        served.connection->set_limits({ 400, 10 });
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\nabcdefghijk");
        run_until([&] { return served.bad_status != 0; });
        CPPUNIT_ASSERT_EQUAL(413U, served.bad_status);
    }

    void a_close_by_the_caller_is_reported()
    {
        server served(m_loop);
        served.answers_immediately = false;
        client caller(m_loop, served.address());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        run_until([&] { return !served.requests.empty(); });
        CPPUNIT_ASSERT(!served.is_disconnected);
        caller.close();
        run_until([&] { return served.is_disconnected; });
        CPPUNIT_ASSERT(served.is_disconnected);
    }

    void a_request_whose_caller_has_left_is_not_started()
    {
        server served(m_loop);
        // The caller sends a request and closes before the loop runs.
        auto const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(served.port());
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const generic
            = reinterpret_cast<sockaddr*>(&target); // NOLINT: the POSIX socket interface requires this cast
        CPPUNIT_ASSERT_EQUAL(0, ::connect(descriptor, generic, sizeof(target)));
        std::string const request = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
        CPPUNIT_ASSERT(::send(descriptor, request.data(), request.size(), 0) > 0);
        ::close(descriptor);
        run_until([&] { return served.is_disconnected; });
        CPPUNIT_ASSERT(served.is_disconnected);
        CPPUNIT_ASSERT(served.requests.empty());
    }

    // Guards against the loss of an answer that was completed, but not yet written, when a stopping router releases its
    // callers.
    void an_answer_reaches_a_caller_that_is_released()
    {
        server served(m_loop);
        served.answers_immediately = false;
        client caller(m_loop, served.address());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until([&] { return !served.requests.empty(); });
        server::answer(*served.connection);
        served.connection->close_after_flush();
        run_until([&] { return caller.is_closed; });
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(served.is_disconnected);
    }

    void a_broken_answer_does_not_look_whole()
    {
        server served(m_loop);
        served.answers_immediately = false;
        client caller(m_loop, served.address());
        caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        run_until([&] { return !served.requests.empty(); });
        served.connection->out() += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
        served.connection->abort_answer();
        run_until([&] { return caller.is_closed; });
        CPPUNIT_ASSERT(caller.received.ends_with("2\r\nab\r\n"));
    }

    // The connection ends as by the end of the process if its object is destroyed in the middle of the answer.
    void an_unframed_answer_ends_in_an_orderly_way_only_if_it_is_whole()
    {
        enum class answer_end { finished, aborted, destroyed };
        for (auto const end : { answer_end::finished, answer_end::aborted, answer_end::destroyed }) {
            server served(m_loop);
            served.answers_immediately = false;
            client caller(m_loop, served.address());
            caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
            run_until([&] { return !served.requests.empty(); });
            served.connection->begin_unframed_answer();
            served.connection->out() += "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab";
            run_until([&] { return caller.received.ends_with("ab"); });
            CPPUNIT_ASSERT(!caller.is_closed);
            if (end == answer_end::finished)
                served.connection->finish_answer();
            else if (end == answer_end::aborted)
                served.connection->abort_answer();
            else
                served.connection.reset();
            run_until([&] { return caller.is_closed; });
            CPPUNIT_ASSERT(caller.is_closed);
            CPPUNIT_ASSERT(caller.is_reset == (end != answer_end::finished));
        }
    }

    void only_whole_events_are_forwarded()
    {
        event_stream stream;
        std::string events;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, stream.feed("id: 1\ndata: a\n\nid: 2\nda", events));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), events);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), stream.last_id());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, stream.feed("ta: b\r\n\r\n", events));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), stream.last_id());
        CPPUNIT_ASSERT(stream.partial().empty());
    }

    void repeated_events_are_omitted()
    {
        event_stream stream;
        std::string events;
        stream.feed("id: 1\n\nid: 2\n\nid: 3\nda", events);
        // Another endpoint resumes the stream one event too early.
        stream.drop_partial();
        events.clear();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, stream.feed("id: 2\n\nid: 3\n\n", events));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 3\n\n"), events);
        CPPUNIT_ASSERT(!stream.has_gap());
    }

    void a_missing_event_is_detected()
    {
        event_stream stream;
        std::string events;
        stream.feed("id: 1\n\n", events);
        stream.feed("id: 3\n\n", events);
        CPPUNIT_ASSERT(stream.has_gap());
    }

    static inline boot_clock::time_point s_time {};
    static boot_clock::time_point test_time() { return s_time; }

    static void run_some(event_loop& loop)
    {
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round)
            loop.run_once(milliseconds(1));
    }

    static constexpr milliseconds long_time { 400 };

    // Guards against a kept connection that is closed before its answer is written, because the one before was long
    // ago.
    void an_answer_that_was_not_written_yet_does_not_wait_for_its_caller()
    {
        event_loop loop { test_time };
        server tested(loop);
        client caller(loop, tested.address());
        caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        run_some(loop);
        tested.answers_immediately = false;
        s_time += milliseconds(60000);
        caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        run_some(loop);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, tested.requests.size());
        // The answer is written at the end of the loop's next round.
        server::answer(*tested.connection);
        CPPUNIT_ASSERT(tested.connection->has_unwritten());
        CPPUNIT_ASSERT(tested.connection->unread_answer_time() == milliseconds(0));
        CPPUNIT_ASSERT(!tested.connection->is_caller_silent());
    }

    // Sixteen connections are accepted at once, and a caller connects much later, while the loop looks all the time.
    void a_connection_after_a_calm_time_has_not_waited()
    {
        event_loop loop { test_time };
        server tested(loop);
        constexpr std::size_t accepted_at_once = 16;
        std::vector<std::unique_ptr<client>> callers;
        for (std::size_t index = 0; index < accepted_at_once; ++index)
            callers.push_back(std::make_unique<client>(loop, tested.address()));
        run_some(loop);
        for (int step = 0; step < 10; ++step) {
            s_time += long_time / 40;
            run_some(loop);
        }
        client late(loop, tested.address());
        run_some(loop);
        CPPUNIT_ASSERT(tested.max_unaccepted_time <= long_time / 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_connection_test);

} // namespace shedhill::relay
