// SPDX-License-Identifier: BSD-2-Clause
// Parses, validates and serializes declared objects. The error for an invalid declaration names the field and the
// reason.
#include "libraries/config/objects.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <set>

namespace shedhill::config {

namespace {

// In characters.
constexpr std::size_t max_name_length = 100;
// The number of hexadecimal digits of a SHA-256 hash.
constexpr std::size_t key_hash_length = 64;
constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_queue_bound = 100000;

bool is_name_character(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_'
        || character == '.';
}

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_length && std::ranges::all_of(name, is_name_character);
}

// Reads the fields of one object and records which fields are known, so that misspelt fields are refused.
class field_reader {
public:
    field_reader(boost::json::object const& fields, std::string declaration)
        : m_fields(fields)
        , m_declaration(std::move(declaration))
    {
    }

    result<std::string> required_name(std::string const& field)
    {
        auto text = TRY(required_string(field));
        if (!is_valid_name(text))
            return refuse(field, "must be 1 to 100 letters, digits, '-', '_' or '.'");
        return text;
    }

    result<std::string> required_string(std::string const& field)
    {
        auto const* value = find(field);
        if (value == nullptr)
            return refuse(field, "is missing");
        if (!value->is_string())
            return refuse(field, "must be a string");
        return std::string(value->as_string());
    }

