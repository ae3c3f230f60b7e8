// SPDX-License-Identifier: BSD-2-Clause
// One socket for each probe.
#include "libraries/relay/endpoint_probes.h"

#include <utility>
#include <vector>

namespace shedhill::relay {

namespace {

constexpr milliseconds answer_limit { 160 };

} // namespace

class endpoint_probes::probe final : io_handler {
public:
    probe(endpoint_probes& owner, event_loop& loop, endpoint_key start)
        : m_owner(owner)
        , m_start(start)
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
        if (m_socket.has_connected())
            return end(dispatch::probe_outcome::accepted);
        end(m_socket.was_refused() ? dispatch::probe_outcome::refused : dispatch::probe_outcome::no_answer);
    }

    void end(dispatch::probe_outcome outcome)
    {
        m_is_over = true;
        m_socket.close();
        m_owner.finish(m_start, outcome);
    }

    endpoint_probes& m_owner;
    endpoint_key m_start;
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

void endpoint_probes::start(endpoint_key start, std::string const& address)
{
    auto& kept = m_probes[start];
    kept = std::make_unique<probe>(*this, m_loop, start);
    kept->connect(address);
}

void endpoint_probes::check_time(instant now)
{
    std::vector<endpoint_key> unanswered;
    for (auto const& [start, kept] : m_probes) {
        if (!kept->is_over() && now - kept->started_at() >= answer_limit)
            unanswered.push_back(start);
    }
    // Those that are over may be on the stack when they end, and go here.
    std::erase_if(m_probes, [](auto const& entry) { return entry.second->is_over(); });
    for (auto const start : unanswered) {
        m_probes.erase(start);
        finish(start, dispatch::probe_outcome::no_answer);
    }
}

void endpoint_probes::finish(endpoint_key start, dispatch::probe_outcome outcome) { m_done(start, outcome); }

} // namespace shedhill::relay
