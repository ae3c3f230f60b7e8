// SPDX-License-Identifier: BSD-2-Clause
// Two fibers for each connection, one for each direction.
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

constexpr std::size_t piece_size = 8192;
// How often a direction that is cut looks whether it has healed.
constexpr std::chrono::milliseconds healing_interval { 20 };

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

    [[nodiscard]] bool is_cut(bool is_onward) const
    {
        if (is_over)
            return false;
        return fault == link_fault::silent || fault == (is_onward ? link_fault::cut_onward : link_fault::cut_back);
    }
};

struct fault_proxy::connection {
    connection(std::shared_ptr<shared_state> shared, tcp::socket from)
        : state(std::move(shared))
        , opener(std::move(from))
        , target(net::process_io_context())
    {
    }

    void end()
    {
        reset(opener);
        reset(target);
    }

    std::shared_ptr<shared_state> state;
    tcp::socket opener;
    tcp::socket target;
    bool is_silent { false };
};

result<std::unique_ptr<fault_proxy>> fault_proxy::open(std::string const& target)
{
    auto acceptor = TRY(net::open_acceptor("127.0.0.1:0"));
    auto made = std::unique_ptr<fault_proxy>(new fault_proxy(std::move(acceptor), target));
    made->accept_next();
    return made;
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
    for (auto const& known : m_state->connections) {
        if (auto const open = known.lock())
            open->end();
    }
    m_state->connections.clear();
}

void fault_proxy::refuse_connections()
{
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
}

result<void> fault_proxy::take_connections()
{
    if (m_acceptor->is_open())
        return {};
    *m_acceptor = TRY(net::open_acceptor(m_address));
    accept_next();
    return {};
}

void fault_proxy::silence_connections()
{
    for (auto const& known : m_state->connections) {
        if (auto const open = known.lock())
            open->is_silent = true;
    }
}

void fault_proxy::accept_next()
{
    // The handler outlives this object by one call at the most; what it uses is shared.
    m_acceptor->async_accept(
        [acceptor = m_acceptor, state = m_state, this](boost::system::error_code failure, tcp::socket opener) {
            if (state->is_over || failure == asio::error::operation_aborted)
                return;
            if (!failure)
                serve(state, std::move(opener));
            accept_next();
        });
}

void fault_proxy::serve(std::shared_ptr<shared_state> const& state, tcp::socket opener)
{
    if (state->fault == link_fault::reset)
        return reset(opener);
    auto const made = std::make_shared<connection>(state, std::move(opener));
    std::erase_if(state->connections, [](auto const& known) { return known.expired(); });
    state->connections.push_back(made);
    net::start_fiber([made] {
        auto const target = net::parse_address(made->state->target);
        if (!target
            || net::await_io([&](auto handler) { made->target.async_connect(*target, std::move(handler)); }).failure)
            return made->end();
        start_pump(made, true);
        start_pump(made, false);
    });
}

void fault_proxy::start_pump(std::shared_ptr<connection> const& made, bool is_onward)
{
    net::start_fiber([made, is_onward] {
        auto& from = is_onward ? made->opener : made->target;
        auto& to = is_onward ? made->target : made->opener;
        std::array<char, piece_size> piece {};
        while (true) {
            auto const read
                = net::await_io([&](auto handler) { from.async_read_some(asio::buffer(piece), std::move(handler)); });
            while (made->state->is_cut(is_onward) || (made->is_silent && !made->state->is_over))
                boost::this_fiber::sleep_for(healing_interval);
            if (made->state->fault == link_fault::delayed)
                boost::this_fiber::sleep_for(made->state->delay);
            if (read.failure == asio::error::eof) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            if (read.failure)
                return made->end();
            auto const written = net::await_io([&](auto handler) {
                asio::async_write(to, asio::buffer(piece.data(), read.size), std::move(handler));
            });
            if (written.failure)
                return made->end();
        }
    });
}

} // namespace shedhill::harness
