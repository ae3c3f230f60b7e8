// SPDX-License-Identifier: BSD-2-Clause
// Settings from command-line flags and environment variables, each with a type and a range. A flag overrides its
// variable, and the variable overrides the default. The error for a value out of range names the flag and the variable.
#pragma once

#include "base/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedhill::settings {

// The values of a table's settings by name. text() and number() throw std::out_of_range for a name that the table does
// not have with that type.
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
    // The program's name appears in errors and in help(). All variables have the prefix SHEDHILL_: for example
    // SHEDHILL_QUEUE_BOUND for --queue-bound.
    explicit setting_table(std::string program)
        : m_program(std::move(program))
    {
    }

    void add_text(std::string const& name, std::string const& fallback, std::string const& help);
    // Adds a setting whose value is one of the choices; the first choice is the default.
    void add_choice(std::string const& name, std::vector<std::string> const& choices, std::string const& help);
    // Adds a setting whose value is a whole number from min to max.
    void add_number(
        std::string const& name, std::int64_t fallback, std::int64_t min, std::int64_t max, std::string const& help);
    // Adds a flag without a value. It has no environment variable.
    void add_flag(std::string const& name, std::string const& help);
    // Accepts arguments without a flag name, which setting_values::positional() returns.
    void allow_positional() { m_has_positional = true; }

    // Returns an error if an argument is unknown or a value does not match its setting.
    [[nodiscard]] result<setting_values> parse(int count, char const* const* arguments) const;
    [[nodiscard]] std::string help() const;

private:
    enum class kind { text, choice, number, flag };

    struct setting {
        std::string name;
        kind type { kind::text };
        std::string fallback;
        std::int64_t min { 0 };
        std::int64_t max { 0 };
        std::vector<std::string> choices;
        std::string help;
    };

    [[nodiscard]] static std::string environment_variable(std::string const& name);
    [[nodiscard]] result<void> store(setting const& described, std::string const& value, setting_values& values) const;
    [[nodiscard]] static std::string describe_allowed_values(setting const& described);

    std::string m_program;
    std::vector<setting> m_settings;
    bool m_has_positional { false };
};

} // namespace shedhill::settings
