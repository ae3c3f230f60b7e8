// SPDX-License-Identifier: BSD-2-Clause
// The operators' access to the configuration: loads it, computes a change against it, and commits that change exactly
// once, even if an answer is lost or operators of another partner commit changes concurrently.
#pragma once

#include "libraries/config/catalog.h"
#include "libraries/table_service/http_platform.h"

#include <string>
#include <vector>

namespace shedhill::operations {

enum class difference_kind { added, changed, removed };

struct difference {
    difference_kind kind { difference_kind::added };
    std::string key;
    // The object as JSON before and after the change; empty if it does not exist.
    std::string before;
    std::string after;
};

enum class submit_state {
    committed,
    // The configuration already matched the desired objects.
    unchanged,
    // Another commit changed the same objects concurrently, or other commits preceded every attempt; nothing was
    // written.
    raced,
    // It is unknown whether the change was accepted. Looking up its id answers this once the platform is available.
    unknown,
};

struct submit_report {
    submit_state state { submit_state::unknown };
    // The revision of the change if it was committed, otherwise the latest revision of the configuration that was
    // loaded. It can be zero if the state is unknown.
    shedhill::revision revision {};
    std::string change_id;
    // Keys of objects that other commits changed while this change was being submitted.
    std::vector<std::string> changed_by_others;
};

// Loads the stored snapshot and applies all later changes.
result<config::catalog> load_catalog(table_service::http_platform& platform);

// Whether objects of the partner that are not among the desired objects are kept or removed.
enum class pruning { keep_others, remove_others };
// Returns the differences between the current objects of a partner and the desired ones.
std::vector<difference> plan(config::catalog const& current, partner_name const& partner,
    std::vector<config::object> const& desired, pruning mode);

// Commits the differences that plan() returns. Makes up to eight attempts, as long as concurrent commits changed only
// other objects.
result<submit_report> submit(table_service::http_platform& platform, partner_name const& partner,
    std::vector<config::object> const& desired, pruning mode);

} // namespace shedhill::operations
