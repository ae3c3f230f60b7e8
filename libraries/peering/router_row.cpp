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

constexpr char versions_sign = 'V';

// Parses the line of software versions without its sign. Returns false if it is not valid.
bool parse_versions(std::string_view line, std::vector<dispatch::stored_version>& versions)
{
    while (!line.empty()) {
        auto const pool = take_number<std::uint64_t>(line);
        auto const software = take_number<std::uint32_t>(line);
        auto const settled = take_number<std::uint8_t>(line);
        if (!pool || !software || !settled)
            return false;
        versions.push_back({ pool_key(*pool), software_key(*software), *settled != 0 });
    }
    return true;
}

} // namespace

std::string to_text(router_row const& row)
{
    auto text = to_text(row.member);
    for (auto const& record : row.quarantined)
        text += '\n' + std::to_string(record.request.team.value()) + ' '
            + std::to_string(record.request.content.value()) + ' ' + std::to_string(record.stamp.epoch) + ' '
            + std::to_string(record.stamp.crashes) + ' ' + (record.was_answered ? '1' : '0');
    if (!row.states_versions)
        return text;
    text += '\n';
    text += versions_sign;
    for (auto const& [pool, software, is_settled] : row.versions)
        text
            += ' ' + std::to_string(pool.value()) + ' ' + std::to_string(software.value()) + (is_settled ? " 1" : " 0");
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
        auto const line = text.substr(0, end);
        if (line.starts_with(versions_sign))
            row.states_versions = parse_versions(line.substr(1), row.versions);
        else if (auto const record = parse_record(line))
            row.quarantined.push_back(*record);
        text.remove_prefix(end);
    }
    return row;
}

} // namespace shedhill::peering
