// SPDX-License-Identifier: BSD-2-Clause
// Defines the input of a command and the functions with which it reports failures.
#pragma once

#include "libraries/operations/config_session.h"
#include "libraries/settings/setting_table.h"
#include "utilities/shedhill/commands.h"

#include <string>
#include <vector>

namespace shedhill::tool {

struct command_context {
    settings::setting_values const& values;
    // The positional arguments without the name of the command.
    std::vector<std::string> arguments;
    table_service::http_platform platform;

    [[nodiscard]] bool is_json() const { return values.text("output") == "json"; }
    [[nodiscard]] partner_name partner() const { return partner_name(values.text("partner")); }
    [[nodiscard]] operations::pruning pruning() const
    {
        return values.has_flag("prune") ? operations::pruning::remove_others : operations::pruning::keep_others;
    }
};

// Both functions print to the standard error output and return the exit code: report_failure() returns `code`,
// report_usage() returns exit_code::usage.
exit_code report_failure(error const& failure, exit_code code);
exit_code report_usage(std::string const& text);

} // namespace shedhill::tool
