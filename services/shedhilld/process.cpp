// SPDX-License-Identifier: BSD-2-Clause
// Implements signals, ticks and the admin server.
#include "services/shedhilld/process.h"

#include "libraries/net/fiber_scheduler.h"

#include <cstdlib>
#include <sys/resource.h>

namespace shedhill::daemon {

process::process()
    : m_started_at(boot_clock::now())
    , m_random(std::random_device {}())
    , m_signals(net::process_io_context())
    , m_tick_timer(net::process_io_context())
{
}

instant process::now() const
{
    // The clock starts at one second, so that no event carries the instant that means "never".
    auto const running = boot_clock::now() - m_started_at + std::chrono::seconds(1);
    return instant(std::chrono::duration_cast<milliseconds>(running));
}

result<std::uint16_t> process::open_admin(std::string const& address)
{
    m_admin = TRY(net::http_server::open(address, {}, [this](net::http_exchange& exchange) { serve_admin(exchange); }));
    return m_admin->port();
}

void process::set_ready(bool is_ready)
{
    m_is_ready = is_ready;
    m_metrics.set("shedhill_ready", is_ready ? 1 : 0);
}

void process::tick_every(milliseconds interval, std::function<void()> on_tick)
{
    wait_for_tick(interval, std::make_shared<std::function<void()>>(std::move(on_tick)));
}

void process::drain_on_signal(std::function<void()> on_drain)
{
    m_on_drain = std::move(on_drain);
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    wait_for_signal();
}

void process::wait_for_signal()
{
    m_signals.async_wait([this](boost::system::error_code failure, int) {
        if (failure)
            return;
        if (m_is_draining)
            std::_Exit(EXIT_FAILURE);
        m_is_draining = true;
        m_on_drain();
        wait_for_signal();
    });
}

void process::wait_for_tick(milliseconds interval, std::shared_ptr<std::function<void()>> const& on_tick)
{
    m_tick_timer.expires_after(interval);
    m_tick_timer.async_wait([this, interval, on_tick](boost::system::error_code failure) {
        if (failure)
            return;
        (*on_tick)();
        wait_for_tick(interval, on_tick);
    });
}

void process::serve_admin(net::http_exchange& exchange)
{
    net::http_response response { 200, {}, "text/plain", "ok\n" };
    auto const& target = exchange.request().target;
    if (target == "/readyz" && !m_is_ready) {
        response.status = 503;
        response.body = "not ready\n";
    } else if (target == "/metrics") {
        update_process_gauges();
        response.body = m_metrics.to_text();
    } else if (target != "/healthz" && target != "/readyz") {
        response.status = 404;
        response.body = "there are /healthz, /readyz and /metrics\n";
    }
    // The result is ignored: a peer that has disconnected needs no answer.
    (void)exchange.respond(response);
}

void process::update_process_gauges()
{
    rusage used {};
    getrusage(RUSAGE_SELF, &used);
    auto const seconds = [](timeval const& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    m_metrics.set("shedhill_cpu_seconds", seconds(used.ru_utime) + seconds(used.ru_stime));
    m_metrics.set("shedhill_resident_peak_kib", static_cast<double>(used.ru_maxrss));
    auto const& sent = net::frame_connection::sent_traffic();
    m_metrics.set("shedhill_control_bytes_sent", static_cast<double>(sent.control_bytes));
    m_metrics.set("shedhill_forwarding_bytes_sent", static_cast<double>(sent.forwarding_bytes));
    m_metrics.set("shedhill_payload_bytes_sent", static_cast<double>(sent.payload_bytes));
    m_metrics.set("shedhill_frames_sent", static_cast<double>(sent.frames));
}

} // namespace shedhill::daemon
