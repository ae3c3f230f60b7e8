// SPDX-License-Identifier: BSD-2-Clause
// Implements the platform's HTTP protocol.
#include "libraries/table_service/http_platform.h"

#include "libraries/net/http.h"

#include <algorithm>
#include <cstdio>

namespace shedhill::table_service {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_conflict = 409;
// The most transactions by which one call of write_claims() writes its claims.
constexpr int max_claim_rounds = 4;
constexpr std::uint64_t max_changes_per_read = 512;
constexpr char const* head_key = "config/head";

std::string change_key(std::uint64_t number)
{
    // The number is padded to twelve digits, so that the lexicographic order of keys is the order of revisions.
    std::string digits = std::to_string(number);
    return "config/change/" + std::string(12 - std::min<std::size_t>(12, digits.size()), '0') + digits;
}

std::string claim_key(claim const& entry) { return "claim/" + entry.key; }

boost::json::object condition(std::string const& key, std::uint64_t version)
{
    return { { "key", key }, { "version", version } };
}

boost::json::object put(std::string const& key, std::string const& value)
{
    return { { "key", key }, { "value", value } };
}

std::uint64_t digits_to_number(std::string const& text)
{
    std::uint64_t number = 0;
    for (auto const digit : text) {
        if (digit >= '0' && digit <= '9')
            number = number * 10 + static_cast<std::uint64_t>(digit - '0');
    }
    return number;
}

std::string text_member(boost::json::object const& members, char const* name)
{
    auto const* value = members.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

result<boost::json::array> array_member(
    boost::json::value const& json, char const* name, std::string const& step, std::string const& peer)
{
    auto const* members = json.if_object();
    auto const* value = members == nullptr ? nullptr : members->if_contains(name);
    if (value == nullptr || !value->is_array())
        return fail(step, peer, std::string("the answer has no list '") + name + "'");
    return value->as_array();
}

} // namespace

result<shedhill::revision> http_platform::read_head()
{
    auto const rows = TRY(read_rows({ head_key }));
    return shedhill::revision(digits_to_number(rows.front().value));
}

result<std::vector<numbered_change>> http_platform::read_changes(shedhill::revision after)
{
    auto const from = after.value() + 1;
    auto const answer = TRY(post("read changes", "/v1/range",
        { { "from", change_key(from) }, { "to", change_key(from + max_changes_per_read) } }));
    std::vector<numbered_change> changes;
    for (auto const& item : TRY(array_member(answer, "rows", "read changes", m_address))) {
        if (!item.is_object())
            return fail("read changes", m_address, "a row is not an object");
        auto const key = text_member(item.as_object(), "key");
        auto parsed = TRY(config::parse_change(text_member(item.as_object(), "value")));
        changes.push_back({ shedhill::revision(digits_to_number(key)), std::move(parsed) });
    }
    return changes;
}

commit_outcome http_platform::commit(config::change const& change, shedhill::revision expected_head)
{
    auto const rows = read_rows({ head_key });
    if (!rows)
        return { commit_state::unknown, {} };
    if (digits_to_number(rows->front().value) != expected_head.value())
        return { commit_state::raced, {} };
    shedhill::revision const next(expected_head.value() + 1);
    auto const number = std::to_string(next.value());
    auto const write_result = transact({ condition(head_key, rows->front().version) },
        { put(head_key, number), put(change_key(next.value()), config::serialize_change(change)),
            put("config/id/" + change.id, number) },
        {});
    if (write_result && *write_result)
        return { commit_state::committed, next };
    // NOTE: A failed condition does not prove that the change was not written: the first answer may have been lost and
    // the request repeated in transit.
    auto const found = find_change(change.id);
    if (found && *found)
        return { commit_state::committed, **found };
    if (write_result && !*write_result && found)
        return { commit_state::raced, {} };
    return { commit_state::unknown, {} };
}

result<std::optional<shedhill::revision>> http_platform::find_change(std::string const& id)
{
    auto const rows = TRY(read_rows({ "config/id/" + id }));
    if (rows.front().version == 0)
        return std::optional<shedhill::revision>();
    return std::optional(shedhill::revision(digits_to_number(rows.front().value)));
}

std::vector<claim_verdict> http_platform::write_claims(std::vector<claim> const& claims)
{
    std::vector<claim_verdict> verdicts(claims.size(), claim_verdict::unavailable);
    for (int round = 0; round < max_claim_rounds; ++round) {
        boost::json::array conditions;
        boost::json::array puts;
        std::vector<std::size_t> pending;
        for (std::size_t index = 0; index < claims.size(); ++index) {
            if (verdicts[index] != claim_verdict::unavailable)
                continue;
            // If a batch has two claims for one key, the later claim is written in a later round, after the first one
            // has its verdict.
            auto const is_repeated = std::ranges::any_of(
                pending, [&](std::size_t earlier) { return claims[earlier].key == claims[index].key; });
            if (is_repeated)
                continue;
            pending.push_back(index);
            conditions.push_back(condition(claim_key(claims[index]), 0));
            puts.push_back(put(claim_key(claims[index]), claims[index].id));
        }
        if (pending.empty())
            break;
        auto const write_result = transact(std::move(conditions), std::move(puts), {});
        if (write_result && *write_result) {
            for (auto const index : pending)
                verdicts[index] = claim_verdict::won;
            continue;
        }
        // Either a row exists already, or the answer was lost after the write. The rows show which.
        resolve_from_stored_rows(claims, verdicts);
    }
    return verdicts;
}

result<void> http_platform::release_claims(std::vector<claim> const& claims)
{
    std::vector<std::string> keys;
    keys.reserve(claims.size());
    for (auto const& entry : claims)
        keys.push_back(claim_key(entry));
    auto const rows = TRY(read_rows(keys));
    for (std::size_t index = 0; index < rows.size(); ++index) {
        if (rows[index].version == 0 || rows[index].value != claims[index].id)
            continue;
        TRY(transact({ condition(keys[index], rows[index].version) }, {}, { boost::json::string(keys[index]) }));
    }
    return {};
}

result<std::vector<vm_record>> http_platform::list_vms()
{
    auto vms = TRY(list_vms_after(0));
    if (!vms)
        return fail("list VMs", m_address, "the platform reported an unchanged list although no version was given");
    return std::move(*vms);
}

result<std::optional<std::vector<vm_record>>> http_platform::list_vms_if_changed()
{
    return list_vms_after(m_vms_version);
}

result<std::optional<std::vector<vm_record>>> http_platform::list_vms_after(std::uint64_t known_version)
{
    auto const answer = TRY(post("list VMs", "/v1/vms", { { "known_version", known_version } }));
    auto const* version = answer.is_object() ? answer.as_object().if_contains("version") : nullptr;
    boost::system::error_code failure;
    auto const listed_version = version == nullptr ? 0 : version->to_number<std::uint64_t>(failure);
    if (failure || listed_version == 0)
        return fail("list VMs", m_address, "the answer has no valid version");
    if (listed_version == known_version)
        return std::optional<std::vector<vm_record>>();
    std::vector<vm_record> vms;
    for (auto const& item : TRY(array_member(answer, "vms", "list VMs", m_address))) {
        if (!item.is_object())
            return fail("list VMs", m_address, "an entry is not an object");
        auto const& members = item.as_object();
        vm_record vm;
        vm.name = vm_name(text_member(members, "name"));
        vm.role = text_member(members, "role") == "router" ? vm_role::router : vm_role::endpoint;
        vm.state = text_member(members, "state") == "leaving" ? vm_state::leaving : vm_state::live;
        vm.address = text_member(members, "address");
        vm.domain = failure_domain(text_member(members, "failure_domain"));
        vm.endpoint = endpoint_name(text_member(members, "endpoint"));
        vms.push_back(std::move(vm));
    }
    m_vms_version = listed_version;
    return std::optional(std::move(vms));
}

result<std::string> http_platform::get_object(std::string const& name)
{
    auto const response = TRY(net::fetch(m_address, { "GET", "/v1/objects/" + name, {}, {} }, m_limit));
    if (response.status != status_ok)
        return fail("get object", m_address, "status " + std::to_string(response.status));
    return response.body;
}

result<void> http_platform::put_object(std::string const& name, std::string const& content)
{
    auto const response = TRY(net::fetch(m_address, { "PUT", "/v1/objects/" + name, {}, content }, m_limit));
    if (response.status != status_ok)
        return fail("put object", m_address, "status " + std::to_string(response.status));
    return {};
}

result<boost::json::value> http_platform::post(
    std::string const& step, std::string const& target, boost::json::object const& body)
{
    net::http_request const sent { "POST", target, { { "content-type", "application/json" } },
        boost::json::serialize(body) };
    auto const response = TRY(net::fetch(m_address, sent, m_limit));
    if (response.status != status_ok && response.status != status_conflict)
        return fail(step, m_address, "status " + std::to_string(response.status));
    boost::system::error_code failure;
    auto json = boost::json::parse(response.body, failure);
    if (failure)
        return fail(step, m_address, "the answer is not JSON");
    return json;
}

result<std::vector<http_platform::row>> http_platform::read_rows(std::vector<std::string> const& keys)
{
    boost::json::array key_list;
    for (auto const& key : keys)
        key_list.emplace_back(key);
    auto const answer = TRY(post("read table", "/v1/read", { { "keys", std::move(key_list) } }));
    std::vector<row> rows;
    for (auto const& item : TRY(array_member(answer, "rows", "read table", m_address))) {
        auto const* members = item.if_object();
        auto const* version = members == nullptr ? nullptr : members->if_contains("version");
        if (version == nullptr)
            return fail("read table", m_address, "a row has no version");
        boost::system::error_code failure;
        auto const number = version->to_number<std::uint64_t>(failure);
        rows.push_back({ text_member(*members, "value"), failure ? 0 : number });
    }
    if (rows.size() != keys.size())
        return fail("read table", m_address, "the number of rows in the answer does not match the number of keys");
    return rows;
}

result<bool> http_platform::transact(
    boost::json::array conditions, boost::json::array puts, boost::json::array removals)
{
    auto const answer = TRY(post("write table", "/v1/transaction",
        { { "if", std::move(conditions) }, { "put", std::move(puts) }, { "delete", std::move(removals) } }));
    auto const* members = answer.if_object();
    auto const* committed_member = members == nullptr ? nullptr : members->if_contains("made");
    if (committed_member == nullptr || !committed_member->is_bool())
        return fail("write table", m_address, "the answer has no boolean member 'made'");
    return committed_member->as_bool();
}

void http_platform::resolve_from_stored_rows(std::vector<claim> const& claims, std::vector<claim_verdict>& verdicts)
{
    std::vector<std::string> keys;
    keys.reserve(claims.size());
    for (auto const& entry : claims)
        keys.push_back(claim_key(entry));
    auto const rows = read_rows(keys);
    if (!rows)
        return;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        auto const& [value, version] = (*rows)[index];
        if (verdicts[index] != claim_verdict::unavailable || version == 0)
            continue;
        verdicts[index] = value == claims[index].id ? claim_verdict::won : claim_verdict::taken;
    }
}

} // namespace shedhill::table_service
