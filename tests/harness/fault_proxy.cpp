// SPDX-License-Identifier: BSD-2-Clause
// Relays each connection with two fibers, one for each direction.
#include "tests/harness/fault_proxy.h"

#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/net/fibers.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

namespace shedhill::harness {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t chunk_size = 8192;
// Interval at which a relay of a cut direction checks whether the fault has ended.
constexpr std::chrono::milliseconds recovery_poll_interval { 20 };

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct fault_proxy::shared_state {
    std::string target;
    link_fault fault { link_fault::none };
    std::chrono::milliseconds delay {};
    bool is_over { false };
    std::vector<std::weak_ptr<connection>> connections;

    [[nodiscard]] bool is_cut(bool is_to_target) const
    {
        if (is_over)
            return false;
        return fault == link_fault::silent
            || fault == (is_to_target ? link_fault::cut_to_target : link_fault::cut_from_target);
    }
};

struct fault_proxy::connection {
    connection(std::shared_ptr<shared_state> shared, tcp::socket from)
        : state(std::move(shared))
        , client(std::move(from))
        , target(net::process_io_context())
    {
    }

    void end()
    {
        reset(client);
        reset(target);
    }

    std::shared_ptr<shared_state> state;
    tcp::socket client;
    tcp::socket target;
    bool is_silent { false };
};

result<std::unique_ptr<fault_proxy>> fault_proxy::open(std::string const& target)
{
    auto acceptor = TRY(net::open_acceptor("127.0.0.1:0"));
    auto proxy = std::unique_ptr<fault_proxy>(new fault_proxy(std::move(acceptor), target));
    proxy->accept_next();
    return proxy;
}

fault_proxy::fault_proxy(tcp::acceptor acceptor, std::string target)
    : m_acceptor(std::make_shared<tcp::acceptor>(std::move(acceptor)))
    , m_state(std::make_shared<shared_state>())
{
    m_state->target = std::move(target);
    m_address = "127.0.0.1:" + std::to_string(m_acceptor->local_endpoint().port());
}

fault_proxy::~fault_proxy()
{
    m_state->is_over = true;
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    reset_connections();
}

std::string fault_proxy::address() const { return m_address; }

void fault_proxy::set_target(std::string const& target) { m_state->target = target; }

void fault_proxy::set_fault(link_fault fault, std::chrono::milliseconds delay)
{
    m_state->fault = fault;
    m_state->delay = delay;
    if (fault == link_fault::reset)
        reset_connections();
}

void fault_proxy::reset_connections()
{
    for (auto const& entry : m_state->connections) {
        if (auto const open = entry.lock())
            open->end();
    }
    m_state->connections.clear();
}

void fault_proxy::refuse_connections()
{
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
}

result<void> fault_proxy::accept_connections()
{
    if (m_acceptor->is_open())
        return {};
    *m_acceptor = TRY(net::open_acceptor(m_address));
    accept_next();
    return {};
}

void fault_proxy::silence_connections()
{
    for (auto const& entry : m_state->connections) {
        if (auto const open = entry.lock())
            open->is_silent = true;
    }
}

void fault_proxy::accept_next()
{
    // The handler may be called once after this object is destroyed, so it shares ownership of what it uses then.
    m_acceptor->async_accept(
        [acceptor = m_acceptor, state = m_state, this](boost::system::error_code failure, tcp::socket client) {
            if (state->is_over || failure == asio::error::operation_aborted)
                return;
            if (!failure)
                serve(state, std::move(client));
            accept_next();
        });
}

void fault_proxy::serve(std::shared_ptr<shared_state> const& state, tcp::socket client)
{
    if (state->fault == link_fault::reset)
        return reset(client);
    auto const shared_connection = std::make_shared<connection>(state, std::move(client));
    std::erase_if(state->connections, [](auto const& entry) { return entry.expired(); });
    state->connections.push_back(shared_connection);
    net::start_fiber([shared_connection] {
        auto const target = net::parse_address(shared_connection->state->target);
        if (!target || net::await_io([&](auto handler) {
                shared_connection->target.async_connect(*target, std::move(handler));
            }).failure)
            return shared_connection->end();
        start_relay(shared_connection, true);
        start_relay(shared_connection, false);
    });
}

void fault_proxy::start_relay(std::shared_ptr<connection> const& shared_connection, bool is_to_target)
{
    net::start_fiber([shared_connection, is_to_target] {
        auto& from = is_to_target ? shared_connection->client : shared_connection->target;
        auto& to = is_to_target ? shared_connection->target : shared_connection->client;
        std::array<char, chunk_size> chunk {};
        while (true) {
            auto const read
                = net::await_io([&](auto handler) { from.async_read_some(asio::buffer(chunk), std::move(handler)); });
            while (shared_connection->state->is_cut(is_to_target)
                || (shared_connection->is_silent && !shared_connection->state->is_over))
                boost::this_fiber::sleep_for(recovery_poll_interval);
            if (shared_connection->state->fault == link_fault::delayed)
                boost::this_fiber::sleep_for(shared_connection->state->delay);
            if (read.failure == asio::error::eof) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            if (read.failure)
                return shared_connection->end();
            auto const written = net::await_io([&](auto handler) {
                asio::async_write(to, asio::buffer(chunk.data(), read.size), std::move(handler));
            });
            if (written.failure)
                return shared_connection->end();
        }
    });
}

} // namespace shedhill::harness
