// SPDX-License-Identifier: BSD-2-Clause
// Parses flags by cxxopts and checks every value against the type and range in the table.
#include "libraries/settings/setting_table.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <sstream>

namespace shedhill::settings {

void setting_table::add_text(std::string const& name, std::string const& fallback, std::string const& help)
{
    m_settings.push_back({ name, kind::text, fallback, 0, 0, {}, help });
}

void setting_table::add_choice(
    std::string const& name, std::vector<std::string> const& choices, std::string const& help)
{
    m_settings.push_back({ name, kind::choice, choices.front(), 0, 0, choices, help });
}

void setting_table::add_number(
    std::string const& name, std::int64_t fallback, std::int64_t min, std::int64_t max, std::string const& help)
{
    m_settings.push_back({ name, kind::number, std::to_string(fallback), min, max, {}, help });
}

void setting_table::add_flag(std::string const& name, std::string const& help)
{
    m_settings.push_back({ name, kind::flag, {}, 0, 0, {}, help });
}

result<setting_values> setting_table::parse(int count, char const* const* arguments) const
{
    cxxopts::Options options(m_program);
    for (auto const& described : m_settings) {
        if (described.type == kind::flag)
            options.add_options()(described.name, described.help);
        else
            options.add_options()(described.name, described.help, cxxopts::value<std::string>());
    }
    setting_values values;
    try {
        if (m_has_positional) {
            options.add_options()("positional", "", cxxopts::value<std::vector<std::string>>());
            options.parse_positional({ "positional" });
        }
        // NOTE: This version of cxxopts takes an array of non-const pointers, which it does not modify.
        auto const parsed = options.parse(count, const_cast<char const**>(arguments));
        if (m_has_positional && parsed.count("positional") > 0)
            values.m_positional = parsed["positional"].as<std::vector<std::string>>();
        if (!m_has_positional && !parsed.unmatched().empty())
            return fail("read settings", m_program, "unknown argument '" + parsed.unmatched().front() + "'");
        for (auto const& described : m_settings) {
            auto const is_given = parsed.count(described.name) > 0;
            if (described.type == kind::flag) {
                if (is_given)
                    values.m_flags[described.name] = true;
                continue;
            }
            auto const* variable = std::getenv(environment_variable(described.name).c_str());
            auto const value = is_given ? parsed[described.name].as<std::string>()
                : variable != nullptr   ? std::string(variable)
                                        : described.fallback;
            TRY_VOID(store(described, value, values));
        }
    } catch (cxxopts::exceptions::exception const& parse_error) {
        return fail("read settings", m_program, parse_error.what());
    }
    return values;
}

std::string setting_table::help() const
{
    std::ostringstream out;
    out << "usage: " << m_program << " [settings]\n";
    for (auto const& described : m_settings) {
        out << "  --" << described.name;
        if (described.type != kind::flag)
            out << "  (" << environment_variable(described.name) << "; " << describe_allowed_values(described)
                << "; default '" << described.fallback << "')";
        out << "\n      " << described.help << '\n';
    }
    return out.str();
}

std::string setting_table::environment_variable(std::string const& name)
{
    std::string variable = "SHEDHILL_";
    for (auto const character : name)
        variable.push_back(
            character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
    return variable;
}

result<void> setting_table::store(setting const& described, std::string const& value, setting_values& values) const
{
    auto const refuse = [&] {
        return fail("read settings", m_program,
            "--" + described.name + " (" + environment_variable(described.name) + ") is '" + value + "' but must be "
                + describe_allowed_values(described));
    };
    if (described.type == kind::number) {
        std::int64_t number = 0;
        auto const* end = value.data() + value.size();
        auto const [stop, problem] = std::from_chars(value.data(), end, number);
        if (problem != std::errc() || stop != end || number < described.min || number > described.max)
            return refuse();
        values.m_numbers[described.name] = number;
        return {};
    }
    if (described.type == kind::choice && std::ranges::find(described.choices, value) == described.choices.end())
        return refuse();
    values.m_texts[described.name] = value;
    return {};
}

std::string setting_table::describe_allowed_values(setting const& described)
{
    if (described.type == kind::number)
        return "a whole number from " + std::to_string(described.min) + " to " + std::to_string(described.max);
    if (described.type == kind::text)
        return "text";
    std::string words = "one of";
    for (auto const& choice : described.choices)
        words += " " + choice;
    return words;
}

} // namespace shedhill::settings
