// SPDX-License-Identifier: BSD-2-Clause
// Loads the configuration, computes differences and commits changes.
#include "libraries/operations/config_session.h"

#include "libraries/net/keys.h"

#include <algorithm>
#include <set>

namespace shedhill::operations {

namespace {

constexpr int max_attempts = 8;

std::string json_of(config::object const& declared) { return boost::json::serialize(config::to_json(declared)); }

config::change make_change(std::string id, partner_name const& partner, std::vector<config::object> const& desired,
    std::vector<difference> const& differences)
{
    config::change created { std::move(id), partner, {}, {} };
    for (auto const& entry : differences) {
        if (entry.kind == difference_kind::removed) {
            created.removals.push_back(entry.key);
            continue;
        }
        auto const object = std::ranges::find(desired, entry.key, config::object_key);
        created.puts.push_back(*object);
    }
    return created;
}

// Returns the keys of the objects that were added, changed or removed between two states of the configuration.
std::vector<std::string> changed_keys(config::catalog const& before, config::catalog const& after)
{
    std::vector<std::string> keys;
    for (auto const& [key, declared] : after.objects()) {
        auto const* earlier = before.find_object(key);
        if (earlier == nullptr || *earlier != declared)
            keys.push_back(key);
    }
    for (auto const& [key, declared] : before.objects()) {
        if (after.find_object(key) == nullptr)
            keys.push_back(key);
    }
    return keys;
}

} // namespace

result<config::catalog> load_catalog(table_service::http_platform& platform)
{
    config::catalog loaded;
    auto const head = TRY(platform.read_head());
    // A missing or outdated snapshot only increases the number of changes to read.
    if (auto const snapshot = platform.get_object(table_service::snapshot_object); snapshot && !snapshot->empty())
        TRY(loaded.load_snapshot(*snapshot));
    while (loaded.current_revision() < head) {
        auto const before = loaded.current_revision();
        for (auto const& [number, change] : TRY(platform.read_changes(before)))
            loaded.apply(number, change);
        if (loaded.current_revision() == before)
            return fail("load configuration", "platform",
                "changes after revision " + std::to_string(before.value()) + " are missing");
    }
    return loaded;
}

std::vector<difference> plan(config::catalog const& current, partner_name const& partner,
    std::vector<config::object> const& desired, pruning mode)
{
    std::vector<difference> differences;
    std::set<std::string> desired_keys;
    for (auto const& object : desired) {
        auto const key = config::object_key(object);
        desired_keys.insert(key);
        auto const* existing = current.find_object(key);
        if (existing == nullptr)
            differences.push_back({ difference_kind::added, key, {}, json_of(object) });
        else if (*existing != object)
            differences.push_back({ difference_kind::changed, key, json_of(*existing), json_of(object) });
    }
    if (mode == pruning::keep_others)
        return differences;
    for (auto const& [key, declared] : current.objects()) {
        if (config::object_partner(declared) == partner && !desired_keys.contains(key))
            differences.push_back({ difference_kind::removed, key, json_of(declared), {} });
    }
    return differences;
}

result<submit_report> submit(table_service::http_platform& platform, partner_name const& partner,
    std::vector<config::object> const& desired, pruning mode)
{
    submit_report report;
    report.change_id = net::sha256_hex(net::random_bytes(32)).substr(0, 32);
    auto current = TRY(load_catalog(platform));
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        auto const differences = plan(current, partner, desired, mode);
        if (differences.empty()) {
            report.state = submit_state::unchanged;
            report.revision = current.current_revision();
            return report;
        }
        auto const change = make_change(report.change_id, partner, desired, differences);
        TRY_VOID(config::check_ownership(change));
        auto const [state, revision] = platform.commit(change, current.current_revision());
        if (state == table_service::commit_state::committed) {
            report.state = submit_state::committed;
            report.revision = revision;
            return report;
        }
        if (state == table_service::commit_state::unknown)
            return report;
        auto newer = TRY(load_catalog(platform));
        auto const changed = changed_keys(current, newer);
        report.changed_by_others.insert(report.changed_by_others.end(), changed.begin(), changed.end());
        auto const is_overlapping = std::ranges::any_of(
            differences, [&](difference const& own) { return std::ranges::find(changed, own.key) != changed.end(); });
        report.state = submit_state::raced;
        report.revision = newer.current_revision();
        if (is_overlapping)
            return report;
        current = std::move(newer);
    }
    return report;
}

} // namespace shedhill::operations
