// SPDX-License-Identifier: BSD-2-Clause
// Tests calls to servers that follow or violate the HTTP protocol.
#include "libraries/relay/call_connection.h"

#include "tests/relay/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace shedhill::relay {

class call_connection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_connection_test);
    CPPUNIT_TEST(an_answer_with_a_length_keeps_the_connection_open);
    CPPUNIT_TEST(a_chunked_answer_is_delivered_in_parts);
    CPPUNIT_TEST(an_answer_without_a_length_ends_with_the_connection);
    CPPUNIT_TEST(an_answer_without_a_length_that_is_reset_is_broken);
    CPPUNIT_TEST(a_truncated_body_is_broken);
    CPPUNIT_TEST(an_invalid_answer_breaks_the_call);
    CPPUNIT_TEST(bytes_after_the_answer_end_the_connection);
    CPPUNIT_TEST(a_late_answer_to_an_earlier_call_is_skipped);
    CPPUNIT_TEST(bytes_on_an_idle_connection_close_it);
    CPPUNIT_TEST(an_answer_whose_length_is_in_doubt_is_broken);
    CPPUNIT_TEST(an_empty_chunked_answer_may_arrive_in_pieces);
    CPPUNIT_TEST(a_chunk_line_without_end_breaks_the_call);
    CPPUNIT_TEST(a_trailer_without_end_breaks_the_call);
    CPPUNIT_TEST(an_answer_that_nobody_asked_for_does_not_answer_the_next_call);
    CPPUNIT_TEST(a_call_to_a_closed_port_is_not_sent);
    CPPUNIT_TEST(an_answer_before_the_call_was_read_ends_the_connection);
    CPPUNIT_TEST(a_connection_close_field_is_obeyed);
    CPPUNIT_TEST(an_abandoned_call_makes_no_callbacks);
    CPPUNIT_TEST_SUITE_END();

    class collected_call final : public call_listener {
    public:
        head_decision on_head(answer_head const& head) override
        {
            statuses.push_back(head.result_int());
            auto const id = field_of(head, "Id");
            return expected_id.empty() || id == expected_id ? head_decision::accept : head_decision::skip;
        }
        void on_data(std::string_view data) override { body += data; }
        void on_call_end(call_end ended) override { end = ended; }

        std::string expected_id;
        std::vector<unsigned> statuses;
        std::string body;
        std::optional<call_end> end;
    };

    static constexpr char const* simple_call = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    event_loop m_loop;

    void run_until_ended(collected_call const& call)
    {
        for (int round = 0; round < 400 && !call.end; ++round)
            m_loop.run_once(milliseconds(5));
    }

    void run_several_rounds()
    {
        for (int round = 0; round < 10; ++round)
            m_loop.run_once(milliseconds(2));
    }

    struct started_call {
        std::shared_ptr<call_connection> connection;
        std::unique_ptr<collected_call> call;
    };

    started_call run_call(std::string const& address, std::string call = simple_call)
    {
        started_call started { std::make_shared<call_connection>(m_loop), std::make_unique<collected_call>() };
        started.connection->start(address, std::move(call), *started.call);
        run_until_ended(*started.call);
        return started;
    }

    void an_answer_with_a_length_keeps_the_connection_open()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nhi");
        server.add("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        auto const first = run_call(server.address());
        CPPUNIT_ASSERT(first.call->end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("hi"), first.call->body);
        CPPUNIT_ASSERT(first.connection->is_idle());
        // 70 percent of the timeout that the server announced.
        CPPUNIT_ASSERT(first.connection->reusable_until() - first.connection->idle_since() == milliseconds(7000));
        collected_call second;
        first.connection->start(server.address(), simple_call, second);
        run_until_ended(second);
        CPPUNIT_ASSERT(second.end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, server.connections());
    }

    void a_chunked_answer_is_delivered_in_parts()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
        started_call started { std::make_shared<call_connection>(m_loop), std::make_unique<collected_call>() };
        started.connection->start(server.address(), simple_call, *started.call);
        for (int round = 0; round < 400 && started.call->body.empty(); ++round)
            m_loop.run_once(milliseconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("hel"), started.call->body);
        server.send("lo\r\n1\r\n!\r\n0\r\n\r\n");
        run_until_ended(*started.call);
        CPPUNIT_ASSERT_EQUAL(std::string("hello!"), started.call->body);
        CPPUNIT_ASSERT(started.call->end == call_end::complete);
    }

    void an_answer_without_a_length_ends_with_the_connection()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\n\r\nall of it", after_reply::close);
        auto const started = run_call(server.address());
        CPPUNIT_ASSERT(started.call->end == call_end::closed);
        CPPUNIT_ASSERT_EQUAL(std::string("all of it"), started.call->body);
        CPPUNIT_ASSERT(!started.connection->is_open());
    }

    void an_answer_without_a_length_that_is_reset_is_broken()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\n\r\nhalf of", after_reply::reset);
        CPPUNIT_ASSERT(run_call(server.address()).call->end == call_end::broken);
    }

    void a_truncated_body_is_broken()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", after_reply::close);
        CPPUNIT_ASSERT(run_call(server.address()).call->end == call_end::broken);
    }

    void an_invalid_answer_breaks_the_call()
    {
        scripted_server server(m_loop);
        server.add("\x01\x02 no answer\r\n\r\n");
        CPPUNIT_ASSERT(run_call(server.address()).call->end == call_end::broken);
    }

    void bytes_after_the_answer_end_the_connection()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        auto const started = run_call(server.address());
        CPPUNIT_ASSERT(started.call->end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("hi"), started.call->body);
        CPPUNIT_ASSERT(!started.connection->is_idle());
    }

    void a_late_answer_to_an_earlier_call_is_skipped()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: new\r\n"
                   "Content-Length: 3\r\n\r\nnew");
        started_call started { std::make_shared<call_connection>(m_loop), std::make_unique<collected_call>() };
        started.call->expected_id = "new";
        started.connection->start(server.address(), simple_call, *started.call);
        run_until_ended(*started.call);
        CPPUNIT_ASSERT(started.call->end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), started.call->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, started.call->statuses.size());
    }

    void bytes_on_an_idle_connection_close_it()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        auto const started = run_call(server.address());
        CPPUNIT_ASSERT(started.connection->is_idle());
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        run_several_rounds();
        CPPUNIT_ASSERT(!started.connection->is_idle());
    }

    // Guards against an answer whose end is found elsewhere than its sender meant it: with a coding other than chunked,
    // all further bytes were forwarded as a whole answer without the name of the coding.
    void an_answer_whose_length_is_in_doubt_is_broken()
    {
        for (auto const* const lines : { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
                 "Content-Length: 2\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n 0\r\n" }) {
            scripted_server server(m_loop);
            server.add("HTTP/1.1 200 OK\r\n" + std::string(lines) + "\r\nhi", after_reply::close);
            auto const ended = run_call(server.address());
            CPPUNIT_ASSERT_MESSAGE(lines, ended.call->end == call_end::broken);
            CPPUNIT_ASSERT(ended.call->body.empty());
        }
    }

    static constexpr std::size_t megabyte = 1U << 20U;

    // Guards against a process whose memory grows with a chunk line that an endpoint never ends.
    void a_chunk_line_without_end_breaks_the_call()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n5;" + std::string(megabyte, 'x'));
        CPPUNIT_ASSERT(run_call(server.address()).call->end == call_end::broken);
    }

    // Guards against a process whose memory grows with a trailer that an endpoint never ends.
    void a_trailer_without_end_breaks_the_call()
    {
        scripted_server server(m_loop);
        server.add(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: " + std::string(megabyte, 'x'));
        CPPUNIT_ASSERT(run_call(server.address()).call->end == call_end::broken);
    }

    // Guards against a process that ends at an assertion of the parser.
    void an_empty_chunked_answer_may_arrive_in_pieces()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        started_call started { std::make_shared<call_connection>(m_loop), std::make_unique<collected_call>() };
        started.connection->start(server.address(), simple_call, *started.call);
        run_several_rounds();
        server.send("\r");
        run_several_rounds();
        CPPUNIT_ASSERT(!started.call->end);
        server.send("\n");
        run_until_ended(*started.call);
        CPPUNIT_ASSERT(started.call->end == call_end::complete);
    }

    // Guards against a caller that gets the answer to another request: an endpoint sent a second answer to one call,
    // and the next call began on the connection before the event loop had seen it.
    void an_answer_that_nobody_asked_for_does_not_answer_the_next_call()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
        auto const first = run_call(server.address());
        CPPUNIT_ASSERT(first.connection->is_idle());
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        collected_call second;
        first.connection->start(server.address(), simple_call, second);
        run_until_ended(second);
        CPPUNIT_ASSERT(second.end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("own"), second.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, server.connections());
    }

    void a_call_to_a_closed_port_is_not_sent()
    {
        std::string address;
        {
            scripted_server const closed_server(m_loop);
            address = closed_server.address();
        }
        CPPUNIT_ASSERT(run_call(address).call->end == call_end::not_sent);
        CPPUNIT_ASSERT(run_call("not an address").call->end == call_end::not_sent);
    }

    void an_answer_before_the_call_was_read_ends_the_connection()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n", after_reply::stay);
        std::string const body(std::size_t { 40 } << 20U, 'x');
        auto const started = run_call(server.address(),
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        CPPUNIT_ASSERT(started.call->end.has_value());
        // The rest of the body must not be sent as part of another call.
        CPPUNIT_ASSERT(!started.connection->is_idle());
    }

    void a_connection_close_field_is_obeyed()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(!run_call(server.address()).connection->is_idle());
    }

    void an_abandoned_call_makes_no_callbacks()
    {
        scripted_server server(m_loop);
        server.add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        auto const connection = std::make_shared<call_connection>(m_loop);
        collected_call call;
        connection->start(server.address(), simple_call, call);
        connection->abandon();
        run_several_rounds();
        CPPUNIT_ASSERT(!call.end);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_connection_test);

} // namespace shedhill::relay
