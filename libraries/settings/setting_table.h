// SPDX-License-Identifier: BSD-2-Clause
// Settings by flags and environment variables, each with a kind and a range. A flag goes before its variable, and the
// variable before the default. What is unknown or out of range is refused with the names of flag and variable.
#pragma once

#include "base/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedhill::settings {

class setting_values {
public:
    [[nodiscard]] std::string const& text(std::string const& name) const { return m_texts.at(name); }
    [[nodiscard]] std::int64_t number(std::string const& name) const { return m_numbers.at(name); }
    [[nodiscard]] bool has_flag(std::string const& name) const { return m_flags.contains(name); }
    [[nodiscard]] std::vector<std::string> const& positional() const { return m_positional; }

private:
    friend class setting_table;
    std::map<std::string, std::string> m_texts;
    std::map<std::string, std::int64_t> m_numbers;
    std::map<std::string, bool> m_flags;
    std::vector<std::string> m_positional;
};

class setting_table {
public:
    // The program's name is also the prefix of its variables: SHEDHILL_QUEUE_BOUND for --queue-bound.
    explicit setting_table(std::string program)
        : m_program(std::move(program))
    {
    }

    void add_text(std::string const& name, std::string const& fallback, std::string const& help);
    // One of a few words.
    void add_choice(std::string const& name, std::vector<std::string> const& choices, std::string const& help);
    void add_number(
        std::string const& name, std::int64_t fallback, std::int64_t least, std::int64_t most, std::string const& help);
    void add_flag(std::string const& name, std::string const& help);
    void allow_positional() { m_has_positional = true; }

    [[nodiscard]] result<setting_values> parse(int count, char const* const* arguments) const;
    [[nodiscard]] std::string help() const;

private:
    enum class kind { text, choice, number, flag };

    struct setting {
        std::string name;
        kind type { kind::text };
        std::string fallback;
        std::int64_t least { 0 };
        std::int64_t most { 0 };
        std::vector<std::string> choices;
        std::string help;
    };

    [[nodiscard]] static std::string variable_of(std::string const& name);
    [[nodiscard]] result<void> store(setting const& described, std::string const& value, setting_values& values) const;
    [[nodiscard]] static std::string allowed(setting const& described);

    std::string m_program;
    std::vector<setting> m_settings;
    bool m_has_positional { false };
};

} // namespace shedhill::settings
