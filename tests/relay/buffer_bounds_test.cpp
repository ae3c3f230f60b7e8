// SPDX-License-Identifier: BSD-2-Clause
// Tests that what is kept of peers' bytes stays within its limits, whatever they send and in whichever pieces.
#include "libraries/relay/buffer_limits.h"
#include "services/shedhilld/caller_table.h"
#include "tests/relay/answer_relay.h"
#include "tests/support/property.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

namespace shedhill::relay {

namespace {

constexpr std::size_t megabyte = 1U << 20U;

// A peer that writes bytes as fast as they are read, and counts what it receives.
class writer final : public io_handler {
public:
    writer(event_loop& loop, std::string const& address)
        : m_socket(loop, *this)
    {
        (void)m_socket.connect(address);
    }

    void send(std::string const& bytes)
    {
        if (m_is_closed)
            return;
        m_socket.queue(bytes);
        if (m_is_connected)
            (void)m_socket.flush();
    }
    [[nodiscard]] std::string const& received() const { return m_received; }
    void close()
    {
        m_is_closed = true;
        m_socket.close();
    }

private:
    void on_ready(readiness ready) override
    {
        if (!m_is_connected)
            m_is_connected = m_socket.finish_connect();
        if (!m_is_connected || (ready.is_writable && !m_socket.flush()))
            return close();
        if (!ready.is_readable && !ready.is_closed)
            return;
        auto const [bytes, end] = m_socket.read();
        m_received += bytes;
        if (end != read_end::drained)
            close();
    }

    socket m_socket;
    bool m_is_connected { false };
    bool m_is_closed { false };
    std::string m_received;
};

// Keeps the requests that it receives unanswered, as a router does that waits for endpoints.
class waiting_router final : public caller_listener {
public:
    explicit waiting_router(event_loop& loop)
        : m_loop(loop)
        , m_callers(loop)
        , m_listener(loop, [this](int descriptor) { m_callers.accept(descriptor, milliseconds(0), *this); })
    {
        (void)m_listener.open("127.0.0.1:0");
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    [[nodiscard]] std::size_t accepted() const { return m_requests.size(); }
    [[nodiscard]] std::size_t refused() const { return m_refused; }
    void release_buffers()
    {
        if (m_loop.buffered().is_over_request_limit())
            (void)m_callers.refuse_incomplete_bodies();
    }

private:
    struct kept_request {
        kept_request(event_loop& loop, caller_request received)
            : request(std::move(received))
            , buffered(loop.buffered(), buffer_place::exchanges)
        {
            buffered.set(request.body().size());
        }
        caller_request request;
        buffered_bytes buffered;
    };

    void on_request(caller_connection&, caller_request request) override
    {
        m_requests.push_back(std::make_unique<kept_request>(m_loop, std::move(request)));
    }
    void on_bad_request(caller_connection& connection, bad_request const&) override { refuse(connection, 400); }
    void on_body_refused(caller_connection& connection, caller_request const&) override { refuse(connection, 503); }
    void on_caller_caught_up(caller_connection&) override { }
    void on_caller_disconnected(caller_connection& connection) override { m_callers.remove_later(connection.number()); }

    void refuse(caller_connection& connection, unsigned status)
    {
        ++m_refused;
        append_status_line(connection.out(), status, "Refused");
        connection.out() += "Content-Length: 0\r\nConnection: close\r\n\r\n";
        connection.finish_answer();
    }

    event_loop& m_loop;
    daemon::caller_table m_callers;
    std::vector<std::unique_ptr<kept_request>> m_requests;
    std::size_t m_refused { 0 };
    listener_socket m_listener;
};

std::string request_with_body(std::size_t size, bool is_chunked)
{
    std::string request = "POST / HTTP/1.1\r\nHost: x\r\n";
    if (!is_chunked)
        return request + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
    request += "Transfer-Encoding: chunked\r\n\r\n";
    append_chunk(request, std::string(size, 'x'));
    append_last_chunk(request);
    return request;
}

} // namespace

class buffer_bounds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(buffer_bounds_test);
    CPPUNIT_TEST(large_bodies_of_many_callers_are_refused_at_the_limit);
    CPPUNIT_TEST(a_body_without_room_is_refused_before_it_is_read);
    CPPUNIT_TEST(a_refusal_reaches_a_caller_that_goes_on_sending);
    CPPUNIT_TEST(what_callers_send_stays_within_the_limit);
    CPPUNIT_TEST(what_endpoints_send_stays_within_the_limits_of_its_place);
    CPPUNIT_TEST_SUITE_END();

