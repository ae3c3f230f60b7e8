// SPDX-License-Identifier: BSD-2-Clause
// A connection between two processes of the fleet: framed messages over TCP after a keyed handshake. A peer that does
// not hold the fleet's key is turned away before anything else is read.
#pragma once

#include "libraries/wire/codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace shedhill::net {

struct fleet_identity {
    vm_name vm;
    wire::process_role role { wire::process_role::router };
    process_epoch epoch {};
    // Shared by all processes of the fleet, from the settings.
    std::string key;
};

// Bytes of frames, kept apart by what they carry.
struct traffic_counts {
    // Whole frames that carry no part of a request or an answer.
    std::uint64_t control_bytes { 0 };
    // Bodies and answers.
    std::uint64_t payload_bytes { 0 };
    // What frames around bodies and answers add to them.
    std::uint64_t forwarding_bytes { 0 };
    std::uint64_t frames { 0 };
};

enum class handshake_side { connecting, accepting };

class frame_connection : public std::enable_shared_from_this<frame_connection> {
public:
    explicit frame_connection(boost::asio::ip::tcp::socket socket, std::string peer_address);

    // Proves to each side that the other holds the key. Suspends the fiber.
    result<wire::hello> shake_hands(fleet_identity const& self, handshake_side side, revision current);

    // Reads the next message. Suspends the fiber.
    result<wire::message> read();

    // Queues a message; does not suspend. A peer that does not read is cut off when too much is queued.
    void send(wire::message const& message);

    // Ends reads and writes. What is queued is sent first.
    void close();
    // Ends the connection at once.
    void abort();

    [[nodiscard]] std::string const& peer() const { return m_peer; }
    [[nodiscard]] bool is_drained() const { return m_queue.empty(); }
    [[nodiscard]] static traffic_counts const& sent_traffic();

private:
    void write_next();

    boost::asio::ip::tcp::socket m_socket;
    std::string m_peer;
    // Small until the peer has shown that it holds the key.
    std::size_t m_frame_limit;
    std::string m_input;
    std::size_t m_input_used { 0 };
    std::deque<std::string> m_queue;
    std::size_t m_queued_bytes { 0 };
    bool m_is_writing { false };
    bool m_is_closing { false };
};

// Opens a connection to "address:port". Suspends the fiber.
result<std::shared_ptr<frame_connection>> connect_frames(std::string const& address, std::chrono::milliseconds limit);

// Accepts connections and hands each to a fiber of its own.
class frame_listener {
public:
    using accepted = std::function<void(std::shared_ptr<frame_connection>)>;

    // Port 0 lets the system choose.
    static result<std::unique_ptr<frame_listener>> open(std::string const& address, accepted on_accept);

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void close();

private:
    frame_listener(boost::asio::ip::tcp::acceptor acceptor, accepted on_accept);
    void accept_next();

    boost::asio::ip::tcp::acceptor m_acceptor;
    accepted m_on_accept;
};

} // namespace shedhill::net