    result<std::uint32_t> optional_number(
        std::string const& field, std::uint32_t fallback, std::uint32_t min, std::uint32_t max)
    {
        auto const* value = find(field);
        if (value == nullptr)
            return fallback;
        boost::system::error_code failure;
        auto const number = value->to_number<std::int64_t>(failure);
        if (failure || number < min || number > max)
            return refuse(field, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return static_cast<std::uint32_t>(number);
    }

    result<bool> optional_flag(std::string const& field)
    {
        auto const* value = find(field);
        if (value == nullptr)
            return false;
        if (!value->is_bool())
            return refuse(field, "must be true or false");
        return value->as_bool();
    }

    result<label_map> optional_labels(std::string const& field)
    {
        label_map labels;
        auto const* value = find(field);
        if (value == nullptr)
            return labels;
        if (!value->is_object())
            return refuse(field, "must be an object of strings");
        for (auto const& [label, content] : value->as_object()) {
            if (!content.is_string() || !is_valid_name(label))
                return refuse(field, "label '" + std::string(label) + "' must be a valid name with a string value");
            if (is_built_in_label(label))
                return refuse(field, "label '" + std::string(label) + "' is built in and cannot be declared");
            labels.emplace(label, content.as_string());
        }
        return labels;
    }

    result<std::vector<std::string>> optional_strings(std::string const& field)
    {
        auto const* value = find(field);
        if (value == nullptr)
            return std::vector<std::string> {};
        return strings(*value, field);
    }

    result<selector> optional_selector(std::string const& field)
    {
        selector parsed;
        auto const* value = find(field);
        if (value == nullptr)
            return parsed;
        if (!value->is_object())
            return refuse(field, "must be an object of label: value or label: [values]");
        for (auto const& [label, content] : value->as_object()) {
            if (content.is_string()) {
                parsed.required[label] = { std::string(content.as_string()) };
                continue;
            }
            parsed.required[label] = TRY(strings(content, field));
        }
        return parsed;
    }

    result<void> refuse_unknown_fields()
    {
        for (auto const& [field, value] : m_fields) {
            if (!m_known_fields.contains(field))
                return refuse(field, "is not a known field");
        }
        return {};
    }

    [[nodiscard]] tl::unexpected<error> refuse(std::string const& field, std::string const& reason) const
    {
        return fail("parse declaration", m_declaration, "field '" + field + "' " + reason);
    }

private:
    static bool is_built_in_label(std::string_view label)
    {
        return label == "name" || label == "partner" || label == "pool" || label == "failure-domain";
    }

    boost::json::value const* find(std::string const& field)
    {
        m_known_fields.insert(field);
        return m_fields.if_contains(field);
    }

    result<std::vector<std::string>> strings(boost::json::value const& value, std::string const& field)
    {
        if (!value.is_array())
            return refuse(field, "must be a list of strings");
        std::vector<std::string> texts;
        for (auto const& item : value.as_array()) {
            if (!item.is_string())
                return refuse(field, "must be a list of strings");
            texts.emplace_back(item.as_string());
        }
        return texts;
    }

    boost::json::object const& m_fields;
    std::string m_declaration;
    std::set<std::string, std::less<>> m_known_fields { "kind", "name", "partner" };
};

result<object> parse_team(field_reader& fields, partner_name const& partner, std::string const& name)
{
    team parsed;
    parsed.name = team_name(partner.value() + "/" + name);
    parsed.partner = partner;
    parsed.labels = TRY(fields.optional_labels("labels"));
    parsed.weight = TRY(fields.optional_number("weight", parsed.weight, 1, max_weight));
    parsed.queue_bound = TRY(fields.optional_number("queue_bound", parsed.queue_bound, 1, max_queue_bound));
    parsed.key_hashes = TRY(fields.optional_strings("key_hashes"));
    for (auto const& hash : parsed.key_hashes) {
        auto const is_hexadecimal = std::ranges::all_of(
            hash, [](char character) { return std::isxdigit(static_cast<unsigned char>(character)) != 0; });
        if (hash.size() != key_hash_length || !is_hexadecimal)
            return fields.refuse("key_hashes", "must hold SHA-256 sums in hexadecimal");
    }
    return object(parsed);
}

result<object> parse_endpoint(field_reader& fields, partner_name const& partner, std::string const& name)
{
    endpoint parsed;
    parsed.name = endpoint_name(partner.value() + "/" + name);
    parsed.partner = partner;
    parsed.labels = TRY(fields.optional_labels("labels"));
    parsed.pool = pool_name(TRY(fields.required_name("pool")));
    parsed.domain = failure_domain(TRY(fields.required_name("failure_domain")));
    return object(parsed);
}

result<object> parse_policy(field_reader& fields, partner_name const& partner, std::string const& name)
{
    policy parsed;
    parsed.name = partner.value() + "/" + name;
    parsed.partner = partner;
    auto const action = TRY(fields.required_string("action"));
    if (action != "use" && action != "share")
        return fields.refuse("action", "must be 'use' or 'share'");
    parsed.action = action == "use" ? policy_action::use : policy_action::share;
    parsed.teams = TRY(fields.optional_selector("teams"));
    parsed.endpoints = TRY(fields.optional_selector("endpoints"));
    parsed.is_own_first = TRY(fields.optional_flag("own_first"));
    if (parsed.is_own_first && parsed.action != policy_action::share)
        return fields.refuse("own_first", "belongs to a share policy");
    return object(parsed);
}

boost::json::object labels_to_json(label_map const& labels)
{
    boost::json::object json;
    for (auto const& [label, value] : labels)
        json[label] = value;
    return json;
}

boost::json::array strings_to_json(std::vector<std::string> const& strings)
{
    boost::json::array json;
    for (auto const& text : strings)
        json.emplace_back(text);
    return json;
}

boost::json::object selector_to_json(selector const& source)
{
    boost::json::object json;
    for (auto const& [label, values] : source.required)
        json[label] = strings_to_json(values);
    return json;
}

std::string short_name(std::string const& full_name) { return full_name.substr(full_name.find('/') + 1); }

struct json_writer {
    boost::json::object operator()(team const& declared) const
    {
        return { { "kind", "team" }, { "name", short_name(declared.name.value()) },
            { "partner", declared.partner.value() }, { "labels", labels_to_json(declared.labels) },
            { "weight", declared.weight }, { "queue_bound", declared.queue_bound },
            { "key_hashes", strings_to_json(declared.key_hashes) } };
    }

