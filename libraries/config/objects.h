// SPDX-License-Identifier: BSD-2-Clause
// The objects that operators declare (teams, endpoints and policies with labels) and the selectors that match them.
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

// Matches objects by their labels. An empty selector matches every object. Besides the declared labels every object has
// the built-in labels "name" and "partner"; endpoints also have "pool" and "failure-domain".
struct selector {
    // Maps each required label to its accepted values.
    std::map<std::string, std::vector<std::string>> required;

    [[nodiscard]] bool matches(label_map const& labels) const;
    bool operator==(selector const&) const = default;
};

struct team {
    team_name name;
    partner_name partner;
    label_map labels;
    // The team's relative share of a pool among the teams with waiting requests; at least 1.
    std::uint32_t weight { 1 };
    // SHA-256 hashes of the API keys, in hexadecimal. Declarations never contain the keys themselves.
    std::vector<std::string> key_hashes;
    // The maximum number of this team's requests that wait at one router.
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
    // On a share policy: the partner's own teams have priority while they have requests waiting.
    bool is_own_first { false };

    bool operator==(policy const&) const = default;
};

using object = std::variant<team, endpoint, policy>;

// Returns the key that identifies an object: its kind ("team", "endpoint" or "policy"), a colon and its full name.
std::string object_key(object const& declared);
partner_name const& object_partner(object const& declared);

result<object> parse_object(boost::json::value const& json);
boost::json::value to_json(object const& declared);

// Parses a file that holds one declaration or a list of them. One invalid declaration makes the whole file invalid.
result<std::vector<object>> parse_declarations(std::string_view text, std::string const& file);

// Returns the declared and the built-in labels, against which selectors are matched.
label_map selectable_labels(team const& declared);
label_map selectable_labels(endpoint const& declared);

} // namespace shedhill::config
