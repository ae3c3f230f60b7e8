// SPDX-License-Identifier: BSD-2-Clause
// Logs state changes and errors by Boost.Log. Frequent events are counted in metrics instead.
#pragma once

#include <string>

namespace shedhill::logging {

// Initializes logging to standard error. Each line contains the name of the process.
void open_log(std::string const& process);
void log_state(std::string const& text);
void log_error(std::string const& text);

} // namespace shedhill::logging
