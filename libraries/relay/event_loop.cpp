// SPDX-License-Identifier: BSD-2-Clause
// Implements the event loop with epoll.
#include "libraries/relay/event_loop.h"

#include "base/verify.h"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace shedhill::relay {

namespace {

constexpr std::size_t events_per_round = 128;
constexpr unsigned slot_bits = 32;

std::uint32_t to_epoll(interest wanted)
{
    std::uint32_t events = 0;
    if (has_interest(wanted, interest::reading))
        events |= EPOLLIN;
    if (has_interest(wanted, interest::writing))
        events |= EPOLLOUT;
    if (has_interest(wanted, interest::closing))
        events |= EPOLLRDHUP;
    return events;
}

std::uint64_t to_data(watch_id watched)
{
    return (static_cast<std::uint64_t>(watched.generation) << slot_bits) | watched.slot;
}

} // namespace

event_loop::event_loop(clock_function clock)
    : m_clock(clock)
    , m_poll(epoll_create1(EPOLL_CLOEXEC))
    , m_started_ns(time_ns())
    , m_busy_since_ns(m_started_ns)
    , m_round_started_ns(m_started_ns)
{
    verify(m_poll >= 0, "epoll_create1 returns a descriptor");
    refresh_now();
    m_unread_since = m_now;
}

event_loop::~event_loop() { close(m_poll); }

std::int64_t event_loop::time_ns() const { return m_clock().time_since_epoch().count(); }

void event_loop::refresh_now() { set_now(time_ns()); }

void event_loop::set_now(std::int64_t time_ns)
{
    constexpr std::int64_t ns_per_ms = 1'000'000;
    constexpr std::int64_t first_ms = 1000;
    m_now = instant(milliseconds((time_ns - m_started_ns) / ns_per_ms + first_ms));
}

milliseconds event_loop::time_in_round() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::nanoseconds(time_ns() - m_round_started_ns));
}

double event_loop::take_busy_fraction()
{
    auto const now = time_ns();
    auto const elapsed = std::max<std::int64_t>(now - std::exchange(m_busy_since_ns, now), 1);
    return 1 - static_cast<double>(std::exchange(m_waited_ns, 0)) / static_cast<double>(elapsed);
}

double event_loop::take_link_fraction() { return m_link.take_fraction(time_ns()); }

watch_id event_loop::watch(int descriptor, io_handler& handler, interest wanted)
{
    if (m_free_slots.empty()) {
        m_free_slots.push_back(static_cast<std::uint32_t>(m_slots.size()));
        m_slots.emplace_back();
    }
    auto const index = m_free_slots.back();
    m_free_slots.pop_back();
    auto& slot = m_slots[index];
    slot.handler = &handler;
    watch_id const watched { index, slot.generation };
    epoll_event event {};
    event.events = to_epoll(wanted);
    event.data.u64 = to_data(watched);
    epoll_ctl(m_poll, EPOLL_CTL_ADD, descriptor, &event);
    return watched;
}

void event_loop::change_interest(watch_id watched, int descriptor, interest wanted)
{
    epoll_event event {};
    event.events = to_epoll(wanted);
    event.data.u64 = to_data(watched);
    epoll_ctl(m_poll, EPOLL_CTL_MOD, descriptor, &event);
}

void event_loop::unwatch(watch_id watched, int descriptor)
{
    auto& slot = m_slots[watched.slot];
    verify(slot.generation == watched.generation, "a socket is unwatched at most once");
    slot.handler = nullptr;
    ++slot.generation;
    m_free_slots.push_back(watched.slot);
    epoll_event event {};
    epoll_ctl(m_poll, EPOLL_CTL_DEL, descriptor, &event);
}

void event_loop::run_once(milliseconds limit)
{
    std::array<epoll_event, events_per_round> events {};
    auto const wait_started_ns = time_ns();
    auto const count = epoll_wait(m_poll, events.data(), events_per_round, static_cast<int>(limit.count()));
    auto const wait_ended_ns = time_ns();
    m_waited_ns += wait_ended_ns - wait_started_ns;
    m_round_started_ns = wait_ended_ns;
    if (m_has_read_all)
        m_unread_since = m_now;
    m_has_read_all = count < static_cast<int>(events_per_round);
    set_now(wait_ended_ns);
    for (int index = 0; index < count; ++index) {
        auto const& event = events[static_cast<std::size_t>(index)];
        auto const& slot = m_slots[static_cast<std::uint32_t>(event.data.u64)];
        if (slot.handler == nullptr || slot.generation != event.data.u64 >> slot_bits)
            continue;
        readiness ready;
        ready.is_readable = (event.events & EPOLLIN) != 0;
        ready.is_writable = (event.events & EPOLLOUT) != 0;
        ready.is_closed = (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
        slot.handler->on_ready(ready);
    }
    while (!m_at_end.empty()) {
        auto const actions = std::exchange(m_at_end, {});
        for (auto const& action : actions)
            action();
    }
}

} // namespace shedhill::relay
