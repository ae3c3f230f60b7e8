// SPDX-License-Identifier: BSD-2-Clause
// Writes lines through Boost.Log's core to a sink that buffers them and writes only when standard output is writable.
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

// Buffers lines until the next flush, so that one system call writes many lines. The buffer never holds more than
// PIPE_BUF bytes, which a writable pipe accepts without blocking.
struct pending_lines {
    std::string text;
    std::uint64_t count { 0 };
    // The number of lines that were not written, because the reader was too slow or the line was longer than PIPE_BUF.
    std::uint64_t dropped { 0 };

    void add(std::string const& line)
    {
        if (line.size() > PIPE_BUF) {
            ++dropped;
            return;
        }
        if (text.size() + line.size() > PIPE_BUF)
            flush();
        text += line;
        ++count;
    }

    void flush()
    {
        if (text.empty())
            return;
        pollfd state { STDOUT_FILENO, POLLOUT, 0 };
        bool const is_written = poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0
            && ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
        if (!is_written)
            dropped += count;
        text.clear();
        count = 0;
    }
};

pending_lines g_pending; // NOLINT: only one thread logs

class pending_output : public log::sinks::basic_formatted_sink_backend<char, log::sinks::concurrent_feeding> {
public:
    static void consume(log::record_view const&, std::string const& line) { g_pending.add(line); }
};

void install_sink()
{
    using sink = log::sinks::unlocked_sink<pending_output>;
    auto const sink_frontend = boost::make_shared<sink>(boost::make_shared<pending_output>());
    sink_frontend->set_formatter([](log::record_view const& record, log::formatting_ostream& out) {
        out << record[log::aux::default_attribute_names::message()].extract<std::string>().get() << '\n';
    });
    log::core::get()->remove_all_sinks();
    log::core::get()->add_sink(sink_frontend);
}

std::string_view name_of(event_level level)
{
    switch (level) {
    case event_level::debug:
        return "debug";
    case event_level::warning:
        return "warning";
    case event_level::info:
        break;
    }
    return "info";
}

} // namespace

event_log::event_log(std::string vm, event_log_options options)
    : m_vm(std::move(vm))
    , m_options(options)
{
    install_sink();
}

bool event_log::consume_budget(event_level level, instant now)
{
    constexpr std::int64_t ms_per_second = 1000;
    auto const second = now.time_since_epoch().count() / ms_per_second;
    if (second != m_second) {
        m_second = second;
        m_debug_lines = 0;
        m_warnings = 0;
    }
    if (level == event_level::info)
        return true;
    if (level == event_level::debug)
        return ++m_debug_lines <= m_options.debug_lines_per_second;
    return ++m_warnings <= m_options.warnings_per_second;
}

void event_log::write(event_level level, std::string_view event, std::string_view fields, instant now)
{
    if (!consume_budget(level, now)) {
        ++m_counts.rate_limited;
        return;
    }
    auto const unix_ms = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
    std::string line;
    constexpr std::size_t typical_line_size = 320;
    line.reserve(typical_line_size);
    line += R"({"unix_ms":)";
    line += std::to_string(unix_ms);
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
    if (level == event_level::info)
        flush();
}

void event_log::flush()
{
    g_pending.flush();
    m_counts.dropped = g_pending.dropped;
}

void event_log::write_line(std::string const& line)
{
    static log::sources::logger logger;
    ++m_counts.accepted;
    if (auto record = logger.open_record()) {
        log::record_ostream stream(record);
        stream << line;
        stream.flush();
        logger.push_record(std::move(record));
    }
}

} // namespace shedhill::logging
