// SPDX-License-Identifier: BSD-2-Clause
// What a binding gives for the tables of the store: how calls are written and answers are read.
#pragma once

#include "base/error.h"
#include "base/units.h"
#include "libraries/dispatch/types.h"

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
    // The newest version of the store, up to which the rows are complete.
    std::uint64_t version { 0 };
    bool has_more { false };
};

enum class store_verdict {
    done,
    // The history that was asked for is gone: read anew.
    history_gone,
    // A condition did not hold.
    condition_failed,
    // Nothing was done; or it is not known whether anything was.
    failed,
};

template <typename Binding>
concept table_protocol = requires(std::string const& text, std::string_view body, table_name table,
    std::uint64_t version, milliseconds wait, unsigned status)
{
    // Whole HTTP calls to the store.
    {
        Binding::read_call(text, table, text)
        } -> std::same_as<std::string>;
    {
        Binding::follow_call(text, table, version, wait)
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
    // The declared configuration from the rows of its table.
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
