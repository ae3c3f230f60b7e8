// SPDX-License-Identifier: BSD-2-Clause
// One record for each request.
#include "libraries/dispatch/suspects/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

constexpr std::size_t most_records = 512;
// Of a router's row.
constexpr std::size_t most_kept = 64;
constexpr std::uint8_t crashes_to_quarantine = 3;
constexpr std::uint8_t crashes_to_repeat = 2;
constexpr milliseconds record_lasts { 600000 };
constexpr milliseconds quarantine_of_answered { 10000 };
// A request that was cleared is remembered so long, so that older news of it does not count.
constexpr milliseconds cleared_lasts { 30000 };
// Other attempts wait so long for the end of one. Neither a long answer nor a router that is lost holds them up longer.
constexpr milliseconds trial_lasts { 1000 };
// Endpoints that are lost right after one another may have been crashed by another request. Attempts under way
// elsewhere have this time to be answered.
constexpr milliseconds pause_before_last_trial { 200 };

} // namespace

suspicion crash_suspects::suspicion_of(request_identity const& request, instant now) const
{
    auto const found = m_records.find(request);
    if (found == m_records.end())
        return suspicion::none;
    auto const& known = found->second;
    if (known.stamp.crashes >= crashes_to_quarantine)
        return suspicion::quarantined;
    auto const crashes = std::max(known.stamp.crashes, presumed_crashes(request, known));
    if (crashes == 0)
        return suspicion::none;
    bool const is_tried = now < std::max(known.own_trial_until, known.told_trial_until);
    bool const has_just_broken
        = crashes + 1 == crashes_to_quarantine && now < known.broken_at + pause_before_last_trial;
    return is_tried || has_just_broken || crashes >= crashes_to_quarantine ? suspicion::waits_for_trial
                                                                           : suspicion::none;
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
        std::ranges::count_if(m_records, [](auto const& known) { return known.second.stamp.crashes > 0; }));
}

std::size_t crash_suspects::quarantined() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_records, [](auto const& known) { return known.second.stamp.crashes >= crashes_to_quarantine; }));
}

std::uint8_t crash_suspects::presumed_crashes(request_identity const& request, record const& known) const
{
    return m_evidence.is_empty() ? std::uint8_t { 0 } : m_evidence.presumed_crashes(request, known.stamp.epoch);
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
    auto& known = found->second;
    known.own_trial_until = now + trial_lasts;
    known.is_news_for_routers = true;
    known.is_news_for_domains = true;
    return true;
}

void crash_suspects::end_trial(request_identity const& request)
{
    if (auto const found = m_records.find(request); found != m_records.end())
        found->second.own_trial_until = {};
}

void crash_suspects::note_broken(broken_endpoint const& endpoint, broken_attempt const& broken)
{
    auto& known = record_of(broken.request, broken.at);
    known.broken_at = broken.at;
    if (broken.stamp.epoch == known.stamp.epoch)
        m_evidence.add(endpoint, broken);
}

crash_suspects::record& crash_suspects::record_of(request_identity const& request, instant now)
{
    auto const found = m_records.find(request);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= most_records)
        make_room();
    record made;
    made.until = now + cleared_lasts;
    return m_records.emplace(request, made).first->second;
}

void crash_suspects::make_room()
{
    auto const least = std::ranges::min_element(
        m_records, {}, [](auto const& known) { return std::pair(known.second.stamp.crashes, known.second.until); });
    m_evidence.forget(least->first);
    m_records.erase(least);
}

void crash_suspects::change(record& known, crash_stamp stamp, instant until)
{
    known.stamp = stamp;
    known.until = until;
    known.told_trial_until = {};
    known.is_own = false;
    known.is_news_for_domains = true;
}

crash_suspects::probe_result crash_suspects::take_probe(endpoint_key start, probe_outcome outcome, instant now)
{
    auto const resolved = m_evidence.resolve(start, outcome, now);
    probe_result made { resolved.endpoint, {} };
    for (auto const& broken : resolved.crashed) {
        auto& known = record_of(broken.request, now);
        crash_stamp const counted { broken.stamp.epoch, static_cast<std::uint8_t>(broken.stamp.crashes + 1) };
        if (counted <= known.stamp)
            continue;
        bool const is_short = known.was_answered && counted.crashes >= crashes_to_quarantine;
        change(known, counted, now + (is_short ? quarantine_of_answered : record_lasts));
        known.is_news_for_routers = true;
        known.is_own = true;
        made.crashes.push_back({ broken.request, counted.crashes, counted.crashes >= crashes_to_quarantine });
    }
    return made;
}

