// SPDX-License-Identifier: BSD-2-Clause
// A connection between two processes of the fleet: framed messages over TCP after a handshake that authenticates both
// sides by the fleet's key. No other message of an unauthenticated peer is read.
#pragma once

#include "libraries/net/await.h"
#include "libraries/wire/codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace shedhill::net {

struct process_identity {
    vm_name vm;
    wire::process_role role { wire::process_role::router };
    process_epoch epoch {};
    // The secret key that all processes of the fleet share, from the settings.
    std::string key;
};

// Bytes and frames sent by this process, separated by content.
struct traffic_counts {
    // The size of all frames other than run, chunk and finished frames.
    std::uint64_t control_bytes { 0 };
    // The size of request bodies and answer data.
    std::uint64_t payload_bytes { 0 };
    // The size of run, chunk and finished frames without the request bodies and answer data.
    std::uint64_t forwarding_bytes { 0 };
    std::uint64_t frames { 0 };
};

enum class handshake_side { connecting, accepting };

class frame_connection : public std::enable_shared_from_this<frame_connection> {
public:
    explicit frame_connection(boost::asio::ip::tcp::socket socket, std::string peer_address);

    // Exchanges hello and proof messages, by which each side proves that it holds the fleet's key. The hello announces
    // `current`, the latest revision that this process knows. Returns the peer's hello, or an error if the peer does
    // not hold the key or takes longer than three seconds. Suspends the fiber.
    result<wire::hello> perform_handshake(process_identity const& self, handshake_side side, revision current);

    // Reads the next message. Returns an error if the connection ends or the frame is invalid. Suspends the fiber.
    result<wire::message> read();

    // Queues a message without suspending the fiber. Aborts the connection if more than 64 MiB are queued.
    void send(wire::message const& message);

    // Suspends the fiber while so much is queued that a sender without end has to wait. Returns false if that has not
    // changed within the time limit.
    bool wait_for_space(std::chrono::milliseconds limit);

    // Closes the connection after the queued messages are sent.
    void close();
    // Closes the connection immediately and discards the queued messages.
    void abort();

    [[nodiscard]] std::string const& peer() const { return m_peer; }
    [[nodiscard]] bool is_send_queue_empty() const { return m_queue.empty(); }
    // The traffic that all connections of this process have sent.
    [[nodiscard]] static traffic_counts const& sent_traffic();

private:
    void write_next();
    [[nodiscard]] bool has_space() const;

    boost::asio::ip::tcp::socket m_socket;
    std::string m_peer;
    // In bytes; small until the peer is authenticated.
    std::size_t m_frame_limit;
    std::string m_input;
    std::size_t m_input_used { 0 };
    std::deque<std::string> m_queue;
    std::size_t m_queued_bytes { 0 };
    // Set while there is space in the queue, and once the connection is closing.
    fiber_event m_has_space;
    bool m_is_writing { false };
    bool m_is_closing { false };
};

// Opens a connection to "address:port", without the handshake. Suspends the fiber for at most the time limit.
result<std::shared_ptr<frame_connection>> open_frame_connection(
    std::string const& address, std::chrono::milliseconds limit);

// Accepts connections and calls the handler for each in a new fiber.
class frame_listener {
public:
    using accept_handler = std::function<void(std::shared_ptr<frame_connection>)>;

    // With port 0 the system assigns a free port.
    static result<std::unique_ptr<frame_listener>> open(std::string const& address, accept_handler on_accept);

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void close();

private:
    frame_listener(boost::asio::ip::tcp::acceptor acceptor, accept_handler on_accept);
    void accept_next();

    boost::asio::ip::tcp::acceptor m_acceptor;
    accept_handler m_on_accept;
};

} // namespace shedhill::net
