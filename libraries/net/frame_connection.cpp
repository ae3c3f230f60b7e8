// SPDX-License-Identifier: BSD-2-Clause
// Implements framed connections, their handshake and their listener.
#include "libraries/net/frame_connection.h"

#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/net/fibers.h"
#include "libraries/net/keys.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace shedhill::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Sizes in bytes.
constexpr std::size_t nonce_size = 16;
constexpr std::size_t read_size = 16384;
// The limit of unsent bytes in a connection's queue. A connection whose peer reads too slowly is aborted.
constexpr std::size_t max_queued_bytes = std::size_t { 64 } << 20;
// While more bytes than this are unsent, senders without end wait. It is far below the limit above, so that the answers
// of all slots together stay below that limit too.
constexpr std::size_t max_unsent_bytes = std::size_t { 1 } << 20;
constexpr std::chrono::milliseconds handshake_limit { 3000 };
constexpr std::size_t max_handshake_frame_size = 4096;

traffic_counts& traffic()
{
    static traffic_counts counts;
    return counts;
}

void count_traffic(wire::message const& message, std::size_t frame_size)
{
    auto& counts = traffic();
    ++counts.frames;
    std::optional<std::size_t> payload;
    if (auto const* run = std::get_if<wire::run>(&message))
        payload = run->body.size();
    else if (auto const* chunk = std::get_if<wire::chunk>(&message))
        payload = chunk->data.size();
    else if (std::holds_alternative<wire::finished>(message))
        payload = 0;
    if (!payload) {
        counts.control_bytes += frame_size;
        return;
    }
    counts.payload_bytes += *payload;
    counts.forwarding_bytes += frame_size - *payload;
}

std::string proof_input(wire::hello const& prover, wire::hello const& challenger, std::string_view side)
{
    return std::string(side) + "|" + prover.vm.value() + "|" + std::to_string(prover.epoch.value()) + "|"
        + std::to_string(static_cast<int>(prover.role)) + "|" + prover.nonce + "|" + challenger.nonce;
}

// Aborts the connection unless it is destroyed before the time limit expires.
class abort_timer {
public:
    abort_timer(frame_connection& limited, std::chrono::milliseconds limit)
        : m_timer(process_io_context(), limit)
    {
        m_timer.async_wait([weak = limited.weak_from_this()](boost::system::error_code failure) {
            auto connection = weak.lock();
            if (!failure && connection)
                connection->abort();
        });
    }

private:
    asio::steady_timer m_timer;
};

} // namespace

frame_connection::frame_connection(tcp::socket socket, std::string peer_address)
    : m_socket(std::move(socket))
    , m_peer(std::move(peer_address))
    , m_frame_limit(max_handshake_frame_size)
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

result<wire::hello> frame_connection::perform_handshake(
    process_identity const& self, handshake_side side, revision current)
{
    abort_timer const timer(*this, handshake_limit);
    wire::hello const own_hello { self.vm, self.role, self.epoch, random_bytes(nonce_size), current };
    send(own_hello);
    auto const first = TRY(read());
    auto const* peer_hello = std::get_if<wire::hello>(&first);
    if (peer_hello == nullptr || peer_hello->nonce.size() != nonce_size)
        return fail("handshake", m_peer, "the first message is not a valid hello");
    auto const is_connecting = side == handshake_side::connecting;
    send(wire::proof {
        hmac_sha256(self.key, proof_input(own_hello, *peer_hello, is_connecting ? "connect" : "accept")) });
    auto const second = TRY(read());
    auto const* proof = std::get_if<wire::proof>(&second);
    auto const expected
        = hmac_sha256(self.key, proof_input(*peer_hello, own_hello, is_connecting ? "accept" : "connect"));
    if (proof == nullptr || !is_equal_in_constant_time(proof->mac, expected))
        return fail("handshake", m_peer, "the peer does not hold the fleet's key");
    m_frame_limit = wire::max_frame_size;
    m_peer = peer_hello->vm.value() + "@" + m_peer;
    return *peer_hello;
}

