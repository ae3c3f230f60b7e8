// SPDX-License-Identifier: BSD-2-Clause
// Lines through Boost.Log's core into a sink that asks the pipe before it writes.
#include "libraries/logging/event_log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace shedhill::logging {

namespace {

namespace log = boost::log;

// Set by the sink: whether the line that was last given could be written.
bool g_was_written = false; // NOLINT: one thread logs

// A pipe that is writable has room for PIPE_BUF bytes at least, so a write of no more does not block.
class guarded_output : public log::sinks::basic_formatted_sink_backend<char, log::sinks::concurrent_feeding> {
public:
    static void consume(log::record_view const&, std::string const& line)
    {
        pollfd state { STDOUT_FILENO, POLLOUT, 0 };
        g_was_written = line.size() <= PIPE_BUF && poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0
            && ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }
};

void install_sink()
{
    using sink = log::sinks::unlocked_sink<guarded_output>;
    auto const made = boost::make_shared<sink>(boost::make_shared<guarded_output>());
    made->set_formatter([](log::record_view const& record, log::formatting_ostream& out) {
        out << record[log::aux::default_attribute_names::message()].extract<std::string>().get() << '\n';
    });
    log::core::get()->remove_all_sinks();
    log::core::get()->add_sink(made);
}

std::string_view name_of(event_level level)
{
    switch (level) {
    case event_level::detail:
        return "detail";
    case event_level::failure:
        return "failure";
    case event_level::state:
        break;
    }
    return "state";
}

} // namespace

event_log::event_log(std::string vm, event_log_options options)
    : m_vm(std::move(vm))
    , m_options(options)
{
    install_sink();
}

bool event_log::take_from_budget(event_level level, instant now)
{
    constexpr std::int64_t ms_per_second = 1000;
    auto const second = now.time_since_epoch().count() / ms_per_second;
    if (second != m_second) {
        m_second = second;
        m_details = 0;
        m_failures = 0;
    }
    if (level == event_level::state)
        return true;
    if (level == event_level::detail)
        return ++m_details <= m_options.details_per_second;
    return ++m_failures <= m_options.failures_per_second;
}

void event_log::write(event_level level, std::string_view event, std::string_view fields, instant now)
{
    if (!take_from_budget(level, now)) {
        ++m_counts.over_budget;
        return;
    }
    auto const wall = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
    std::string line;
    constexpr std::size_t usual_size = 320;
    line.reserve(usual_size);
    line += R"({"unix_ms":)";
    line += std::to_string(wall);
    line += R"(,"vm":")";
    line += m_vm;
    line += R"(","level":")";
    line += name_of(level);
    line += R"(","event":")";
    line += event;
    line += '"';
    if (!fields.empty()) {
        line += ',';
        line += fields;
    }
    line += '}';
    write_line(line);
}

void event_log::write_line(std::string const& line)
{
    static log::sources::logger logger;
    g_was_written = false;
    if (auto record = logger.open_record()) {
        log::record_ostream stream(record);
        stream << line;
        stream.flush();
        logger.push_record(std::move(record));
    }
    if (g_was_written)
        ++m_counts.written;
    else
        ++m_counts.pipe_full;
}

} // namespace shedhill::logging
