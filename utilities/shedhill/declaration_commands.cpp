// SPDX-License-Identifier: BSD-2-Clause
// Implements the commands that read or change declarations, and the helpers that they share.
#include "utilities/shedhill/declaration_commands.h"

#include "libraries/operations/config_session.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace shedhill::tool {

namespace {

result<std::vector<config::object>> read_files(std::vector<std::string> const& files)
{
    std::vector<config::object> objects;
    for (auto const& file : files) {
        std::ifstream input(file);
        if (!input)
            return fail("read declarations", file, "cannot be opened");
        std::ostringstream text;
        text << input.rdbuf();
        for (auto& object : TRY(config::parse_declarations(text.str(), file))) {
            auto const key = config::object_key(object);
            for (auto const& earlier : objects) {
                if (config::object_key(earlier) == key)
                    return fail("read declarations", file, key + " is declared in another file too");
            }
            objects.push_back(std::move(object));
        }
    }
    return objects;
}

result<void> check_partner(std::vector<config::object> const& objects, partner_name const& partner)
{
    for (auto const& object : objects) {
        if (config::object_partner(object) != partner)
            return fail(
                "check declarations", partner.value(), config::object_key(object) + " belongs to another partner");
    }
    return {};
}

char const* sign_of(operations::difference_kind kind)
{
    switch (kind) {
    case operations::difference_kind::added:
        return "+";
    case operations::difference_kind::changed:
        return "~";
    case operations::difference_kind::removed:
        break;
    }
    return "-";
}

void print_differences(std::vector<operations::difference> const& differences, bool is_json)
{
    if (!is_json) {
        for (auto const& [kind, key, before, after] : differences) {
            std::cout << sign_of(kind) << ' ' << key << '\n';
            if (!before.empty())
                std::cout << "    before " << before << '\n';
            if (!after.empty())
                std::cout << "    after  " << after << '\n';
        }
        return;
    }
    boost::json::array entries;
    for (auto const& [kind, key, before, after] : differences)
        entries.push_back(boost::json::object {
            { "kind", sign_of(kind) }, { "key", key }, { "before", before }, { "after", after } });
    std::cout << boost::json::serialize(entries) << '\n';
}

exit_code print_submitted(operations::submit_report const& report, bool is_json)
{
    static std::map<operations::submit_state, std::pair<char const*, exit_code>> const outcomes {
        { operations::submit_state::committed, { "committed", exit_code::done } },
        { operations::submit_state::unchanged, { "unchanged", exit_code::done } },
        { operations::submit_state::raced, { "raced", exit_code::raced } },
        { operations::submit_state::unknown, { "unknown", exit_code::unavailable } },
    };
    auto const [state, code] = outcomes.at(report.state);
    boost::json::array others;
    for (auto const& key : report.changed_by_others)
        others.emplace_back(key);
    if (is_json) {
        std::cout << boost::json::serialize(boost::json::object { { "state", state },
            { "revision", report.revision.value() }, { "change", report.change_id }, { "changed_by_others", others } })
                  << '\n';
        return code;
    }
    std::cout << state << " at revision " << report.revision.value() << ", change " << report.change_id << '\n';
    for (auto const& key : report.changed_by_others)
        std::cout << "changed by others: " << key << '\n';
    return code;
}

exit_code submit(command_context& context, std::vector<config::object> const& desired)
{
    if (auto const checked = check_partner(desired, context.partner()); !checked)
        return report_failure(checked.error(), exit_code::bad_declaration);
    auto const report = operations::submit(context.platform, context.partner(), desired, context.pruning());
    if (!report)
        return report_failure(report.error(), exit_code::unavailable);
    return print_submitted(*report, context.is_json());
}

result<void> set_labels(config::object& declared, std::vector<std::string> const& settings)
{
    auto* labels = std::holds_alternative<config::team>(declared) ? &std::get<config::team>(declared).labels
        : std::holds_alternative<config::endpoint>(declared)      ? &std::get<config::endpoint>(declared).labels
                                                                  : nullptr;
    if (labels == nullptr)
        return fail(
            "set labels", config::object_key(declared), "cannot be labelled: only teams and endpoints have labels");
    for (auto const& setting : settings) {
        auto const equals = setting.find('=');
        if (setting.ends_with('-') && equals == std::string::npos)
            labels->erase(setting.substr(0, setting.size() - 1));
        else if (equals == std::string::npos || equals == 0)
            return fail("set labels", setting, "must be LABEL=VALUE to set a label, or LABEL- to remove it");
        else
            (*labels)[setting.substr(0, equals)] = setting.substr(equals + 1);
    }
    // Parsing the changed object applies the same checks as for a declaration in a file.
    declared = TRY(config::parse_object(config::to_json(declared)));
    return {};
}

exit_code change_labels(command_context& context, std::string const& key, std::vector<std::string> const& settings)
{
    auto const catalog = operations::load_catalog(context.platform);
    if (!catalog)
        return report_failure(catalog.error(), exit_code::unavailable);
    auto const* found = catalog->find_object(key);
    if (found == nullptr)
        return report_failure({ "find object", key, "is not declared" }, exit_code::not_found);
    auto desired = *found;
    if (auto const set = set_labels(desired, settings); !set)
        return report_failure(set.error(), exit_code::bad_declaration);
    return submit(context, { desired });
}

} // namespace

