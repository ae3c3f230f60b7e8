// SPDX-License-Identifier: BSD-2-Clause
// Implements the platform's table and object store in memory, and its faults.
#include "tests/stand_ins/platform.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace shedhill::stand_ins {

namespace {

constexpr std::string_view objects_prefix = "/v1/objects/";

std::string text(boost::json::object const& members, char const* name)
{
    return std::string(members.at(name).as_string());
}

} // namespace

void platform::serve(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    auto const respond = [&](boost::json::value const& json) {
        (void)exchange.respond({ 200, {}, "application/json", boost::json::serialize(json) });
    };
    if (request.target == "/control") {
        control(boost::json::parse(request.body).as_object());
        respond(boost::json::object {});
        return;
    }
    if (request.target == "/counts") {
        respond(boost::json::object { { "reads", m_reads }, { "writes", m_writes } });
        return;
    }
    if (m_is_down) {
        exchange.abort_stream();
        return;
    }
    if (m_delay > std::chrono::milliseconds(0))
        boost::this_fiber::sleep_for(m_delay);
    if (request.target.starts_with(objects_prefix)) {
        serve_object(exchange);
        return;
    }
    auto const body = boost::json::parse(request.body).as_object();
    if (request.target == "/v1/transaction") {
        auto const answer = transact(body);
        if (m_lost_answers > 0) {
            --m_lost_answers;
            exchange.abort_stream();
            return;
        }
        respond(answer);
        return;
    }
    ++m_reads;
    if (request.target == "/v1/read")
        respond(read(body));
    else if (request.target == "/v1/range")
        respond(range(body));
    else if (body.at("known_version").to_number<std::uint64_t>() == m_vms_version)
        respond(boost::json::object { { "version", m_vms_version } });
    else
        respond(boost::json::object { { "version", m_vms_version }, { "vms", m_vms } });
}

void platform::control(boost::json::object const& body)
{
    if (auto const* down = body.if_contains("down"))
        m_is_down = down->as_bool();
    if (auto const* lost = body.if_contains("lose_answers"))
        m_lost_answers = lost->to_number<std::int64_t>();
    if (auto const* delay = body.if_contains("delay_ms"))
        m_delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
    if (auto const* vms = body.if_contains("vms")) {
        m_vms = vms->as_array();
        ++m_vms_version;
    }
}

boost::json::value platform::read(boost::json::object const& body) const
{
    boost::json::array rows;
    for (auto const& key : body.at("keys").as_array()) {
        auto const found = m_rows.find(std::string(key.as_string()));
        auto const current = found == m_rows.end() ? row {} : found->second;
        rows.push_back(boost::json::object { { "value", current.value }, { "version", current.version } });
    }
    return boost::json::object { { "rows", std::move(rows) } };
}

boost::json::value platform::range(boost::json::object const& body) const
{
    boost::json::array rows;
    auto const end = m_rows.lower_bound(text(body, "to"));
    for (auto found = m_rows.lower_bound(text(body, "from")); found != end; ++found) {
        rows.push_back(boost::json::object {
            { "key", found->first }, { "value", found->second.value }, { "version", found->second.version } });
    }
    return boost::json::object { { "rows", std::move(rows) } };
}

boost::json::value platform::transact(boost::json::object const& body)
{
    ++m_writes;
    auto const holds = [&](boost::json::value const& condition) {
        auto const found = m_rows.find(text(condition.as_object(), "key"));
        auto const current = found == m_rows.end() ? 0 : found->second.version;
        return current == condition.at("version").to_number<std::uint64_t>();
    };
    if (!std::ranges::all_of(body.at("if").as_array(), holds))
        return boost::json::object { { "made", false } };
    for (auto const& put : body.at("put").as_array())
        m_rows[text(put.as_object(), "key")] = { text(put.as_object(), "value"), ++m_last_version };
    for (auto const& key : body.at("delete").as_array())
        m_rows.erase(std::string(key.as_string()));
    return boost::json::object { { "made", true } };
}

void platform::serve_object(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    auto const name = request.target.substr(objects_prefix.size());
    if (request.method == "PUT") {
        ++m_writes;
        m_objects[name] = request.body;
        (void)exchange.respond({ 200, {}, "text/plain", "" });
        return;
    }
    ++m_reads;
    auto const found = m_objects.find(name);
    if (found == m_objects.end())
        (void)exchange.respond({ 404, {}, "text/plain", "" });
    else
        (void)exchange.respond({ 200, {}, "application/json", found->second });
}

} // namespace shedhill::stand_ins
