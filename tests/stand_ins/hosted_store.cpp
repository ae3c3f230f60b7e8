// SPDX-License-Identifier: BSD-2-Clause
// Implements the store's interface with rows in memory.
#include "tests/stand_ins/hosted_store.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/fiber/operations.hpp>

namespace shedhill::stand_ins {

namespace {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

std::string encode(std::string const& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode(std::string const& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> query;
    auto start = target.find('?');
    while (start != std::string::npos) {
        auto const end = target.find('&', start + 1);
        auto const item = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        auto const equals = item.find('=');
        query[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
        start = end;
    }
    return query;
}

std::string text(json::object const& from, char const* name) { return std::string(from.at(name).as_string()); }

void respond(net::http_exchange& exchange, std::uint16_t status, json::value const& body)
{
    (void)exchange.respond({ status, {}, "application/json", json::serialize(body) });
}

} // namespace

void hosted_store::serve(net::http_exchange& exchange)
{
    auto const& target = exchange.request().target;
    if (target == "/control") {
        control(json::parse(exchange.request().body).as_object());
        return respond(exchange, 200, json::object {});
    }
    if (target == "/counts")
        return respond(exchange, 200, json::object { { "calls", m_calls } });
    ++m_calls;
    if (m_is_down)
        return exchange.abort_stream();
    auto const query = query_of(target);
    if (target.starts_with("/rows-get"))
        return respond(exchange, 200,
            json::object {
                { "rows", rows_since(query.at("table"), 0, false) }, { "more", false }, { "ver", m_version } });
    if (target.starts_with("/rows-feed"))
        return serve_feed(exchange, query);
    if (target == "/rows-tx")
        return serve_transaction(exchange);
    respond(exchange, 404, json::object {});
}

void hosted_store::control(json::object const& body)
{
    if (auto const* down = body.if_contains("down"))
        m_is_down = down->as_bool();
    if (auto const* loses = body.if_contains("lose"))
        m_loses_answers = loses->as_bool();
    if (auto const* puts = body.if_contains("put")) {
        for (auto const& entry : puts->as_array())
            put(text(entry.as_object(), "table"), text(entry.as_object(), "key"), text(entry.as_object(), "value"));
    }
    if (auto const* removed = body.if_contains("remove")) {
        for (auto const& entry : removed->as_array())
            remove(text(entry.as_object(), "table"), text(entry.as_object(), "key"));
    }
    if (body.contains("forget"))
        m_oldest_version = m_version + 1;
}

void hosted_store::put(std::string const& table, std::string const& key, std::string const& value)
{
    m_tables[table][key] = { value, ++m_version, false };
}

void hosted_store::remove(std::string const& table, std::string const& key)
{
    m_tables[table][key] = { {}, ++m_version, true };
}

json::array hosted_store::rows_since(std::string const& table, std::uint64_t version, bool include_removed) const
{
    json::array rows;
    auto const found = m_tables.find(table);
    if (found == m_tables.end())
        return rows;
    for (auto const& [key, row] : found->second) {
        if (row.version <= version || (row.is_removed && !include_removed))
            continue;
        json::object row_json { { "table", table }, { "part", "" }, { "tls_key", key }, { "ver", row.version } };
        if (row.is_removed)
            row_json["gone"] = true;
        else
            row_json["value"] = encode(row.value);
        rows.push_back(std::move(row_json));
    }
    return rows;
}

void hosted_store::serve_feed(net::http_exchange& exchange, std::map<std::string, std::string> const& query)
{
    constexpr std::chrono::milliseconds pause { 10 };
    auto const since = std::stoull(query.at("since_revision"));
    auto time_left = std::chrono::milliseconds(std::stoll(query.at("wait_ms")));
    auto rows = rows_since(query.at("table"), since, true);
    for (; rows.empty() && since + 1 >= m_oldest_version && time_left > pause && !m_is_down; time_left -= pause) {
        boost::this_fiber::sleep_for(pause);
        rows = rows_since(query.at("table"), since, true);
    }
    // The history may be lost while a long poll waits.
    if (since + 1 < m_oldest_version)
        return respond(exchange, 410, json::object {});
    respond(exchange, 200, json::object { { "rows", rows }, { "ver", m_version } });
}

void hosted_store::serve_transaction(net::http_exchange& exchange)
{
    auto const body = json::parse(exchange.request().body).as_object();
    for (auto const& expected : body.at("expected_revision").as_array()) {
        auto const& entry = expected.as_object();
        auto const& found = m_tables[text(entry, "table")][text(entry, "tls_key")];
        auto const current_version = found.is_removed ? 0 : found.version;
        if (current_version != entry.at("ver").to_number<std::uint64_t>())
            return respond(exchange, 412, json::object { { "ver", m_version } });
    }
    for (auto const& entry : body.at("put").as_array())
        put(text(entry.as_object(), "table"), text(entry.as_object(), "tls_key"),
            decode(text(entry.as_object(), "value")));
    for (auto const& entry : body.at("remove").as_array())
        remove(text(entry.as_object(), "table"), text(entry.as_object(), "tls_key"));
    if (m_loses_answers)
        return exchange.abort_stream();
    respond(exchange, 200, json::object { { "ver", m_version } });
}

} // namespace shedhill::stand_ins
