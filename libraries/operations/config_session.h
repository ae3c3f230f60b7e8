// SPDX-License-Identifier: BSD-2-Clause
// What an operator does with the configuration: reads it whole, plans a change against it, and commits that change
// once, also when the answer is lost or the other partner's operators are at work at the same time.
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
    // As JSON; empty where there is none.
    std::string before;
    std::string after;
};

enum class submit_state {
    committed,
    // Nothing had to be changed.
    unchanged,
    // Someone else changed the same objects; nothing was written.
    raced,
    // It cannot be told whether the change was accepted. Its id tells when the platform answers again.
    unknown,
};

struct submit_report {
    submit_state state { submit_state::unknown };
    shedhill::revision revision {};
    std::string change_id;
    // Keys that others changed while this change was on its way.
    std::vector<std::string> changed_by_others;
};

// Reads the snapshot and all changes after it.
result<config::catalog> load_catalog(table_service::http_platform& platform);

// What applying the wanted objects of a partner would do. With pruning, objects not wanted are removed.
enum class pruning { keep_others, remove_others };
std::vector<difference> plan(config::catalog const& present, partner_name const& partner,
    std::vector<config::object> const& wanted, pruning others);

// Commits what plan() finds. Tries again after a race that concerned other objects.
result<submit_report> submit(table_service::http_platform& platform, partner_name const& partner,
    std::vector<config::object> const& wanted, pruning others);

} // namespace shedhill::operations
