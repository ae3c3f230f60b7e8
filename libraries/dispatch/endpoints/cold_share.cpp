// SPDX-License-Identifier: BSD-2-Clause
// Divides the limit into equal shares and assigns the remainder by rendezvous hashing.
#include "libraries/dispatch/endpoints/cold_share.h"

#include "base/hash.h"
#include "libraries/dispatch/endpoints/cold_period.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// The fraction of the limit that the shares of all routers add up to at most.
constexpr double distributed_fraction = 0.5;

} // namespace

void cold_share::apply_routers(std::vector<std::string> routers, std::string const& self, instant now)
{
    if (m_routers_known_since == instant {})
        m_routers_known_since = now;
    m_routers = std::move(routers);
    m_self = self;
    if (std::ranges::find(m_routers, self) == m_routers.end())
        m_routers.push_back(self);
    m_quotas.clear();
}

std::uint32_t cold_share::allowance(endpoint_key endpoint, double per_second, instant now)
{
    if (m_routers_known_since == instant {} || now - m_routers_known_since < cold_period::window)
        return 0;
    auto& quota = m_quotas[endpoint];
    if (quota.per_second != per_second) {
        auto const limit = per_second * m_bounds.overage + m_bounds.slack;
        auto const distributed = static_cast<std::uint32_t>(std::min(per_second, limit * distributed_fraction));
        quota = { per_second, own_quota(endpoint, distributed) };
    }
    return quota.requests;
}

std::uint32_t cold_share::own_quota(endpoint_key endpoint, std::uint32_t distributed) const
{
    auto const routers = static_cast<std::uint32_t>(m_routers.size());
    auto const remainder = distributed % routers;
    auto const weight_of = [endpoint](std::string const& router) {
        return std::pair(rendezvous_weight(endpoint.value(), router), router);
    };
    auto const own = weight_of(m_self);
    auto const ranked_before
        = std::ranges::count_if(m_routers, [&](auto const& router) { return weight_of(router) > own; });
    return distributed / routers + (ranked_before < remainder ? 1 : 0);
}

} // namespace shedhill::dispatch
