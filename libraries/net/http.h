// SPDX-License-Identifier: BSD-2-Clause
// HTTP for callers, engines, the platform and operators, by Boost.Beast. This header keeps Beast out of the files that
// use it.
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

    // The value of the first header of that name, whatever its case; empty if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct http_response {
    std::uint16_t status { 0 };
    std::vector<http_header> headers;
    std::string content_type;
    std::string body;
};

// One request at a server, and the way to answer it. Used by one fiber.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual http_request const& request() const = 0;
    virtual result<void> respond(http_response const& response) = 0;

    // A streamed answer. An answer that is aborted ends without its last chunk, so that the caller sees it is not
    // whole.
    virtual result<void> start_stream(
        std::uint16_t status, std::string const& content_type, std::vector<http_header> const& headers)
        = 0;
    virtual result<void> write_chunk(std::string_view data) = 0;
    virtual result<void> end_stream() = 0;
    virtual void abort_stream() = 0;

    // Called once, on the scheduler's own context, if the caller closes the connection before the answer has ended.
    virtual void watch_caller(std::function<void()> on_gone) = 0;
};

struct http_limits {
    std::size_t header_bytes { std::size_t { 16 } << 10 };
    std::size_t body_bytes { std::size_t { 4 } << 20 };
    // How long a caller may take to send a request, or to take a part of the answer.
    std::chrono::milliseconds read { 30000 };
    std::chrono::milliseconds write { 30000 };
};

class http_server {
public:
    using handler = std::function<void(http_exchange&)>;

    static result<std::unique_ptr<http_server>> open(
        std::string const& address, http_limits const& limits, handler handle);
    virtual ~http_server() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    // Takes no more connections; those that are open go on.
    virtual void close() = 0;
};

// How a streamed call ended, as far as the answer's being whole is concerned.
enum class http_call_end { whole, not_sent, cut, cancelled };

class http_call {
public:
    using on_head = std::function<void(std::uint16_t status, std::string const& content_type)>;
    using on_data = std::function<void(std::string_view data)>;

    static std::shared_ptr<http_call> make();
    virtual ~http_call() = default;

    // Sends the request and hands over the answer as it comes. Suspends the fiber until the end.
    virtual http_call_end run(std::string const& address, http_request const& sent, std::chrono::milliseconds limit,
        on_head const& head, on_data const& data)
        = 0;
    virtual void cancel() = 0;
};

// One request with its whole answer.
result<http_response> fetch(std::string const& address, http_request const& sent, std::chrono::milliseconds limit);

} // namespace shedhill::net
