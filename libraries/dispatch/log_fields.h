// SPDX-License-Identifier: BSD-2-Clause
// Builds the fields of a log line: JSON members, joined by commas, without the outer braces.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace shedhill::dispatch {

// Returns the start of a text that another program chose, as long as a log line may hold it.
constexpr std::string_view shorten(std::string_view text)
{
    constexpr std::size_t max_length = 64;
    return text.substr(0, max_length);
}

class log_fields {
public:
    log_fields& add(std::string_view name, std::string_view value)
    {
        begin(name);
        m_text += '"';
        append_escaped(value);
        m_text += '"';
        return *this;
    }

    log_fields& add(std::string_view name, char const* value) { return add(name, std::string_view(value)); }

    template <std::integral Number>
    log_fields& add(std::string_view name, Number value)
    {
        begin(name);
        m_text += std::to_string(value);
        return *this;
    }

    [[nodiscard]] std::string take() { return std::move(m_text); }

private:
    void begin(std::string_view name)
    {
        if (!m_text.empty())
            m_text += ',';
        m_text += '"';
        m_text += name;
        m_text += "\":";
    }

    void append_escaped(std::string_view value)
    {
        constexpr auto first_printable = 0x20;
        for (auto const character : value) {
            if (character == '"' || character == '\\')
                m_text += '\\';
            m_text += static_cast<unsigned char>(character) < first_printable ? '?' : character;
        }
    }

    std::string m_text;
};

} // namespace shedhill::dispatch
