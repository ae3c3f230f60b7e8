// SPDX-License-Identifier: BSD-2-Clause
// The configuration in force at one process: all declared objects at one revision, and what they allow.
#pragma once

#include "libraries/config/change.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace shedhill::config {

// An endpoint that its partner has labelled so ("true") gets no new work.
constexpr char const* drain_label = "drain";

// Why a team may or may not go to an endpoint.
struct reach_verdict {
    bool is_allowed { false };
    // The team and the endpoint belong to the same partner.
    bool is_own { false };
    // The endpoint's partner serves its own teams first there.
    bool is_own_first { false };
    // The policies that decided it; empty where none matched.
    std::string use_policy;
    std::string share_policy;
    std::string reason;
};

class catalog {
public:
    catalog() = default;
    // Moves keep the addresses that m_policies holds; a copy would not.
    catalog(catalog const&) = delete;
    catalog& operator=(catalog const&) = delete;
    catalog(catalog&&) = default;
    catalog& operator=(catalog&&) = default;
    ~catalog() = default;

    // Applies the next change. Returns false, and changes nothing, if it is not the next one: a catalog never goes
    // back.
    bool apply(revision next, change const& made);

    // Replaces everything by a snapshot, if that is newer.
    result<bool> load_snapshot(std::string_view text);
    [[nodiscard]] std::string snapshot() const;

    [[nodiscard]] revision current_revision() const { return m_revision; }
    [[nodiscard]] team const* find_team(team_name const& name) const;
    [[nodiscard]] team const* find_team_by_key_hash(std::string const& hash) const;
    [[nodiscard]] endpoint const* find_endpoint(endpoint_name const& name) const;
    [[nodiscard]] std::set<endpoint_name> const& endpoints_of(pool_name const& pool) const;
    [[nodiscard]] object const* find_object(std::string const& key) const;
    [[nodiscard]] std::map<std::string, object> const& objects() const { return m_objects; }

    // A team may use an endpoint if a use policy of its own partner selects both and, where the endpoint belongs to the
    // other partner, a share policy of that partner selects both too.
    [[nodiscard]] reach_verdict explain(team const& from, endpoint const& to) const;

private:
    void put(object const& declared);
    void remove(std::string const& key);
    [[nodiscard]] policy const* find_policy(
        partner_name const& partner, policy_action action, label_map const& team, label_map const& endpoint) const;

    // Never decreases.
    revision m_revision {};
    std::map<std::string, object> m_objects;
    // Derived from m_objects: key hash to the key of its team.
    std::unordered_map<std::string, std::string> m_team_by_key_hash;
    // Derived from m_objects: the keys of all policies.
    std::map<std::string, policy const*> m_policies;
    // Derived from m_objects.
    std::map<pool_name, std::set<endpoint_name>> m_endpoints_by_pool;
};

} // namespace shedhill::config
