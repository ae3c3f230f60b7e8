// SPDX-License-Identifier: BSD-2-Clause
// Implements the index of prompt parts by their last use.
#include "libraries/dispatch/endpoints/prompt_cache_index.h"

namespace shedhill::dispatch {

token_count prompt_cache_index::count_uncached_tokens(request_cost const& cost, instant cached_since) const
{
    auto uncached_tokens = cost.prompt;
    // The last part is not shared: it belongs to the request itself.
    for (std::size_t index = 0; index + 1 < cost.parts.size(); ++index) {
        auto const found = m_used_at.find(cost.parts[index].id);
        if (found == m_used_at.end() || found->second < cached_since)
            break;
        uncached_tokens -= cost.parts[index].tokens;
    }
    return std::max<token_count>(uncached_tokens, 0);
}

instant prompt_cache_index::last_use(std::uint64_t part) const
{
    auto const found = m_used_at.find(part);
    return found == m_used_at.end() ? instant {} : found->second;
}

std::vector<std::uint64_t> prompt_cache_index::used_since(instant then) const
{
    std::vector<std::uint64_t> parts;
    for (auto const& [part, used_at] : m_used_at) {
        if (used_at >= then)
            parts.push_back(part);
    }
    return parts;
}

void prompt_cache_index::forget_unused_since(instant then)
{
    erase_if(m_used_at, [then](auto const& entry) { return entry.second < then; });
}

} // namespace shedhill::dispatch
