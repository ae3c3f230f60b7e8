// SPDX-License-Identifier: BSD-2-Clause
// Framed connections, the handshake and the listener.
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

constexpr std::size_t nonce_size = 16;
constexpr std::size_t read_size = 16384;
// A peer that is this far behind in reading does not keep up, and is cut off.
constexpr std::size_t most_queued_bytes = std::size_t { 64 } << 20;
constexpr std::chrono::milliseconds handshake_limit { 3000 };
constexpr std::size_t most_handshake_frame = 4096;

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

std::string proof_text(wire::hello const& prover, wire::hello const& challenger, std::string_view side)
{
    return std::string(side) + "|" + prover.vm.value() + "|" + std::to_string(prover.epoch.value()) + "|"
        + std::to_string(static_cast<int>(prover.role)) + "|" + prover.nonce + "|" + challenger.nonce;
}

// Closes the socket unless it is called off in time.
class time_limit {
public:
    time_limit(frame_connection& limited, std::chrono::milliseconds limit)
        : m_timer(process_io(), limit)
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
    , m_frame_limit(most_handshake_frame)
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

result<wire::hello> frame_connection::shake_hands(fleet_identity const& self, handshake_side side, revision current)
{
    time_limit const limit(*this, handshake_limit);
    wire::hello const own { self.vm, self.role, self.epoch, random_bytes(nonce_size), current };
    send(own);
    auto const first = TRY(read());
    auto const* other = std::get_if<wire::hello>(&first);
    if (other == nullptr || other->nonce.size() != nonce_size)
        return fail("shake hands", m_peer, "no hello");
    auto const is_connecting = side == handshake_side::connecting;
    send(wire::proof { hmac_sha256(self.key, proof_text(own, *other, is_connecting ? "connect" : "accept")) });
    auto const second = TRY(read());
    auto const* proof = std::get_if<wire::proof>(&second);
    auto const expected = hmac_sha256(self.key, proof_text(*other, own, is_connecting ? "accept" : "connect"));
    if (proof == nullptr || !is_equal_in_constant_time(proof->mac, expected))
        return fail("shake hands", m_peer, "the peer does not hold the fleet's key");
    m_frame_limit = wire::most_frame_size;
    m_peer = other->vm.value() + "@" + m_peer;
    return *other;
}

result<wire::message> frame_connection::read()
{
    auto const fill = [this](std::size_t wanted) -> result<void> {
        while (m_input.size() - m_input_used < wanted) {
            m_input.erase(0, m_input_used);
            m_input_used = 0;
            auto const present = m_input.size();
            m_input.resize(std::max(present + read_size, wanted));
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
    TRY_VOID(fill(wire::length_prefix_size));
    auto const size = wire::decode_length(std::string_view(m_input).substr(m_input_used, wire::length_prefix_size));
    if (!size)
        return fail("read frame", m_peer, size.error().reason);
    if (*size > m_frame_limit)
        return fail("read frame", m_peer, "too long before the handshake");
    TRY_VOID(fill(wire::length_prefix_size + *size));
    // NOTE: The verifier wants the buffer aligned, so the frame is copied to a string of its own.
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
    if (m_queued_bytes > most_queued_bytes) {
        abort();
        return;
    }
    if (!m_is_writing)
        write_next();
}

void frame_connection::close()
{
    m_is_closing = true;
    if (!m_is_writing)
        abort();
}

void frame_connection::abort()
{
    m_is_closing = true;
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

result<std::shared_ptr<frame_connection>> connect_frames(std::string const& address, std::chrono::milliseconds limit)
{
    auto const target = TRY(parse_address(address));
    auto socket = std::make_shared<tcp::socket>(process_io());
    asio::steady_timer timer(process_io(), limit);
    timer.async_wait([weak = std::weak_ptr(socket)](boost::system::error_code failure) {
        auto late = weak.lock();
        boost::system::error_code ignored;
        if (!failure && late)
            late->close(ignored);
    });
    auto const outcome = await_io([&](auto handler) { socket->async_connect(target, std::move(handler)); });
    timer.cancel();
    if (outcome.failure)
        return fail("connect", address, outcome.failure.message());
    return std::make_shared<frame_connection>(std::move(*socket), address);
}

frame_listener::frame_listener(tcp::acceptor acceptor, accepted on_accept)
    : m_acceptor(std::move(acceptor))
    , m_on_accept(std::move(on_accept))
{
}

result<std::unique_ptr<frame_listener>> frame_listener::open(std::string const& address, accepted on_accept)
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