    event_loop m_loop;

    static constexpr std::size_t limit = 8 * megabyte;

    // The sums of the router's places only; what the test's own peers have not written is in none of them.
    std::size_t kept_by_router()
    {
        auto const& buffered = m_loop.buffered();
        return buffered.bytes_at(buffer_place::incoming) + buffered.bytes_at(buffer_place::exchanges)
            + buffered.bytes_at(buffer_place::unparsed);
    }

    // Guards against a process that ends because many callers send whole, legal bodies at once.
    void large_bodies_of_many_callers_are_refused_at_the_limit()
    {
        for (bool const is_chunked : { false, true }) {
            constexpr std::size_t body_size = 1 * megabyte;
            constexpr std::size_t count = 24;
            waiting_router router(m_loop);
            std::vector<std::unique_ptr<writer>> callers;
            std::vector<std::string> unsent;
            for (std::size_t index = 0; index < count; ++index) {
                callers.push_back(std::make_unique<writer>(m_loop, router.address()));
                unsent.push_back(request_with_body(body_size, is_chunked));
            }
            m_loop.buffered().set_limit(limit);
            std::size_t most = 0;
            for (int round = 0; round < 4000 && router.accepted() + router.refused() < count; ++round) {
                for (std::size_t index = 0; index < count; ++index) {
                    callers[index]->send(unsent[index].substr(0, 16384));
                    unsent[index].erase(0, 16384);
                }
                m_loop.run_once(milliseconds(1));
                router.release_buffers();
                most = std::max(most, kept_by_router());
            }
            m_loop.buffered().set_limit(0);
            CPPUNIT_ASSERT_EQUAL(count, router.accepted() + router.refused());
            CPPUNIT_ASSERT(router.accepted() > 0);
            CPPUNIT_ASSERT(router.refused() > 0);
            // Between two releases each connection is read once.
            CPPUNIT_ASSERT(most <= limit + count * event_loop::read_buffer_size);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, kept_by_router());
    }

    void a_body_without_room_is_refused_before_it_is_read()
    {
        waiting_router router(m_loop);
        m_loop.buffered().set_limit(megabyte);
        writer caller(m_loop, router.address());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n");
        for (int round = 0; round < 400 && router.refused() == 0; ++round)
            m_loop.run_once(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, router.refused());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, kept_by_router());
    }

    // Guards against a refusal that is lost because the connection is reset while the caller still sends its body.
    void a_refusal_reaches_a_caller_that_goes_on_sending()
    {
        waiting_router router(m_loop);
        m_loop.buffered().set_limit(megabyte);
        writer caller(m_loop, router.address());
        caller.send(request_with_body(2 * megabyte, false));
        for (int round = 0; round < 400 && caller.received().empty(); ++round)
            m_loop.run_once(milliseconds(1));
        CPPUNIT_ASSERT(caller.received().starts_with("HTTP/1.1 503 "));
    }