exit_code check_declarations(command_context& context)
{
    if (context.arguments.empty())
        return report_usage("check FILE...");
    auto const objects = read_files(context.arguments);
    if (!objects)
        return report_failure(objects.error(), exit_code::bad_declaration);
    std::cout << objects->size() << " declarations are valid\n";
    return exit_code::done;
}

exit_code show_differences(command_context& context)
{
    if (context.arguments.empty() || context.partner().value().empty())
        return report_usage("diff --partner NAME [--prune] FILE...");
    auto const desired = read_files(context.arguments);
    if (!desired)
        return report_failure(desired.error(), exit_code::bad_declaration);
    auto const catalog = operations::load_catalog(context.platform);
    if (!catalog)
        return report_failure(catalog.error(), exit_code::unavailable);
    auto const differences = operations::plan(*catalog, context.partner(), *desired, context.pruning());
    print_differences(differences, context.is_json());
    return differences.empty() ? exit_code::done : exit_code::differs;
}

exit_code apply_declarations(command_context& context)
{
    if (context.arguments.empty() || context.partner().value().empty())
        return report_usage("apply --partner NAME [--prune] FILE...");
    auto const desired = read_files(context.arguments);
    if (!desired)
        return report_failure(desired.error(), exit_code::bad_declaration);
    return submit(context, *desired);
}

exit_code show_objects(command_context& context)
{
    auto const catalog = operations::load_catalog(context.platform);
    if (!catalog)
        return report_failure(catalog.error(), exit_code::unavailable);
    auto const prefix = context.arguments.empty() ? std::string() : context.arguments.front();
    auto is_found = false;
    for (auto const& [key, declared] : catalog->objects()) {
        if (!key.starts_with(prefix))
            continue;
        is_found = true;
        std::cout << boost::json::serialize(config::to_json(declared)) << '\n';
    }
    return is_found || prefix.empty() ? exit_code::done : exit_code::not_found;
}

exit_code change_object_labels(command_context& context)
{
    if (context.arguments.size() < 2 || context.partner().value().empty() || context.values.has_flag("prune"))
        return report_usage("label --partner NAME KIND:PARTNER/NAME LABEL=VALUE|LABEL- ...");
    return change_labels(
        context, context.arguments.front(), { context.arguments.begin() + 1, context.arguments.end() });
}

exit_code drain_endpoint(command_context& context)
{
    if (context.arguments.size() != 1 || context.partner().value().empty() || context.values.has_flag("prune"))
        return report_usage("drain --partner NAME PARTNER/ENDPOINT");
    return change_labels(
        context, "endpoint:" + context.arguments.front(), { std::string(config::drain_label) + "=true" });
}

} // namespace shedhill::tool
