// SPDX-License-Identifier: BSD-2-Clause
// One table: each setting's name, unit, range and member.
#include "services/shedhilld/policy_settings.h"

#include <array>
#include <cmath>

namespace shedhill::daemon {

namespace {

using dispatch::dispatch_policy;

constexpr double percent = 0.01;
constexpr double unscaled = 1;

struct policy_setting {
    char const* name;
    double dispatch_policy::*member;
    // What one in the setting is in the policy.
    double scale;
    std::int64_t max;
    char const* help;
};

constexpr std::array policy_settings {
    policy_setting { "wait-within-share", &dispatch_policy::wait_within_share, percent, 400,
        "Longest wait at a router of what is within its team's share, in percent of the objective." },
    policy_setting { "wait-past-share", &dispatch_policy::wait_past_share, percent, 400,
        "The same of what is past its team's share." },
    policy_setting { "load-past-share", &dispatch_policy::load_past_share, percent, 100,
        "Percent of an endpoint's places that what is past its share may fill." },
    policy_setting { "load-less-per-lead", &dispatch_policy::load_less_per_lead, percent, 1000,
        "Percent of places less for each even level that a team is ahead." },
    policy_setting { "scarce-from", &dispatch_policy::scarce_from, percent, 100,
        "Percent of a pool in use from which on shares begin to bind." },
    policy_setting { "patience-within-share", &dispatch_policy::patience_within_share, percent, 400,
        "Wait for the endpoint that keeps a prompt's parts, in percent of the objective." },
    policy_setting { "patience-past-share", &dispatch_policy::patience_past_share, percent, 400,
        "The same of what is past its team's share." },
    policy_setting { "queueing-past-share", &dispatch_policy::queueing_past_share, percent, 100,
        "Percent of the time left in which an engine that is reading must begin what is past its share; 0: idle "
        "only." },
    policy_setting { "margin-of-objective", &dispatch_policy::margin_of_objective, percent, 400,
        "Percent of the time left in which a first event must be foreseen." },
    policy_setting { "idle-reading-ms", &dispatch_policy::idle_reading_ms, unscaled, 10000,
        "An engine with so little to read takes any prompt." },
    policy_setting { "reading-weight", &dispatch_policy::reading_weight, percent, 10000,
        "What reading shared parts anew costs, in percent of the time that it takes." },
    policy_setting { "idle-reading-weight", &dispatch_policy::idle_reading_weight, percent, 10000,
        "The same where nothing is scarce." },
    policy_setting { "spread-of-error", &dispatch_policy::spread_of_error, percent, 10000,
        "Spread of each router's choices among like engines, in percent of the usual error of a forecast." },
    policy_setting { "placement-spread-ms", &dispatch_policy::placement_spread_ms, unscaled, 10000,
        "Spread of first places of shared parts over the endpoints." },
    policy_setting { "other-domain-ms", &dispatch_policy::other_domain_ms, unscaled, 10000,
        "What an endpoint in another failure domain costs in a choice." },
    policy_setting { "wait-plain", &dispatch_policy::wait_plain, percent, 400,
        "Longest wait at a router for a plain service, in percent of the objective." },
    policy_setting { "bearable-answer", &dispatch_policy::bearable_answer, percent, 400,
        "Percent of the objective that a plain service's answer may take before less is sent there." },
    policy_setting { "early-return", &dispatch_policy::early_return, percent, 1000,
        "Percent of the objective after which a caller that found no place may come back; 0: as late as others." },
    policy_setting { "memory-filled", &dispatch_policy::memory_filled, percent, 10000,
        "Percent of an engine's memory up to which requests are sent there." },
    policy_setting { "full-endpoint-ms", &dispatch_policy::full_endpoint_ms, unscaled, 10000,
        "What a full endpoint costs above an empty one in a choice." },
};

constexpr char const* cache_lifetime_setting = "keeping-time-ms";
constexpr std::int64_t max_cache_lifetime_ms = 600000;

} // namespace

void describe_policy(settings::setting_table& table)
{
    dispatch_policy const defaults;
    for (auto const& setting : policy_settings) {
        auto const fallback = std::llround(defaults.*setting.member / setting.scale);
        table.add_number(setting.name, fallback, 0, setting.max, std::string("Platform: ") + setting.help);
    }
    table.add_number(cache_lifetime_setting, defaults.keeping_time.count(), 0, max_cache_lifetime_ms,
        "Platform: how long a shared part that is not asked for is thought to be kept.");
}

dispatch_policy read_policy(settings::setting_values const& values)
{
    dispatch_policy policy;
    for (auto const& setting : policy_settings)
        policy.*setting.member = static_cast<double>(values.number(setting.name)) * setting.scale;
    policy.keeping_time = milliseconds(values.number(cache_lifetime_setting));
    return policy;
}

} // namespace shedhill::daemon
