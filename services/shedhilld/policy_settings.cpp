// SPDX-License-Identifier: BSD-2-Clause
// Describes each setting in one table: its name, its unit, its range and its member of the policy.
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
    // The policy's value for a setting of one.
    double scale;
    std::int64_t max;
    char const* help;
};

constexpr std::array policy_settings {
    policy_setting { "wait-within-share", &dispatch_policy::wait_within_share, percent, 400,
        "Longest wait at a router of requests within their team's share, in percent of the objective." },
    policy_setting { "wait-past-share", &dispatch_policy::wait_past_share, percent, 400,
        "Longest wait at a router of requests past their team's share, in percent of the objective." },
    policy_setting { "load-past-share", &dispatch_policy::load_past_share, percent, 100,
        "Percent of an endpoint's slots that requests past their team's share may fill." },
    policy_setting { "load-less-per-lead", &dispatch_policy::load_less_per_lead, percent, 1000,
        "Percent of an endpoint's slots by which load-past-share falls for each even level of a team's excess." },
    policy_setting { "scarce-from", &dispatch_policy::scarce_from, percent, 100,
        "Percent of a pool in use above which shares begin to bind." },
    policy_setting { "patience-within-share", &dispatch_policy::patience_within_share, percent, 400,
        "Longest wait for the endpoint that caches a prompt's parts, in percent of the objective." },
    policy_setting { "patience-past-share", &dispatch_policy::patience_past_share, percent, 400,
        "Longest wait for the endpoint that caches a prompt's parts, of requests past their team's share, in percent "
        "of the objective." },
    policy_setting { "queueing-past-share", &dispatch_policy::queueing_past_share, percent, 100,
        "Percent of the remaining time within which an engine with pending prefill must be estimated to start a "
        "request past its team's share; 0: idle engines only." },
    policy_setting { "margin-of-objective", &dispatch_policy::margin_of_objective, percent, 400,
        "Percent of the remaining time within which a first event must be estimated." },
    policy_setting { "idle-reading-ms", &dispatch_policy::idle_reading_ms, unscaled, 10000,
        "Pending prefill, in milliseconds, up to which an engine takes any prompt." },
    policy_setting { "reading-weight", &dispatch_policy::reading_weight, percent, 10000,
        "Cost of a repeated prefill of shared parts where a pool is scarce, in percent of the time that it takes." },
    policy_setting { "idle-reading-weight", &dispatch_policy::idle_reading_weight, percent, 10000,
        "Cost of a repeated prefill of shared parts where nothing is scarce, in percent of the time that it takes." },
    policy_setting { "spread-of-error", &dispatch_policy::spread_of_error, percent, 10000,
        "Spread of each router's choices among similar engines, in percent of the usual error of an estimate." },
    policy_setting { "placement-spread-ms", &dispatch_policy::placement_spread_ms, unscaled, 10000,
        "Spread of the first placements of shared parts over the endpoints, in milliseconds." },
    policy_setting { "other-domain-ms", &dispatch_policy::other_domain_ms, unscaled, 10000,
        "Cost of an endpoint in another failure domain in a choice, in milliseconds." },
    policy_setting { "wait-plain", &dispatch_policy::wait_plain, percent, 400,
        "Longest wait at a router for a plain service, in percent of the objective." },
    policy_setting { "bearable-answer", &dispatch_policy::bearable_answer, percent, 400,
        "Percent of the objective that a plain service's answer may take before fewer requests are sent there." },
    policy_setting { "early-return", &dispatch_policy::early_return, percent, 1000,
        "Percent of the objective after which a caller that found no free slot may retry; 0: as late as other "
        "callers." },
    policy_setting { "memory-filled", &dispatch_policy::memory_filled, percent, 10000,
        "Percent of an engine's KV cache capacity up to which requests are sent there." },
    policy_setting { "failure-attribution", &dispatch_policy::failure_attribution, unscaled, 1,
        "1: a failure counts against an endpoint only if the request does not fail at another endpoint, too; 0: each "
        "failure counts." },
    policy_setting { "failure-comparison", &dispatch_policy::failure_comparison, unscaled, 1,
        "1: an endpoint is ejected only if requests of the same teams fail clearly less often at other endpoints; 0: "
        "whatever happens at other endpoints." },
    policy_setting { "retry-spread-ms", &dispatch_policy::retry_spread_ms, unscaled, 10000,
        "Spread of retries, and of requests of teams with failures, over the endpoints, in milliseconds." },
    policy_setting { "full-endpoint-ms", &dispatch_policy::full_endpoint_ms, unscaled, 10000,
        "Cost of a full endpoint above that of an empty one in a choice, in milliseconds." },
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
        "Platform: Time, in milliseconds, for which a shared part that is not requested is assumed to stay cached.");
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
