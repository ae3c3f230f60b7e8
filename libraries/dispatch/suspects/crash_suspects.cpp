// SPDX-License-Identifier: BSD-2-Clause
// Keeps one record for each suspected or recently cleared request.
#include "libraries/dispatch/suspects/crash_suspects.h"

#include "base/hash.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace shedhill::dispatch {

namespace {

constexpr std::size_t max_records = 512;
// Bounds the size of the router's row in the store.
constexpr std::size_t max_stored_quarantines = 64;
// Records with at least this number of crashes are repeated in each whole report.
constexpr std::uint8_t crashes_to_repeat = 2;
// The lifetime of a suspect's record, and the duration of a quarantine.
constexpr milliseconds record_lifetime { 600000 };
// The quarantine of a request that was answered while it was suspected.
constexpr milliseconds short_quarantine { 10000 };
// A cleared request keeps its record for this time, so that older reports about it are ignored.
constexpr milliseconds cleared_lifetime { 30000 };
// Bounds the wait of other attempts for the end of a trial, in case of a long answer or a lost router.
constexpr milliseconds trial_lifetime { 1000 };
// Another request may have crashed endpoints that fail right after one another. This pause gives attempts that run
// elsewhere time to be answered and so to clear the request.
constexpr milliseconds pause_before_last_trial { 200 };
// An attempt that was sent this long after the endpoint of a crash had ended was not lost in the same event.
constexpr milliseconds min_gap_of_crashes { 50 };
// A trial becomes known in other failure domains within this time, so the domains start trials that far apart.
constexpr milliseconds trial_report_time { 250 };
// Bounds the pause of the last failure domains, so that their requests can still be served within their deadlines.
constexpr std::ptrdiff_t max_earlier_domains { 3 };

} // namespace

suspicion crash_suspects::suspicion_of(request_identity const& request, instant now) const
{
    auto const found = m_records.find(request);
    if (found == m_records.end())
        return suspicion::none;
    auto const& entry = found->second;
    if (entry.stamp.crashes >= crashes_to_quarantine)
        return suspicion::quarantined;
    auto const crashes = std::max(entry.stamp.crashes, presumed_crashes(request, entry));
    if (crashes == 0)
        return suspicion::none;
    bool const is_tried = now < std::max(entry.own_trial_until, entry.peer_trial_until);
    bool const has_just_broken
        = crashes + 1 == crashes_to_quarantine && now < entry.broken_at + pause_before_trial(request);
    return is_tried || has_just_broken || crashes >= crashes_to_quarantine ? suspicion::waits_for_trial
                                                                           : suspicion::none;
}

void crash_suspects::set_domains(failure_domain const& own, std::vector<failure_domain> others)
{
    m_own_domain = own;
    m_other_domains = std::move(others);
}

milliseconds crash_suspects::pause_before_trial(request_identity const& request) const
{
    // Each request orders the failure domains differently, so that no domain has to wait for all of them.
    auto const weight_of
        = [&](failure_domain const& domain) { return rendezvous_weight(request.content.value(), domain.value()); };
    auto const own = weight_of(m_own_domain);
    auto const earlier
        = std::ranges::count_if(m_other_domains, [&](failure_domain const& other) { return weight_of(other) > own; });
    return pause_before_last_trial + std::min(earlier, max_earlier_domains) * trial_report_time;
}

milliseconds crash_suspects::quarantine_left(request_identity const& request, instant now) const
{
    auto const found = m_records.find(request);
    if (found == m_records.end() || found->second.stamp.crashes < crashes_to_quarantine)
        return milliseconds(0);
    return std::max(found->second.until - now, milliseconds(0));
}

std::uint8_t crash_suspects::crashes_of(request_identity const& request) const { return stamp_of(request).crashes; }

std::size_t crash_suspects::suspects() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_records, [](auto const& entry) { return entry.second.stamp.crashes > 0; }));
}

std::size_t crash_suspects::quarantined() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_records, [](auto const& entry) { return entry.second.stamp.crashes >= crashes_to_quarantine; }));
}

std::uint8_t crash_suspects::presumed_crashes(request_identity const& request, record const& entry) const
{
    return m_evidence.is_empty() ? std::uint8_t { 0 } : m_evidence.presumed_crashes(request, entry.stamp.epoch);
}

