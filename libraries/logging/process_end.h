// SPDX-License-Identifier: BSD-2-Clause
// Logs why this process ends by itself: an exception that nobody catches, a broken invariant, or a fatal signal. The
// last line of a process that stops as planned is "stopped"; a process that the kernel or an operator kills has
// neither.
#pragma once

#include <string>

namespace shedhill::logging {

// Installs the handlers. They write one line "process_ended" with the cause to standard output and end the process in
// the usual way. `vm` names this process in the line.
void log_process_end(std::string const& vm);

} // namespace shedhill::logging
