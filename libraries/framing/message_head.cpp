// SPDX-License-Identifier: BSD-2-Clause
// Checks a head line by line.
#include "libraries/framing/message_head.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace shedhill::framing {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view blanks = " \t";

bool is_equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(
        left, right, [](unsigned char one, unsigned char other) { return std::tolower(one) == std::tolower(other); });
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_length(std::string_view value)
{
    std::uint64_t length = 0;
    auto const* const last = value.data() + value.size();
    auto const [end, failure] = std::from_chars(value.data(), last, length);
    return failure == std::errc() && end == last && !value.empty();
}

// Returns the status of an answer whose head begins with this line; empty if the line has no status.
std::optional<unsigned> status_of(std::string_view start_line)
{
    auto const space = start_line.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    unsigned status = 0;
    auto const* const last = start_line.data() + start_line.size();
    if (std::from_chars(start_line.data() + space + 1, last, status).ec != std::errc())
        return std::nullopt;
    return status;
}

// Checks the lines of one head in order.
class head_checker {
public:
    std::optional<head_error> check(std::string_view head)
    {
        for (bool is_start = true; !head.empty(); is_start = false) {
            auto const end = head.find(line_end);
            auto const line = head.substr(0, end);
            if (line.empty())
                break;
            if (auto error = is_start ? check_start_line(line) : check_field_line(line))
                return error;
            head.remove_prefix(end == std::string_view::npos ? head.size() : end + line_end.size());
        }
        return std::nullopt;
    }

    // Returns whether a field of the checked head frames a body.
    [[nodiscard]] bool announces_body() const { return m_has_length || m_has_coding; }

private:
    std::optional<head_error> check_start_line(std::string_view line)
    {
        m_is_old_version = line.starts_with("HTTP/1.0") || line.ends_with("HTTP/1.0");
        return check_characters(line);
    }

    std::optional<head_error> check_field_line(std::string_view line)
    {
        if (auto error = check_characters(line))
            return error;
        if (blanks.find(line.front()) != std::string_view::npos)
            return head_error { {}, std::string(line), "is a folded line" };
        auto const colon = line.find(':');
        // A line without a colon is left to the parser, which refuses it.
        if (colon == std::string_view::npos || colon == 0)
            return std::nullopt;
        auto const name = line.substr(0, colon);
        auto const value = trim(line.substr(colon + 1));
        if (blanks.find(name.back()) != std::string_view::npos)
            return head_error { std::string(trim(name)), std::string(value), "has a blank before the colon" };
        if (is_equal_ignoring_case(name, "Content-Length"))
            return check_length(value);
        if (is_equal_ignoring_case(name, "Transfer-Encoding"))
            return check_coding(value);
        return std::nullopt;
    }

    static std::optional<head_error> check_characters(std::string_view line)
    {
        if (line.find_first_of(line_end) == std::string_view::npos)
            return std::nullopt;
        return head_error { {}, std::string(line), "contains CR or LF within a line" };
    }

    std::optional<head_error> check_length(std::string_view value)
    {
        auto const error = [&](std::string_view reason) {
            return head_error { "Content-Length", std::string(value), reason };
        };
        if (m_has_length)
            return error("is repeated");
        if (m_has_coding)
            return error("is given beside Transfer-Encoding");
        m_has_length = true;
        return is_length(value) ? std::nullopt : std::optional(error("is not a length in bytes"));
    }

    std::optional<head_error> check_coding(std::string_view value)
    {
        auto const error = [&](std::string_view reason) {
            return head_error { "Transfer-Encoding", std::string(value), reason };
        };
        if (m_has_coding)
            return error("is repeated");
        if (m_has_length)
            return error("is given beside Content-Length");
        if (m_is_old_version)
            return error("is given in a message of HTTP/1.0");
        m_has_coding = true;
        return is_equal_ignoring_case(value, "chunked") ? std::nullopt : std::optional(error("is not \"chunked\""));
    }

    bool m_is_old_version { false };
    bool m_has_length { false };
    bool m_has_coding { false };
};

} // namespace

std::string to_text(head_error const& error)
{
    constexpr std::size_t max_value = 64;
    auto const name = error.field.empty() ? std::string("the line") : "the field " + error.field;
    return name + " \"" + error.value.substr(0, max_value) + "\" " + std::string(error.reason);
}

std::optional<std::size_t> head_size(std::string_view bytes, std::size_t searched)
{
    // The bytes that were searched may end within the empty line.
    auto const end = bytes.find(head_end, searched - std::min(searched, head_end.size() - 1));
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + head_end.size();
}

std::optional<head_error> check_head(std::string_view head) { return head_checker().check(head); }

std::optional<head_error> check_answer_head(std::string_view head)
{
    constexpr unsigned min_status = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned max_status = 599;
    auto const start_line = head.substr(0, head.find(line_end));
    auto const error = [&](std::string_view reason) { return head_error { {}, std::string(start_line), reason }; };
    auto const status = status_of(start_line);
    if (!status || *status < min_status || *status > max_status)
        return error("has no status from 100 to 599");
    if (*status == switching_protocols)
        return error("switches to a protocol that was not requested");
    head_checker checker;
    if (auto found = checker.check(head))
        return found;
    if (is_interim_status(*status) && checker.announces_body())
        return error("is interim and announces a body");
    return std::nullopt;
}

} // namespace shedhill::framing