result<wire::message> frame_connection::read()
{
    auto const read_at_least = [this](std::size_t byte_count) -> result<void> {
        while (m_input.size() - m_input_used < byte_count) {
            m_input.erase(0, m_input_used);
            m_input_used = 0;
            auto const present = m_input.size();
            m_input.resize(std::max(present + read_size, byte_count));
            auto self = shared_from_this();
            auto const [failure, size] = await_io([&](auto handler) {
                m_socket.async_read_some(
                    asio::buffer(m_input.data() + present, m_input.size() - present), std::move(handler));
            });
            m_input.resize(present + size);
            if (failure)
                return fail("read frame", m_peer, failure.message());
        }
        return {};
    };
    TRY_VOID(read_at_least(wire::length_prefix_size));
    auto const size = wire::decode_length(std::string_view(m_input).substr(m_input_used, wire::length_prefix_size));
    if (!size)
        return fail("read frame", m_peer, size.error().reason);
    if (*size > m_frame_limit)
        return fail(
            "read frame", m_peer, "the frame exceeds the limit of 4096 bytes that applies before the handshake");
    TRY_VOID(read_at_least(wire::length_prefix_size + *size));
    // NOTE: The verifier requires an aligned buffer, so that the frame is copied to a separate string.
    auto const frame = m_input.substr(m_input_used + wire::length_prefix_size, *size);
    m_input_used += wire::length_prefix_size + *size;
    auto decoded = wire::decode(frame);
    if (!decoded)
        return fail("read frame", m_peer, decoded.error().reason);
    return decoded;
}

void frame_connection::send(wire::message const& message)
{
    if (m_is_closing)
        return;
    auto frame = wire::encode(message);
    count_traffic(message, frame.size());
    m_queued_bytes += frame.size();
    m_queue.push_back(std::move(frame));
    if (m_queued_bytes > max_queued_bytes) {
        abort();
        return;
    }
    if (!has_space())
        m_has_space.reset();
    if (!m_is_writing)
        write_next();
}

bool frame_connection::has_space() const { return m_is_closing || m_queued_bytes <= max_unsent_bytes; }

bool frame_connection::wait_for_space(std::chrono::milliseconds limit)
{
    return has_space() || m_has_space.wait_for(limit);
}

void frame_connection::close()
{
    m_is_closing = true;
    m_has_space.set();
    if (!m_is_writing)
        abort();
}

void frame_connection::abort()
{
    m_is_closing = true;
    m_has_space.set();
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

traffic_counts const& frame_connection::sent_traffic() { return traffic(); }

void frame_connection::write_next()
{
    m_is_writing = true;
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_queue.front()), [self](boost::system::error_code failure, std::size_t) {
        self->m_is_writing = false;
        self->m_queued_bytes -= self->m_queue.front().size();
        self->m_queue.pop_front();
        if (self->has_space())
            self->m_has_space.set();
        if (failure) {
            self->m_queue.clear();
            self->abort();
        } else if (!self->m_queue.empty()) {
            self->write_next();
        } else if (self->m_is_closing) {
            self->abort();
        }
    });
}

result<std::shared_ptr<frame_connection>> open_frame_connection(
    std::string const& address, std::chrono::milliseconds limit)
{
    auto const target = TRY(parse_address(address));
    auto socket = std::make_shared<tcp::socket>(process_io_context());
    asio::steady_timer timer(process_io_context(), limit);
    timer.async_wait([weak = std::weak_ptr(socket)](boost::system::error_code failure) {
        auto pending_socket = weak.lock();
        boost::system::error_code ignored;
        if (!failure && pending_socket)
            pending_socket->close(ignored);
    });
    auto const outcome = await_io([&](auto handler) { socket->async_connect(target, std::move(handler)); });
    timer.cancel();
    if (outcome.failure)
        return fail("connect", address, outcome.failure.message());
    return std::make_shared<frame_connection>(std::move(*socket), address);
}

frame_listener::frame_listener(tcp::acceptor acceptor, accept_handler on_accept)
    : m_acceptor(std::move(acceptor))
    , m_on_accept(std::move(on_accept))
{
}

result<std::unique_ptr<frame_listener>> frame_listener::open(std::string const& address, accept_handler on_accept)
{
    auto acceptor = TRY(open_acceptor(address));
    std::unique_ptr<frame_listener> listener(new frame_listener(std::move(acceptor), std::move(on_accept)));
    listener->accept_next();
    return listener;
}

void frame_listener::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void frame_listener::accept_next()
{
    m_acceptor.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure) {
            boost::system::error_code unknown;
            auto const remote = socket.remote_endpoint(unknown);
            auto const peer = unknown ? std::string("unknown") : remote.address().to_string();
            auto connection = std::make_shared<frame_connection>(std::move(socket), peer);
            start_fiber([this, connection] { m_on_accept(connection); });
        }
        accept_next();
    });
}

} // namespace shedhill::net
