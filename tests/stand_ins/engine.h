// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a model engine with a bounded number of slots, a fixed token interval, and faults on demand.
#pragma once

#include "libraries/net/http.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <string>

namespace shedhill::stand_ins {

class engine {
public:
    engine(std::size_t slots, std::chrono::milliseconds token_interval)
        : m_slots(slots)
        , m_token_interval(token_interval)
    {
    }

    // Serves POST /v1/chat/completions, POST /control {"mode": "ok" | "stall" | "cut" | "twice", "after": N,
    // "delay_ms": N}, GET /now (current load), and GET /load (load that is up to half a second old). The modes other
    // than "ok" affect the tokens of a stream from number "after" on: "stall" delays each of them by 30 seconds, "cut"
    // aborts the connection, and "twice" sends each of them twice. "cut" also aborts every answer that is not streamed.
    // "delay_ms" delays the first token of a stream. A stream whose last message is "endless" goes on until its
    // connection is closed.
    void serve(net::http_exchange& exchange);

private:
    void serve_chat(net::http_exchange& exchange);
    void stream(net::http_exchange& exchange, std::string const& text, std::int64_t tokens);
    static void stream_without_end(net::http_exchange& exchange);
    void control(net::http_exchange& exchange);
    [[nodiscard]] boost::json::object load() const;
    std::string delayed_load();

    std::size_t m_slots;
    std::chrono::milliseconds m_token_interval;
    std::size_t m_running { 0 };
    std::size_t m_max_running { 0 };
    std::uint64_t m_started { 0 };
    std::uint64_t m_completed { 0 };
    std::uint64_t m_tokens { 0 };
    std::string m_mode { "ok" };
    std::int64_t m_fault_after { 0 };
    // Delay before the first token.
    std::chrono::milliseconds m_delay { 0 };
    std::string m_reported_load;
    std::chrono::steady_clock::time_point m_reported_at {};
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_slot_freed;
};

} // namespace shedhill::stand_ins