    static std::string draw_bytes(std::size_t max_filler)
    {
        std::string bytes;
        auto const fragments = *rc::gen::inRange(1, 8);
        for (int fragment = 0; fragment < fragments; ++fragment) {
            bytes += *rc::gen::element<std::string>("POST / HTTP/1.1\r\nHost: x\r\n", "Transfer-Encoding: chunked\r\n",
                "Content-Length: 900000\r\n", "\r\n", "\r\n\r\n", "5\r\nhello\r\n", "fffff\r\n", "5;", "0\r\n",
                "0\r\nX: ", "X: y\r\n", "\n", "HTTP/1.1 200 OK\r\nShedhill-Request-Id: r1\r\n",
                "HTTP/1.1 500 Failed\r\nShedhill-Request-Id: r1\r\n", "Shedhill-Server-Signature: s\r\n",
                "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n", "HTTP/1.1 100 Continue\r\n\r\n", ": ");
            if (*rc::gen::inRange(0, 3) == 0)
                bytes += std::string(
                    *rc::gen::inRange<std::size_t>(1, max_filler), *rc::gen::element('x', '\n', ':', '0', '\0'));
        }
        return bytes;
    }

    // Returns whether the next bytes are to be sent in a piece of this size.
    static std::string take_piece(std::string& bytes)
    {
        auto const size = std::min<std::size_t>(bytes.size(), *rc::gen::element<std::size_t>(1, 7, 4000, 300000));
        auto piece = bytes.substr(0, size);
        bytes.erase(0, size);
        return piece;
    }

    void what_callers_send_stays_within_the_limit()
    {
        testing::check_property("what callers send stays within the limit", [this] {
            constexpr std::size_t small_limit = megabyte / 2;
            m_loop.buffered().set_limit(0);
            {
                waiting_router router(m_loop);
                std::vector<std::unique_ptr<writer>> callers;
                auto const count = *rc::gen::inRange<std::size_t>(1, 5);
                std::vector<std::string> unsent;
                for (std::size_t index = 0; index < count; ++index) {
                    callers.push_back(std::make_unique<writer>(m_loop, router.address()));
                    unsent.push_back(draw_bytes(400000));
                }
                for (int piece = 0; piece < 60; ++piece) {
                    for (std::size_t index = 0; index < count; ++index)
                        callers[index]->send(take_piece(unsent[index]));
                    // The peers' own queues do not count as the router's.
                    m_loop.buffered().set_limit(small_limit + m_loop.buffered().bytes_at(buffer_place::unwritten));
                    m_loop.run_once(milliseconds(0));
                    router.release_buffers();
                    RC_ASSERT(kept_by_router() <= small_limit + 2 * count * event_loop::read_buffer_size);
                }
                callers.clear();
                for (int round = 0; round < 50; ++round)
                    m_loop.run_once(milliseconds(0));
                RC_ASSERT(m_loop.buffered().bytes_at(buffer_place::incoming) == 0U);
            }
            RC_ASSERT(m_loop.buffered().bytes() == 0U);
        });
    }

    void what_endpoints_send_stays_within_the_limits_of_its_place()
    {
        testing::check_property("what endpoints send stays within the limits of its place", [this] {
            m_loop.buffered().set_limit(0);
            std::size_t most_unparsed = 0;
            std::size_t most_withheld = 0;
            {
                answer_relay relay(m_loop);
                auto const begin = *rc::gen::element<std::string>(
                    "", "HTTP/1.1 200 OK\r\nShedhill-Request-Id: r1\r\nShedhill-Server-Signature: s\r\n");
                relay.add_endpoint(begin + draw_bytes(6 * megabyte), after_reply::stay);
                relay.set_after_round([&] {
                    auto const& buffered = m_loop.buffered();
                    most_unparsed = std::max(most_unparsed, buffered.bytes_at(buffer_place::unparsed));
                    most_withheld = std::max(most_withheld, buffered.bytes_at(buffer_place::exchanges));
                });
                (void)relay.run(150);
            }
            RC_ASSERT(most_unparsed <= max_answer_head_bytes);
            RC_ASSERT(most_withheld <= max_withheld_bytes);
            RC_ASSERT(m_loop.buffered().bytes() == 0U);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(buffer_bounds_test);

} // namespace shedhill::relay
