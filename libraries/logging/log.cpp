// SPDX-License-Identifier: BSD-2-Clause
// Implements the log by Boost.Log.
#include "libraries/logging/log.h"

#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace shedhill::logging {

void open_log(std::string const& process)
{
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::cerr, boost::log::keywords::format = "%TimeStamp% " + process + " %Message%",
        boost::log::keywords::auto_flush = true);
}

void log_state(std::string const& text) { BOOST_LOG_TRIVIAL(info) << "state " << text; }

void log_error(std::string const& text) { BOOST_LOG_TRIVIAL(error) << "error " << text; }

} // namespace shedhill::logging
