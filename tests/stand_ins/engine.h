// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a model engine: bounded slots, tokens at a set pace, and faults on demand.
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

    // POST /v1/chat/completions, POST /control {"mode": "ok" | "stall" | "cut" | "twice", "after": N}, GET /load.
    void serve(net::http_exchange& exchange);

private:
    void serve_chat(net::http_exchange& exchange);
    void stream(net::http_exchange& exchange, std::string const& text, std::int64_t tokens);
    void control(net::http_exchange& exchange);
    [[nodiscard]] std::string load() const;

    std::size_t m_slots;
    std::chrono::milliseconds m_token_interval;
    std::size_t m_running { 0 };
    std::size_t m_most_running { 0 };
    std::uint64_t m_started { 0 };
    std::uint64_t m_whole { 0 };
    std::uint64_t m_tokens { 0 };
    std::string m_mode { "ok" };
    std::int64_t m_fault_after { 0 };
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_slot_freed;
};

} // namespace shedhill::stand_ins