crash_stamp crash_suspects::stamp_of(request_identity const& request) const
{
    auto const found = m_records.find(request);
    if (found == m_records.end())
        return {};
    auto stamp = found->second.stamp;
    stamp.crashes = std::max(stamp.crashes, presumed_crashes(request, found->second));
    return stamp;
}

bool crash_suspects::begin_trial(request_identity const& request, instant now)
{
    auto const found = m_records.find(request);
    if (found == m_records.end() || stamp_of(request).crashes == 0)
        return false;
    auto& entry = found->second;
    entry.own_trial_until = now + trial_lifetime;
    entry.is_unreported_to_routers = true;
    entry.is_unreported_to_domains = true;
    return true;
}

void crash_suspects::end_trial(request_identity const& request)
{
    if (auto const found = m_records.find(request); found != m_records.end())
        found->second.own_trial_until = {};
}

void crash_suspects::record_broken_attempt(broken_endpoint const& endpoint, broken_attempt const& broken)
{
    if (broken.is_presumed_harmless && !m_records.contains(broken.request))
        return m_evidence.add(endpoint, broken);
    auto& entry = record_of(broken.request, broken.at);
    entry.broken_at = broken.at;
    if (broken.stamp.epoch == entry.stamp.epoch)
        m_evidence.add(endpoint, broken);
}

crash_suspects::record& crash_suspects::record_of(request_identity const& request, instant now)
{
    auto const found = m_records.find(request);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= max_records)
        evict_one();
    record result;
    result.until = now + cleared_lifetime;
    return m_records.emplace(request, result).first->second;
}

void crash_suspects::evict_one()
{
    auto const evicted = std::ranges::min_element(
        m_records, {}, [](auto const& entry) { return std::pair(entry.second.stamp.crashes, entry.second.until); });
    m_evidence.forget(evicted->first);
    m_records.erase(evicted);
}

void crash_suspects::change(record& entry, crash_stamp stamp, instant until)
{
    entry.stamp = stamp;
    entry.until = until;
    entry.peer_trial_until = {};
    entry.is_own = false;
    entry.is_unreported_to_domains = true;
}

crash_suspects::probe_result crash_suspects::apply_probe(endpoint_key instance, probe_outcome outcome, instant now)
{
    auto const resolved = m_evidence.resolve(instance, outcome, now);
    probe_result result { resolved.endpoint, {}, {} };
    for (auto const& closed : resolved.answered)
        result.answered.push_back(closed.request);
    for (auto const& broken : resolved.crashed) {
        auto& entry = record_of(broken.request, now);
        auto const counted = count_crash(entry, broken);
        if (!counted)
            continue;
        bool const is_short = entry.was_answered && counted->crashes >= crashes_to_quarantine;
        change(entry, *counted, now + (is_short ? short_quarantine : record_lifetime));
        entry.crashed_at = broken.at;
        entry.is_unreported_to_routers = true;
        entry.is_own = true;
        result.crashes.push_back({ broken.request, counted->crashes, counted->crashes >= crashes_to_quarantine });
    }
    return result;
}

std::optional<crash_stamp> crash_suspects::count_crash(record const& entry, broken_attempt const& broken)
{
    crash_stamp counted { broken.stamp.epoch, static_cast<std::uint8_t>(broken.stamp.crashes + 1) };
    if (counted > entry.stamp)
        return counted;
    // The sender did not know of the last crash yet. If its endpoint had ended by then, this is another crash.
    bool const is_later = broken.stamp.epoch == entry.stamp.epoch && entry.stamp.crashes > 0
        && broken.sent_at >= entry.crashed_at + min_gap_of_crashes;
    if (!is_later || entry.stamp.crashes >= crashes_to_quarantine)
        return std::nullopt;
    counted.crashes = static_cast<std::uint8_t>(entry.stamp.crashes + 1);
    return counted;
}

bool crash_suspects::record_answer(request_identity const& request, instant now)
{
    auto const found = m_records.find(request);
    if (found == m_records.end() || stamp_of(request).crashes == 0)
        return false;
    m_evidence.forget(request);
    auto& entry = found->second;
    crash_stamp const cleared { static_cast<std::uint16_t>(entry.stamp.epoch + 1), 0 };
    change(entry, cleared, now + cleared_lifetime);
    entry.was_answered = true;
    entry.is_unreported_to_routers = true;
    return true;
}

