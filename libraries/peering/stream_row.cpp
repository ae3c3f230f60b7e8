// SPDX-License-Identifier: BSD-2-Clause
// Converts rows of the table of streams to and from their text form.
#include "libraries/peering/stream_row.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>

namespace shedhill::peering {

namespace {

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

void append_number(std::string& text, std::uint64_t number, int base)
{
    constexpr std::size_t max_digits = 20;
    std::array<char, max_digits> digits {};
    auto const written = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    text.append(digits.data(), written.ptr);
}

// Removes the next word from the front of the line and returns its number; empty if it is not one.
template <typename Number>
std::optional<Number> take_number(std::string_view& line, int base)
{
    auto const end = std::min(line.find(' '), line.size());
    auto const word = line.substr(0, end);
    line.remove_prefix(std::min(end + 1, line.size()));
    Number number {};
    auto const [last, failure] = std::from_chars(word.data(), word.data() + word.size(), number, base);
    if (failure != std::errc() || last != word.data() + word.size())
        return std::nullopt;
    return number;
}

void parse_line(std::string_view line, std::vector<dispatch::stream_record>& streams)
{
    auto const software = take_number<std::uint32_t>(line, decimal);
    if (!software)
        return;
    while (!line.empty()) {
        if (auto const stream = take_number<std::uint64_t>(line, hexadecimal))
            streams.push_back({ stream_key(*stream), software_key(*software), milliseconds(0) });
    }
}

} // namespace

std::string to_stream_row(std::vector<dispatch::stream_record> const& streams)
{
    std::map<std::uint32_t, std::string> lines;
    for (auto const& record : streams) {
        auto& line = lines[record.software.value()];
        line += ' ';
        append_number(line, record.stream.value(), hexadecimal);
    }
    std::string text;
    for (auto const& [software, line] : lines) {
        append_number(text, software, decimal);
        text += line;
        text += '\n';
    }
    return text;
}

std::vector<dispatch::stream_record> parse_stream_row(std::string_view text)
{
    std::vector<dispatch::stream_record> streams;
    while (!text.empty()) {
        auto const end = std::min(text.find('\n'), text.size());
        parse_line(text.substr(0, end), streams);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return streams;
}

} // namespace shedhill::peering
