// SPDX-License-Identifier: BSD-2-Clause
// The active configuration of one process: all declared objects at one revision, and the access decisions that follow
// from them.
#pragma once

#include "libraries/config/change.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace shedhill::config {

// The label by which a partner drains an endpoint: with the value "true" the endpoint receives no new requests.
constexpr char const* drain_label = "drain";

// Whether a team may use an endpoint, and why.
struct access_decision {
    bool is_allowed { false };
    // The team and the endpoint belong to the same partner.
    bool is_own { false };
    // The endpoint's partner gives its own teams priority at this endpoint.
    bool is_own_first { false };
    // The names of the matching policies; empty if none matches.
    std::string use_policy;
    std::string share_policy;
    std::string reason;
};

// All declared objects at one revision. The revision never decreases.
class catalog {
public:
    catalog() = default;
    // Moving a std::map keeps the addresses of its elements, to which m_policies points; copying would not.
    catalog(catalog const&) = delete;
    catalog& operator=(catalog const&) = delete;
    catalog(catalog&&) = default;
    catalog& operator=(catalog&&) = default;
    ~catalog() = default;

    // Applies the change with the next revision. Returns false, and changes nothing, if the revision does not follow
    // the current one.
    bool apply(revision next, change const& update);

    // Replaces all objects by those of a snapshot. Returns false, and changes nothing, if the snapshot is not newer.
    result<bool> load_snapshot(std::string_view text);
    // Returns all objects and the revision as JSON, which load_snapshot() can load.
    [[nodiscard]] std::string snapshot() const;

    [[nodiscard]] revision current_revision() const { return m_revision; }
    // The find functions return null if the object is not declared.
    [[nodiscard]] team const* find_team(team_name const& name) const;
    [[nodiscard]] team const* find_team_by_key_hash(std::string const& hash) const;
    [[nodiscard]] endpoint const* find_endpoint(endpoint_name const& name) const;
    [[nodiscard]] std::set<endpoint_name> const& endpoints_of(pool_name const& pool) const;
    [[nodiscard]] object const* find_object(std::string const& key) const;
    [[nodiscard]] std::map<std::string, object> const& objects() const { return m_objects; }

    // Decides whether a team may use an endpoint. A use policy of the team's partner must select both. If the endpoint
    // belongs to another partner, a share policy of that partner must select both as well.
    [[nodiscard]] access_decision explain(team const& from, endpoint const& to) const;

private:
    void put(object const& declared);
    void remove(std::string const& key);
    [[nodiscard]] policy const* find_policy(
        partner_name const& partner, policy_action action, label_map const& team, label_map const& endpoint) const;

    // Never decreases.
    revision m_revision {};
    std::map<std::string, object> m_objects;
    // Derived from m_objects: maps the hash of an API key to the key of its team.
    std::unordered_map<std::string, std::string> m_team_by_key_hash;
    // Derived from m_objects: maps the key of each policy to the object.
    std::map<std::string, policy const*> m_policies;
    // Derived from m_objects: the endpoints of each pool.
    std::map<pool_name, std::set<endpoint_name>> m_endpoints_by_pool;
};

} // namespace shedhill::config