bool crash_suspects::note_answered(request_identity const& request, instant now)
{
    auto const found = m_records.find(request);
    if (found == m_records.end() || stamp_of(request).crashes == 0)
        return false;
    m_evidence.forget(request);
    auto& known = found->second;
    crash_stamp const cleared { static_cast<std::uint16_t>(known.stamp.epoch + 1), 0 };
    change(known, cleared, now + cleared_lasts);
    known.was_answered = true;
    known.is_news_for_routers = true;
    return true;
}

bool crash_suspects::join(crash_record const& told, source_place place, instant now)
{
    if (told.left <= milliseconds(0))
        return false;
    auto& known = record_of(told.request, now);
    if (told.stamp < known.stamp)
        return false;
    bool const is_newer = told.stamp > known.stamp;
    if (is_newer) {
        change(known, told.stamp, now + std::min(told.left, record_lasts));
        known.broken_at = now;
        // The neighbours hear of it from who told it, and other failure domains from who tells for this one.
        known.is_news_for_domains = place == source_place::own_domain;
    }
    known.was_answered |= told.was_answered;
    known.told_trial_until = std::max(known.told_trial_until, now + std::min(told.trial_left, trial_lasts));
    return is_newer && known.stamp.crashes >= crashes_to_quarantine;
}

bool crash_suspects::keep(crash_record const& read, instant now)
{
    auto told = read;
    told.left = read.was_answered ? quarantine_of_answered : record_lasts;
    if (!join(told, source_place::own_domain, now))
        return false;
    auto& known = m_records.at(read.request);
    known.is_own = true;
    known.is_news_for_routers = true;
    return true;
}

std::vector<crash_record> crash_suspects::kept(instant now) const
{
    std::vector<crash_record> own;
    for (auto const& [request, known] : m_records) {
        if (known.is_own && known.stamp.crashes >= crashes_to_quarantine)
            own.push_back(to_told(request, known, report_subject::router, now));
    }
    std::ranges::sort(own, {}, &crash_record::request);
    if (own.size() > most_kept)
        own.resize(most_kept);
    return own;
}

crash_record crash_suspects::to_told(
    request_identity const& request, record const& known, report_subject subject, instant now)
{
    // A router tells of its own attempts only: passed on by each other, an attempt would never seem to end.
    auto const trial_until = subject == report_subject::domain ? std::max(known.own_trial_until, known.told_trial_until)
                                                               : known.own_trial_until;
    return { request, known.stamp, known.until - now, std::max(trial_until - now, milliseconds(0)),
        known.was_answered };
}

std::vector<crash_record> crash_suspects::take_told(report_subject subject, report_scope scope, instant now)
{
    std::vector<crash_record> told;
    for (auto& [request, known] : m_records) {
        // Not known to have crashed anything yet.
        if (known.stamp == crash_stamp())
            continue;
        bool& is_news = subject == report_subject::domain ? known.is_news_for_domains : known.is_news_for_routers;
        bool const is_repeated = scope == report_scope::whole && known.stamp.crashes >= crashes_to_repeat;
        if (std::exchange(is_news, false) || is_repeated)
            told.push_back(to_told(request, known, subject, now));
    }
    return told;
}

std::vector<crash_record> crash_suspects::all(instant now) const
{
    std::vector<crash_record> told;
    for (auto const& [request, known] : m_records) {
        if (known.stamp != crash_stamp())
            told.push_back(to_told(request, known, report_subject::router, now));
    }
    return told;
}

void crash_suspects::forget_old(instant now)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        auto& [request, known] = *entry;
        if (now >= known.until && known.stamp.crashes < crashes_to_quarantine) {
            m_evidence.forget(request);
            entry = m_records.erase(entry);
            continue;
        }
        // What made it crash may be gone: it is tried once more, and quarantined anew by the first crash.
        if (now >= known.until)
            change(known, { static_cast<std::uint16_t>(known.stamp.epoch + 1), crashes_to_quarantine - 1 },
                now + record_lasts);
        ++entry;
    }
}

} // namespace shedhill::dispatch
