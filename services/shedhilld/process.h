// SPDX-License-Identifier: BSD-2-Clause
// Provides what both roles of the daemon share: the clock, random draws, signals, the admin server and the metrics.
#pragma once

#include "base/boot_clock.h"
#include "base/units.h"
#include "libraries/metrics/registry.h"
#include "libraries/net/await.h"
#include "libraries/net/frame_connection.h"
#include "libraries/net/http.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>

namespace shedhill::daemon {

class process {
public:
    process();

    [[nodiscard]] instant now() const;
    std::uint64_t draw() { return m_random(); }
    metrics::registry& metrics() { return m_metrics; }

    // Serves /healthz, /readyz and /metrics at the address. Returns the port.
    result<std::uint16_t> open_admin(std::string const& address);
    void set_ready(bool is_ready);

    // Calls the function at a steady interval until the process stops.
    void tick_every(milliseconds interval, std::function<void()> on_tick);
    // Calls the function at the first SIGTERM or SIGINT. The second one ends the process at once.
    void drain_on_signal(std::function<void()> on_drain);

    void stop() { m_stop.set(); }
    void wait_for_stop() { m_stop.wait(); }

private:
    void wait_for_signal();
    void wait_for_tick(milliseconds interval, std::shared_ptr<std::function<void()>> const& on_tick);
    void serve_admin(net::http_exchange& exchange);
    void update_process_gauges();

    boot_clock::time_point m_started_at;
    std::mt19937_64 m_random;
    metrics::registry m_metrics;
    net::fiber_event m_stop;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tick_timer;
    std::function<void()> m_on_drain;
    std::unique_ptr<net::http_server> m_admin;
    bool m_is_ready { false };
    bool m_is_draining { false };
};

} // namespace shedhill::daemon
