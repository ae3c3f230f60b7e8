// SPDX-License-Identifier: BSD-2-Clause
// Keeps the answers of two periods and forgets the earlier period as a whole.
#include "libraries/dispatch/suspects/answered_parts.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// Bounds the memory to about half a megabyte.
constexpr std::size_t max_parts = 4096;
constexpr milliseconds max_period { 300000 };

} // namespace

void answered_parts::record(request_identity const& part, instant now)
{
    if (m_current.size() >= max_parts || now - m_current_began >= max_period) {
        m_previous = std::exchange(m_current, {});
        m_current_began = now;
    }
    m_current[part] = now;
}

bool answered_parts::was_answered_since(request_identity const& part, instant then) const
{
    return std::ranges::any_of(
        std::initializer_list<generation const*> { &m_current, &m_previous }, [&](generation const* answers) {
            auto const found = answers->find(part);
            return found != answers->end() && found->second >= then;
        });
}

} // namespace shedhill::dispatch
