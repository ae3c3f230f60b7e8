// SPDX-License-Identifier: BSD-2-Clause
// Estimates which shared prompt parts an endpoint has cached: those in prompts that this router or another recently
// sent there. The estimate is advisory: only the endpoint knows what it has cached.
#pragma once

#include "libraries/dispatch/types.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <vector>

namespace shedhill::dispatch {

class prompt_cache_index {
public:
    void record_use(std::uint64_t part, instant now) { m_used_at[part] = now; }
    // Returns when the part was last sent to the endpoint; the epoch where no use is known.
    [[nodiscard]] instant last_use(std::uint64_t part) const;
    // Returns how many tokens of the prompt the endpoint would have to prefill if parts without a use since
    // `cached_since` are evicted. A cached part is only usable if all parts before it are cached too.
    [[nodiscard]] token_count count_uncached_tokens(request_cost const& cost, instant cached_since) const;
    void forget_unused_since(instant then);
    // Returns the parts used since `then`.
    [[nodiscard]] std::vector<std::uint64_t> used_since(instant then) const;
    void clear() { m_used_at.clear(); }

private:
    // Each choice looks up every part at every endpoint. The standard map took a tenth of a busy router's time for
    // this, because its entries are not contiguous.
    boost::unordered_flat_map<std::uint64_t, instant> m_used_at;
};

} // namespace shedhill::dispatch
