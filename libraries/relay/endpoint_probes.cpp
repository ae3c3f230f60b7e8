// SPDX-License-Identifier: BSD-2-Clause
// Implements each probe as a socket that is closed once its connection succeeds or fails.
#include "libraries/relay/endpoint_probes.h"

#include <utility>
#include <vector>

namespace shedhill::relay {

namespace {

constexpr milliseconds probe_timeout { 160 };

} // namespace

class endpoint_probes::probe final : io_handler {
public:
    probe(endpoint_probes& owner, event_loop& loop, endpoint_key instance)
        : m_owner(owner)
        , m_instance(instance)
        , m_started_at(loop.now())
        , m_socket(loop, *this)
    {
    }

    void connect(std::string const& address)
    {
        if (!m_socket.connect(address))
            end(m_socket.was_refused() ? dispatch::probe_outcome::refused : dispatch::probe_outcome::no_answer);
    }

    [[nodiscard]] instant started_at() const { return m_started_at; }
    [[nodiscard]] bool is_over() const { return m_is_over; }

private:
    void on_ready(readiness /*ready*/) override
    {
        if (m_socket.finish_connect())
            return end(dispatch::probe_outcome::accepted);
        end(m_socket.was_refused() ? dispatch::probe_outcome::refused : dispatch::probe_outcome::no_answer);
    }

    void end(dispatch::probe_outcome outcome)
    {
        m_is_over = true;
        m_socket.close();
        m_owner.finish(m_instance, outcome);
    }

    endpoint_probes& m_owner;
    endpoint_key m_instance;
    instant m_started_at;
    bool m_is_over { false };
    socket m_socket;
};

endpoint_probes::endpoint_probes(event_loop& loop, done_function done)
    : m_loop(loop)
    , m_done(std::move(done))
{
}

endpoint_probes::~endpoint_probes() = default;

void endpoint_probes::start(endpoint_key instance, std::string const& address)
{
    auto& active_probe = m_probes[instance];
    active_probe = std::make_unique<probe>(*this, m_loop, instance);
    active_probe->connect(address);
}

void endpoint_probes::check_timeouts(instant now)
{
    std::vector<endpoint_key> timed_out;
    for (auto const& [instance, active_probe] : m_probes) {
        if (!active_probe->is_over() && now - active_probe->started_at() >= probe_timeout)
            timed_out.push_back(instance);
    }
    // A probe that ends may still be on the call stack, so finished probes are destroyed here.
    std::erase_if(m_probes, [](auto const& entry) { return entry.second->is_over(); });
    for (auto const instance : timed_out) {
        m_probes.erase(instance);
        finish(instance, dispatch::probe_outcome::no_answer);
    }
}

void endpoint_probes::finish(endpoint_key instance, dispatch::probe_outcome outcome) { m_done(instance, outcome); }

} // namespace shedhill::relay
