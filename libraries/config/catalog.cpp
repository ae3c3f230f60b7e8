// SPDX-License-Identifier: BSD-2-Clause
// Applies configuration changes in order and decides which team may use which endpoint.
#include "libraries/config/catalog.h"

namespace shedhill::config {

bool catalog::apply(revision next, change const& update)
{
    if (next.value() != m_revision.value() + 1)
        return false;
    for (auto const& key : update.removals)
        remove(key);
    for (auto const& declared : update.puts)
        put(declared);
    m_revision = next;
    return true;
}

result<bool> catalog::load_snapshot(std::string_view text)
{
    boost::system::error_code failure;
    auto const json = boost::json::parse(text, failure);
    if (failure || !json.is_object())
        return fail("load snapshot", "", "the snapshot is not a JSON object");
    auto const* number = json.as_object().if_contains("revision");
    auto const* listed = json.as_object().if_contains("objects");
    if (number == nullptr || listed == nullptr || !listed->is_array())
        return fail("load snapshot", "", "'revision' or 'objects' is missing");
    auto const offered = number->to_number<std::uint64_t>(failure);
    if (failure)
        return fail("load snapshot", "", "'revision' must be a whole number");
    if (offered <= m_revision.value())
        return false;
    std::vector<object> parsed;
    for (auto const& item : listed->as_array())
        parsed.push_back(TRY(parse_object(item)));
    m_objects.clear();
    m_policies.clear();
    m_endpoints_by_pool.clear();
    m_team_by_key_hash.clear();
    for (auto const& declared : parsed)
        put(declared);
    m_revision = revision(offered);
    return true;
}

std::string catalog::snapshot() const
{
    boost::json::array listed;
    for (auto const& [key, declared] : m_objects)
        listed.push_back(to_json(declared));
    return boost::json::serialize(
        boost::json::object { { "revision", m_revision.value() }, { "objects", std::move(listed) } });
}

team const* catalog::find_team(team_name const& name) const
{
    auto const* found = find_object("team:" + name.value());
    return found == nullptr ? nullptr : std::get_if<team>(found);
}

team const* catalog::find_team_by_key_hash(std::string const& hash) const
{
    auto const found = m_team_by_key_hash.find(hash);
    if (found == m_team_by_key_hash.end())
        return nullptr;
    return std::get_if<team>(find_object(found->second));
}

endpoint const* catalog::find_endpoint(endpoint_name const& name) const
{
    auto const* found = find_object("endpoint:" + name.value());
    return found == nullptr ? nullptr : std::get_if<endpoint>(found);
}

std::set<endpoint_name> const& catalog::endpoints_of(pool_name const& pool) const
{
    static std::set<endpoint_name> const none;
    auto const found = m_endpoints_by_pool.find(pool);
    return found == m_endpoints_by_pool.end() ? none : found->second;
}

object const* catalog::find_object(std::string const& key) const
{
    auto const found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

access_decision catalog::explain(team const& from, endpoint const& to) const
{
    access_decision verdict;
    auto const team_labels = selectable_labels(from);
    auto const endpoint_labels = selectable_labels(to);
    verdict.is_own = from.partner == to.partner;
    if (auto const drained = to.labels.find(drain_label); drained != to.labels.end() && drained->second == "true") {
        verdict.reason = "the endpoint is drained by its label";
        return verdict;
    }
    auto const* use = find_policy(from.partner, policy_action::use, team_labels, endpoint_labels);
    if (use == nullptr) {
        verdict.reason = "no use policy of " + from.partner.value() + " selects both";
        return verdict;
    }
    verdict.use_policy = use->name;
    auto const* share = find_policy(to.partner, policy_action::share, team_labels, endpoint_labels);
    if (share != nullptr) {
        verdict.share_policy = share->name;
        verdict.is_own_first = share->is_own_first;
    }
    if (!verdict.is_own && share == nullptr) {
        verdict.reason = "no share policy of " + to.partner.value() + " selects both";
        return verdict;
    }
    verdict.is_allowed = true;
    verdict.reason = verdict.is_own ? "own capacity" : "both partners' policies agree";
    return verdict;
}

void catalog::put(object const& declared)
{
    auto const key = object_key(declared);
    remove(key);
    auto const& stored = m_objects.emplace(key, declared).first->second;
    if (auto const* as_team = std::get_if<team>(&stored)) {
        for (auto const& hash : as_team->key_hashes)
            m_team_by_key_hash[hash] = key;
    }
    if (auto const* as_policy = std::get_if<policy>(&stored))
        m_policies[key] = as_policy;
    if (auto const* as_endpoint = std::get_if<endpoint>(&stored))
        m_endpoints_by_pool[as_endpoint->pool].insert(as_endpoint->name);
}

void catalog::remove(std::string const& key)
{
    auto const found = m_objects.find(key);
    if (found == m_objects.end())
        return;
    if (auto const* as_team = std::get_if<team>(&found->second)) {
        for (auto const& hash : as_team->key_hashes)
            m_team_by_key_hash.erase(hash);
    }
    if (auto const* as_endpoint = std::get_if<endpoint>(&found->second))
        m_endpoints_by_pool[as_endpoint->pool].erase(as_endpoint->name);
    m_policies.erase(key);
    m_objects.erase(found);
}

policy const* catalog::find_policy(
    partner_name const& partner, policy_action action, label_map const& team, label_map const& endpoint) const
{
    for (auto const& [key, candidate] : m_policies) {
        if (candidate->partner == partner && candidate->action == action && candidate->teams.matches(team)
            && candidate->endpoints.matches(endpoint))
            return candidate;
    }
    return nullptr;
}

} // namespace shedhill::config
