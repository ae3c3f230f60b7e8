// SPDX-License-Identifier: BSD-2-Clause
// One function for each command, after what they share.
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
    boost::json::array listed;
    for (auto const& [kind, key, before, after] : differences)
        listed.push_back(boost::json::object {
            { "kind", sign_of(kind) }, { "key", key }, { "before", before }, { "after", after } });
    std::cout << boost::json::serialize(listed) << '\n';
}

exit_code print_submitted(operations::submit_report const& report, bool is_json)
{
    static std::map<operations::submit_state, std::pair<char const*, exit_code>> const outcomes {
        { operations::submit_state::committed, { "committed", exit_code::done } },
        { operations::submit_state::unchanged, { "unchanged", exit_code::done } },
        { operations::submit_state::raced, { "raced", exit_code::raced } },
        { operations::submit_state::unknown, { "unknown", exit_code::unavailable } },
    };
    auto const [word, code] = outcomes.at(report.state);
    boost::json::array others;
    for (auto const& key : report.changed_by_others)
        others.emplace_back(key);
    if (is_json) {
        std::cout << boost::json::serialize(boost::json::object { { "state", word },
            { "revision", report.revision.value() }, { "change", report.change_id }, { "changed_by_others", others } })
                  << '\n';
        return code;
    }
    std::cout << word << " at revision " << report.revision.value() << ", change " << report.change_id << '\n';
    for (auto const& key : report.changed_by_others)
        std::cout << "meanwhile changed: " << key << '\n';
    return code;
}

exit_code submit(command_context& context, std::vector<config::object> const& wanted)
{
    if (auto const owned = check_partner(wanted, context.partner()); !owned)
        return report_failure(owned.error(), exit_code::bad_declaration);
    auto const report = operations::submit(context.platform, context.partner(), wanted, context.pruning());
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
        return fail("set labels", config::object_key(declared), "policies have no labels");
    for (auto const& setting : settings) {
        auto const equals = setting.find('=');
        if (setting.ends_with('-') && equals == std::string::npos)
            labels->erase(setting.substr(0, setting.size() - 1));
        else if (equals == std::string::npos || equals == 0)
            return fail("set labels", setting, "must be LABEL=VALUE, or LABEL- to remove it");
        else
            (*labels)[setting.substr(0, equals)] = setting.substr(equals + 1);
    }
    // The same checks as for a declaration.
    declared = TRY(config::parse_object(config::to_json(declared)));
    return {};
}

exit_code change_labels(command_context& context, std::string const& key, std::vector<std::string> const& settings)
{
    auto const present = operations::load_catalog(context.platform);
    if (!present)
        return report_failure(present.error(), exit_code::unavailable);
    auto const* found = present->find_object(key);
    if (found == nullptr)
        return report_failure({ "find object", key, "is not declared" }, exit_code::not_found);
    auto wanted = *found;
    if (auto const set = set_labels(wanted, settings); !set)
        return report_failure(set.error(), exit_code::bad_declaration);
    return submit(context, { wanted });
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
    auto const wanted = read_files(context.arguments);
    if (!wanted)
        return report_failure(wanted.error(), exit_code::bad_declaration);
    auto const present = operations::load_catalog(context.platform);
    if (!present)
        return report_failure(present.error(), exit_code::unavailable);
    auto const differences = operations::plan(*present, context.partner(), *wanted, context.pruning());
    print_differences(differences, context.is_json());
    return differences.empty() ? exit_code::done : exit_code::differs;
}

exit_code apply_declarations(command_context& context)
{
    if (context.arguments.empty() || context.partner().value().empty())
        return report_usage("apply --partner NAME [--prune] FILE...");
    auto const wanted = read_files(context.arguments);
    if (!wanted)
        return report_failure(wanted.error(), exit_code::bad_declaration);
    return submit(context, *wanted);
}

exit_code show_objects(command_context& context)
{
    auto const present = operations::load_catalog(context.platform);
    if (!present)
        return report_failure(present.error(), exit_code::unavailable);
    auto const prefix = context.arguments.empty() ? std::string() : context.arguments.front();
    auto is_found = false;
    for (auto const& [key, declared] : present->objects()) {
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