    boost::json::object operator()(endpoint const& declared) const
    {
        return { { "kind", "endpoint" }, { "name", short_name(declared.name.value()) },
            { "partner", declared.partner.value() }, { "labels", labels_to_json(declared.labels) },
            { "pool", declared.pool.value() }, { "failure_domain", declared.domain.value() } };
    }

    boost::json::object operator()(policy const& declared) const
    {
        return { { "kind", "policy" }, { "name", short_name(declared.name) }, { "partner", declared.partner.value() },
            { "action", declared.action == policy_action::use ? "use" : "share" },
            { "teams", selector_to_json(declared.teams) }, { "endpoints", selector_to_json(declared.endpoints) },
            { "own_first", declared.is_own_first } };
    }
};

} // namespace

bool selector::matches(label_map const& labels) const
{
    return std::ranges::all_of(required, [&](auto const& requirement) {
        auto const& [label, values] = requirement;
        auto const found = labels.find(label);
        return found != labels.end() && std::ranges::find(values, found->second) != values.end();
    });
}

std::string object_key(object const& declared)
{
    if (auto const* as_team = std::get_if<team>(&declared))
        return "team:" + as_team->name.value();
    if (auto const* as_endpoint = std::get_if<endpoint>(&declared))
        return "endpoint:" + as_endpoint->name.value();
    return "policy:" + std::get<policy>(declared).name;
}

partner_name const& object_partner(object const& declared)
{
    return std::visit([](auto const& any) -> partner_name const& { return any.partner; }, declared);
}

result<object> parse_object(boost::json::value const& json)
{
    if (!json.is_object())
        return fail("parse declaration", "", "each declaration must be a JSON object");
    auto const& members = json.as_object();
    auto const* declared_name = members.if_contains("name");
    auto const declaration = declared_name != nullptr ? boost::json::serialize(*declared_name) : std::string("unnamed");
    field_reader fields(members, declaration);
    auto const kind = TRY(fields.required_string("kind"));
    auto const name = TRY(fields.required_name("name"));
    auto const partner = partner_name(TRY(fields.required_name("partner")));
    if (kind != "team" && kind != "endpoint" && kind != "policy")
        return fields.refuse("kind", "must be 'team', 'endpoint' or 'policy'");
    auto parsed = TRY(kind == "team" ? parse_team(fields, partner, name)
            : kind == "endpoint"     ? parse_endpoint(fields, partner, name)
                                     : parse_policy(fields, partner, name));
    TRY_VOID(fields.refuse_unknown_fields());
    return parsed;
}

boost::json::value to_json(object const& declared) { return std::visit(json_writer {}, declared); }

result<std::vector<object>> parse_declarations(std::string_view text, std::string const& file)
{
    boost::system::error_code failure;
    auto const json = boost::json::parse(text, failure);
    if (failure)
        return fail("parse declaration", file, "not valid JSON: " + failure.message());
    std::vector<object> objects;
    std::set<std::string> keys;
    auto const add = [&](boost::json::value const& item) -> result<void> {
        auto parsed = parse_object(item);
        if (!parsed)
            return fail("parse declaration", file, parsed.error().peer + ": " + parsed.error().reason);
        if (!keys.insert(object_key(*parsed)).second)
            return fail("parse declaration", file, object_key(*parsed) + " is declared twice");
        objects.push_back(std::move(*parsed));
        return {};
    };
    if (!json.is_array()) {
        TRY_VOID(add(json));
        return objects;
    }
    for (auto const& item : json.as_array())
        TRY_VOID(add(item));
    return objects;
}

label_map selectable_labels(team const& declared)
{
    auto labels = declared.labels;
    labels["name"] = short_name(declared.name.value());
    labels["partner"] = declared.partner.value();
    return labels;
}

label_map selectable_labels(endpoint const& declared)
{
    auto labels = declared.labels;
    labels["name"] = short_name(declared.name.value());
    labels["partner"] = declared.partner.value();
    labels["pool"] = declared.pool.value();
    labels["failure-domain"] = declared.domain.value();
    return labels;
}

} // namespace shedhill::config
