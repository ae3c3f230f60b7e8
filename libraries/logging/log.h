// SPDX-License-Identifier: BSD-2-Clause
// Lines for changes of state, by Boost.Log. What happens often is counted, not logged.
#pragma once

#include <string>

namespace shedhill::logging {

// Sets up the output on standard error; each line names the process.
void open_log(std::string const& process);
void log_state(std::string const& text);
void log_error(std::string const& text);

} // namespace shedhill::logging
