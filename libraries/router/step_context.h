// SPDX-License-Identifier: BSD-2-Clause
// The state that the parts of the router's reducer share while they handle one event: the time, a source of random
// numbers and the effects so far.
#pragma once

#include "base/random_generator.h"
#include "libraries/router/effects.h"

#include <utility>

namespace shedhill::router {

class step_context {
public:
    step_context(instant now, std::uint64_t draw)
        : m_now(now)
        , m_draw(draw)
    {
    }

    [[nodiscard]] instant now() const { return m_now; }
    random_generator& draw() { return m_draw; }

    void emit(effect emitted) { m_effects.push_back(std::move(emitted)); }
    void count(counter which) { emit(count_event { which }); }
    void send(connection_id connection, wire::message message)
    {
        emit(send_message { connection, std::move(message) });
    }

    effect_list take_effects() { return std::move(m_effects); }

private:
    instant m_now;
    random_generator m_draw;
    effect_list m_effects;
};

} // namespace shedhill::router
