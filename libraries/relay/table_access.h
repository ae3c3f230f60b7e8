// SPDX-License-Identifier: BSD-2-Clause
// What a binding provides for the tables of the store: functions that write calls and parse answers.
#pragma once

#include "base/error.h"
#include "base/units.h"
#include "libraries/dispatch/types.h"
#include "libraries/relay/store_clock.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::relay {

using dispatch::table_name;

struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version { 0 };
    bool is_gone { false };
};

struct table_page {
    std::vector<table_row> rows;
    // The newest version of the store that the rows include.
    std::uint64_t version { 0 };
    bool has_more { false };
    // When the store wrote the answer, by its own clock, if it says so.
    std::optional<store_milliseconds> store_time {};
};

enum class store_verdict {
    done,
    // The store no longer has the requested history: the table has to be read again.
    history_gone,
    // The condition of a write did not hold.
    condition_failed,
    // The call was not executed, or its outcome is unknown.
    failed,
};

// Parses a configuration in steps of a bounded size.
template <typename Steps>
concept configuration_steps = std::constructible_from<Steps, std::string> && requires(Steps& steps)
{
    // Takes a step; returns whether it was the last one.
    {
        steps.advance()
        } -> std::same_as<bool>;
    {
        steps.take()
        } -> std::same_as<result<dispatch::configuration>>;
    {
        steps.document_size()
        } -> std::same_as<std::size_t>;
};

template <typename Binding>
concept table_protocol = configuration_steps<typename Binding::configuration_steps> && requires(std::string const& text,
    std::string_view body, table_name table, std::uint64_t version, milliseconds wait, unsigned status)
{
    // Return complete HTTP calls to the store, whose address is the first argument.
    {
        Binding::read_call(text, table, text)
        } -> std::same_as<std::string>;
    {
        Binding::watch_call(text, table, version, wait)
        } -> std::same_as<std::string>;
    {
        Binding::put_call(text, table, text, text)
        } -> std::same_as<std::string>;
    {
        Binding::remove_call(text, table, text, version)
        } -> std::same_as<std::string>;
    {
        Binding::verdict_of(status)
        } -> std::same_as<store_verdict>;
    {
        Binding::parse_page(body)
        } -> std::same_as<result<table_page>>;
    // Parse the rows of the configuration and endpoint tables.
    {
        Binding::configuration_key()
        } -> std::same_as<std::string_view>;
    {
        Binding::evacuated_domain(body)
        } -> std::same_as<std::optional<failure_domain>>;
    {
        Binding::parse_configuration(body)
        } -> std::same_as<result<dispatch::configuration>>;
    {
        Binding::parse_endpoint(text, body)
        } -> std::same_as<result<dispatch::endpoint_entry>>;
};

} // namespace shedhill::relay
