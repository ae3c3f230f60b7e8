// SPDX-License-Identifier: BSD-2-Clause
// Converts rows of the table of routers to and from their text form, line by line.
#include "libraries/peering/router_row.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace shedhill::peering {

namespace {

// Removes the next number from the front of the text and returns it; empty if there is none or it does not fit.
template <typename Number>
std::optional<Number> take_number(std::string_view& text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    Number number {};
    auto const* const last = text.data() + text.size();
    auto const [end, failure] = std::from_chars(text.data(), last, number);
    if (failure != std::errc())
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

std::optional<dispatch::crash_record> parse_record(std::string_view line)
{
    auto const team = take_number<std::uint64_t>(line);
    auto const content = take_number<std::uint64_t>(line);
    auto const epoch = take_number<std::uint16_t>(line);
    auto const crashes = take_number<std::uint8_t>(line);
    auto const answered = take_number<std::uint8_t>(line);
    if (!team || !content || !epoch || !crashes || !answered)
        return std::nullopt;
    dispatch::crash_record record;
    record.request = { team_key(*team), content_hash(*content) };
    record.stamp = { *epoch, *crashes };
    record.was_answered = *answered != 0;
    return record;
}

} // namespace

std::string to_text(router_row const& row)
{
    auto text = to_text(row.member);
    for (auto const& record : row.quarantined)
        text += '\n' + std::to_string(record.request.team.value()) + ' '
            + std::to_string(record.request.content.value()) + ' ' + std::to_string(record.stamp.epoch) + ' '
            + std::to_string(record.stamp.crashes) + ' ' + (record.was_answered ? '1' : '0');
    return text;
}

router_row parse_router_row(std::string_view text)
{
    auto const first = std::min(text.find('\n'), text.size());
    router_row row { parse_member(text.substr(0, first)) };
    text.remove_prefix(first);
    while (!text.empty()) {
        text.remove_prefix(1);
        auto const end = std::min(text.find('\n'), text.size());
        if (auto const record = parse_record(text.substr(0, end)))
            row.quarantined.push_back(*record);
        text.remove_prefix(end);
    }
    return row;
}

} // namespace shedhill::peering