bool crash_suspects::merge(crash_record const& received, report_origin origin, instant now)
{
    if (received.left <= milliseconds(0))
        return false;
    auto& entry = record_of(received.request, now);
    if (received.stamp < entry.stamp)
        return false;
    bool const is_newer = received.stamp > entry.stamp;
    if (is_newer) {
        change(entry, received.stamp, now + std::min(received.left, record_lifetime));
        entry.broken_at = now;
        entry.crashed_at = now - received.since_crash;
        // The sender reports the record to the other routers of its failure domain itself. Other failure domains
        // receive it from the delegate of this one.
        entry.is_unreported_to_domains = origin == report_origin::own_domain;
    }
    entry.was_answered |= received.was_answered;
    auto const trial_until = now + std::min(received.trial_left, trial_lifetime);
    // The delegate of this failure domain reports a trial that has begun here to the others.
    if (origin == report_origin::own_domain && trial_until > entry.peer_trial_until + trial_lifetime / 2)
        entry.is_unreported_to_domains = true;
    entry.peer_trial_until = std::max(entry.peer_trial_until, trial_until);
    return is_newer && entry.stamp.crashes >= crashes_to_quarantine;
}

bool crash_suspects::restore(crash_record const& stored, instant now)
{
    auto renewed = stored;
    renewed.left = stored.was_answered ? short_quarantine : record_lifetime;
    if (!merge(renewed, report_origin::own_domain, now))
        return false;
    auto& entry = m_records.at(stored.request);
    entry.is_own = true;
    entry.is_unreported_to_routers = true;
    return true;
}

std::vector<crash_record> crash_suspects::own_quarantines(instant now) const
{
    std::vector<crash_record> own;
    for (auto const& [request, entry] : m_records) {
        if (entry.is_own && entry.stamp.crashes >= crashes_to_quarantine)
            own.push_back(to_crash_record(request, entry, report_subject::router, now));
    }
    std::ranges::sort(own, {}, &crash_record::request);
    if (own.size() > max_stored_quarantines)
        own.resize(max_stored_quarantines);
    return own;
}

crash_record crash_suspects::to_crash_record(
    request_identity const& request, record const& entry, report_subject subject, instant now)
{
    // A router reports only its own trials to other routers. If routers forwarded each other's trials, a trial would
    // never appear to end.
    auto const trial_until = subject == report_subject::domain ? std::max(entry.own_trial_until, entry.peer_trial_until)
                                                               : entry.own_trial_until;
    return { request, entry.stamp, entry.until - now, std::max(trial_until - now, milliseconds(0)), entry.was_answered,
        now - entry.crashed_at };
}

std::vector<crash_record> crash_suspects::take_report_records(report_subject subject, report_scope scope, instant now)
{
    std::vector<crash_record> records;
    for (auto& [request, entry] : m_records) {
        // The request has no confirmed crash.
        if (entry.stamp == crash_stamp())
            continue;
        bool& is_unreported
            = subject == report_subject::domain ? entry.is_unreported_to_domains : entry.is_unreported_to_routers;
        bool const is_repeated = scope == report_scope::whole && entry.stamp.crashes >= crashes_to_repeat;
        if (std::exchange(is_unreported, false) || is_repeated)
            records.push_back(to_crash_record(request, entry, subject, now));
    }
    return records;
}

std::vector<crash_record> crash_suspects::all_records(instant now) const
{
    std::vector<crash_record> records;
    for (auto const& [request, entry] : m_records) {
        if (entry.stamp != crash_stamp())
            records.push_back(to_crash_record(request, entry, report_subject::router, now));
    }
    return records;
}

void crash_suspects::forget_old(instant now)
{
    for (auto iterator = m_records.begin(); iterator != m_records.end();) {
        auto& [request, entry] = *iterator;
        if (now >= entry.until && entry.stamp.crashes < crashes_to_quarantine) {
            m_evidence.forget(request);
            iterator = m_records.erase(iterator);
            continue;
        }
        // The fault may be fixed when the quarantine ends. The request gets one trial, and one more crash quarantines
        // it again.
        if (now >= entry.until)
            change(entry, { static_cast<std::uint16_t>(entry.stamp.epoch + 1), crashes_to_quarantine - 1 },
                now + record_lifetime);
        ++iterator;
    }
}

} // namespace shedhill::dispatch
