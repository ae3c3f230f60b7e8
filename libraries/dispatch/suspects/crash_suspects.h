// SPDX-License-Identifier: BSD-2-Clause
// Detects requests and prompt parts that crash the endpoints that run them; both are called requests here. When an
// endpoint crashes, all requests that ran there become suspects. A suspect is still served, but only one attempt at a
// time in the whole fleet: an answer clears it, and the third successive crash quarantines it. A suspect that was
// answered before is quarantined for a short time only, because it more likely ran beside another request that crashes
// endpoints. Routers merge each other's records, and no crash counts twice.
#pragma once

#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/suspects/crash_evidence.h"
#include "libraries/dispatch/suspects/crash_record.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

enum class suspicion {
    none,
    // Another attempt of the request is running or has just broken off, or a probe has not yet resolved how one ended.
    waits_for_trial,
    quarantined,
};

class crash_suspects {
public:
    // Sets the failure domain of this router and the others that have routers.
    void set_domains(failure_domain const& own, std::vector<failure_domain> others);
    // Whether no request is suspected, so that the content of requests does not matter.
    [[nodiscard]] bool is_empty() const { return m_records.empty(); }
    [[nodiscard]] suspicion suspicion_of(request_identity const& request, instant now) const;
    // Returns the time until the request's quarantine ends, or 0 if it is not quarantined.
    [[nodiscard]] milliseconds quarantine_left(request_identity const& request, instant now) const;
    [[nodiscard]] std::uint8_t crashes_of(request_identity const& request) const;
    [[nodiscard]] std::size_t suspects() const;
    [[nodiscard]] std::size_t quarantined() const;

    // Returns the stamp for an attempt that is sent now; the attempt keeps it until its end.
    [[nodiscard]] crash_stamp stamp_of(request_identity const& request) const;
    // Records that an attempt of the request is sent. Returns whether it is a trial, for which other attempts of the
    // request wait until end_trial() is called.
    [[nodiscard]] bool begin_trial(request_identity const& request, instant now);
    void end_trial(request_identity const& request);

    // Records an attempt that broke off or may have. An attempt that is presumed harmless makes no record before a
    // probe shows that its endpoint crashed.
    void record_broken_attempt(broken_endpoint const& endpoint, broken_attempt const& broken);
    [[nodiscard]] std::vector<crash_evidence::due_probe> take_due_probes(instant now)
    {
        return m_evidence.take_due(now);
    }
    struct crash {
        request_identity request;
        std::uint8_t crashes { 0 };
        bool is_quarantined { false };
    };
    struct probe_result {
        endpoint_name endpoint;
        // The requests whose crash count increased.
        std::vector<crash> crashes;
        // The requests whose closed answers turned out to be whole.
        std::vector<request_identity> answered;
    };
    probe_result apply_probe(endpoint_key instance, probe_outcome outcome, instant now);
    // Clears an answered request. Returns whether it was suspected.
    bool record_answer(request_identity const& request, instant now);

    // Merges a record that another router reported. Returns whether that quarantines the request.
    bool merge(crash_record const& received, report_origin origin, instant now);
    // Merges a quarantine that this router stored before its restart. Returns whether the quarantine applies.
    bool restore(crash_record const& stored, instant now);
    // Returns the quarantines whose last crash this router counted, at most 64, in the order of their identities.
    [[nodiscard]] std::vector<crash_record> own_quarantines(instant now) const;
    // Returns the records for a report to the other routers or failure domains. A change is reported once; records with
    // two or more crashes are repeated in each whole report, because a message may be lost.
    [[nodiscard]] std::vector<crash_record> take_report_records(
        report_subject subject, report_scope scope, instant now);
    // Returns all records, for a router that has just started.
    [[nodiscard]] std::vector<crash_record> all_records(instant now) const;
    void forget_old(instant now);

private:
    struct record {
        crash_stamp stamp;
        // The end of the record's lifetime, or of the quarantine.
        instant until {};
        // The time at which an attempt last broke off, or another router last reported a newer record.
        instant broken_at {};
        // The time at which the endpoint of the last counted crash ended; if another router reported it, this is at
        // most the delay of the report too late.
        instant crashed_at {};
        // The end of the trial of this router's attempt, and of another router's, for which other attempts wait.
        instant own_trial_until {};
        instant peer_trial_until {};
        bool was_answered { false };
        // This router counted the last crash.
        bool is_own { false };
        bool is_unreported_to_routers { false };
        bool is_unreported_to_domains { false };
    };

    // Returns the count that a crash during this attempt leads to; nullopt if the crash proves nothing new.
    [[nodiscard]] static std::optional<crash_stamp> count_crash(record const& entry, broken_attempt const& broken);
    // Returns how long after a crash became known this router's failure domain waits for the trials of others.
    [[nodiscard]] milliseconds pause_before_trial(request_identity const& request) const;
    record& record_of(request_identity const& request, instant now);
    void evict_one();
    [[nodiscard]] std::uint8_t presumed_crashes(request_identity const& request, record const& entry) const;
    static void change(record& entry, crash_stamp stamp, instant until);
    [[nodiscard]] static crash_record to_crash_record(
        request_identity const& request, record const& entry, report_subject subject, instant now);

    // Invariant: contains at most max_records.
    std::unordered_map<request_identity, record> m_records;
    crash_evidence m_evidence;
    failure_domain m_own_domain;
    std::vector<failure_domain> m_other_domains;
};

} // namespace shedhill::dispatch
