// SPDX-License-Identifier: BSD-2-Clause
// What operators declare: teams, endpoints and policies, with labels, and the selectors that pick them.
#pragma once

#include "base/error.h"
#include "base/identifiers.h"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shedhill::config {

using label_map = std::map<std::string, std::string>;

// Picks objects by their labels. An empty selector picks all. Besides the declared labels every object has
// "name", "partner" and, for endpoints, "pool" and "failure-domain".
struct selector {
    // Each label must have one of the values listed for it.
    std::map<std::string, std::vector<std::string>> required;

    [[nodiscard]] bool matches(label_map const& labels) const;
    bool operator==(selector const&) const = default;
};

struct team {
    team_name name;
    partner_name partner;
    label_map labels;
    // The share of a pool, against the weights of the other backlogged teams; at least 1.
    std::uint32_t weight { 1 };
    // SHA-256 of the API keys, in hexadecimal. The keys themselves are never declared.
    std::vector<std::string> key_hashes;
    // How many requests of this team may wait at one router.
    std::uint32_t queue_bound { 256 };

    bool operator==(team const&) const = default;
};

struct endpoint {
    endpoint_name name;
    partner_name partner;
    label_map labels;
    pool_name pool;
    failure_domain domain;

    bool operator==(endpoint const&) const = default;
};

// Whether a policy lets its partner's teams use endpoints, or offers its partner's endpoints to other teams.
enum class policy_action { use, share };

struct policy {
    std::string name;
    partner_name partner;
    policy_action action { policy_action::use };
    selector teams;
    selector endpoints;
    // On a share policy: the partner's own teams are served first while they have work waiting.
    bool is_own_first { false };

    bool operator==(policy const&) const = default;
};

using object = std::variant<team, endpoint, policy>;

// "team", "endpoint" or "policy", then the object's full name. The key under which an object is kept.
std::string object_key(object const& declared);
partner_name const& object_partner(object const& declared);

result<object> parse_object(boost::json::value const& json);
boost::json::value to_json(object const& declared);

// Parses a file of declarations: one object, or a list of them. All are refused if one is bad.
result<std::vector<object>> parse_declarations(std::string_view text, std::string const& file);

label_map selectable_labels(team const& declared);
label_map selectable_labels(endpoint const& declared);

} // namespace shedhill::config
