// SPDX-License-Identifier: BSD-2-Clause
// The HTTP server and client, which serve callers, engines, the platform and operators. They use Boost.Beast, which
// this header does not expose to the files that include it.
#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::net {

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;

    // Returns the value of the first header with this name (case-insensitive), or an empty string if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct http_response {
    std::uint16_t status { 0 };
    std::vector<http_header> headers;
    std::string content_type;
    std::string body;
};

// A streamed answer marks its end by a last chunk, or only by the end of its connection.
enum class stream_framing { chunks, connection };

// A request received by a server, and the functions to answer it. Not more than one fiber uses an exchange.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual http_request const& request() const = 0;
    virtual result<void> respond(http_response const& response) = 0;

    // An aborted answer in chunks ends without its last chunk, so that the caller detects that it is incomplete.
    virtual result<void> start_stream(std::uint16_t status, std::string const& content_type,
        std::vector<http_header> const& headers, stream_framing framing = stream_framing::chunks)
        = 0;
    virtual result<void> write_chunk(std::string_view data) = 0;
    virtual result<void> end_stream() = 0;
    virtual void abort_stream() = 0;

    // Registers a function that is called once, in the context of the scheduler, if the caller closes the connection
    // before the answer is complete.
    virtual void set_disconnect_handler(std::function<void()> on_disconnect) = 0;
};

struct http_limits {
    std::size_t header_bytes { std::size_t { 16 } << 10 };
    std::size_t body_bytes { std::size_t { 4 } << 20 };
    // The maximum time for receiving a request, including the idle time before it, and for sending one part of an
    // answer.
    std::chrono::milliseconds read_timeout { 30000 };
    std::chrono::milliseconds write_timeout { 30000 };
};

class http_server {
public:
    using handler = std::function<void(http_exchange&)>;

    static result<std::unique_ptr<http_server>> open(
        std::string const& address, http_limits const& limits, handler handle);
    virtual ~http_server() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    // Stops accepting connections. Open connections remain usable.
    virtual void close() = 0;
};

// How a streamed call ended: with a complete answer, before the request was sent, by a failure after the request may
// have been sent, or by cancellation.
enum class http_call_outcome { complete, not_sent, interrupted, cancelled };

// A client call whose answer is streamed.
class http_call {
public:
    using on_head = std::function<void(std::uint16_t status, std::string const& content_type)>;
    using on_data = std::function<void(std::string_view data)>;

    static std::shared_ptr<http_call> create();
    virtual ~http_call() = default;

    // Connects, sends the request and passes the parts of the answer to the functions as they arrive. Connecting may
    // take the time limit or two seconds, whichever is less; the rest of the call may take the time limit. Suspends the
    // fiber until the call ends.
    virtual http_call_outcome run(std::string const& address, http_request const& sent, std::chrono::milliseconds limit,
        on_head const& head, on_data const& data)
        = 0;
    virtual void cancel() = 0;
};

// The largest body that fetch() reads: a page of 512 rows of the store, each of at most 64 KiB.
constexpr std::size_t max_fetched_body_bytes = std::size_t { 32 } << 20;

// Sends a request and returns the complete answer, unless its body exceeds max_fetched_body_bytes. The time limit
// applies to the whole call. Suspends the fiber.
result<http_response> fetch(std::string const& address, http_request const& sent, std::chrono::milliseconds limit);

} // namespace shedhill::net
