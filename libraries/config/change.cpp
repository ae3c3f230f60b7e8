// SPDX-License-Identifier: BSD-2-Clause
// Converts changes to and from JSON, and checks that a change modifies only its author's objects.
#include "libraries/config/change.h"

namespace shedhill::config {

namespace {

result<std::string> string_member(boost::json::object const& members, char const* name)
{
    auto const* value = members.if_contains(name);
    if (value == nullptr || !value->is_string())
        return fail("parse change", "", std::string("'") + name + "' must be a string");
    return std::string(value->as_string());
}

result<boost::json::array> array_member(boost::json::object const& members, char const* name)
{
    auto const* value = members.if_contains(name);
    if (value == nullptr || !value->is_array())
        return fail("parse change", "", std::string("'") + name + "' must be a list");
    return value->as_array();
}

bool is_key_of(std::string_view key, partner_name const& partner)
{
    auto const colon = key.find(':');
    return colon != std::string_view::npos && key.substr(colon + 1).starts_with(partner.value() + "/");
}

} // namespace

result<change> parse_change(std::string_view text)
{
    boost::system::error_code failure;
    auto const json = boost::json::parse(text, failure);
    if (failure || !json.is_object())
        return fail("parse change", "", "the change is not a JSON object");
    auto const& members = json.as_object();
    change parsed;
    parsed.id = TRY(string_member(members, "id"));
    parsed.author = partner_name(TRY(string_member(members, "author")));
    for (auto const& item : TRY(array_member(members, "puts")))
        parsed.puts.push_back(TRY(parse_object(item)));
    for (auto const& item : TRY(array_member(members, "removals"))) {
        if (!item.is_string())
            return fail("parse change", "", "'removals' must hold strings");
        parsed.removals.emplace_back(item.as_string());
    }
    return parsed;
}

std::string serialize_change(change const& update)
{
    boost::json::array puts;
    for (auto const& put : update.puts)
        puts.push_back(to_json(put));
    boost::json::array removals;
    for (auto const& key : update.removals)
        removals.emplace_back(key);
    return boost::json::serialize(boost::json::object { { "id", update.id }, { "author", update.author.value() },
        { "puts", std::move(puts) }, { "removals", std::move(removals) } });
}

result<void> check_ownership(change const& update)
{
    for (auto const& put : update.puts) {
        if (object_partner(put) != update.author)
            return fail("check change", update.author.value(), object_key(put) + " belongs to another partner");
    }
    for (auto const& key : update.removals) {
        if (!is_key_of(key, update.author))
            return fail("check change", update.author.value(), key + " belongs to another partner");
    }
    return {};
}

} // namespace shedhill::config
