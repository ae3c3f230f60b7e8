// SPDX-License-Identifier: BSD-2-Clause
// Requests that may crash the endpoints that run them. When an endpoint crashes, all requests that ran there become
// suspects. A suspect is still served, one attempt at a time in the whole fleet: an answer clears it, and a third crash
// in a row quarantines it. One that was answered before is quarantined for a short time only, since it is more likely
// to have run beside another request that crashes endpoints. Routers merge each other's records; no crash counts twice.
#pragma once

#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/suspects/crash_evidence.h"
#include "libraries/dispatch/suspects/crash_record.h"

#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

enum class suspicion {
    none,
    // Another attempt of it is under way or has just broken off, or it is not known yet how one ended.
    waits_for_trial,
    quarantined,
};

class crash_suspects {
public:
    // Nobody is suspected: the content of requests does not matter.
    [[nodiscard]] bool is_empty() const { return m_records.empty(); }
    [[nodiscard]] suspicion suspicion_of(request_identity const& request, instant now) const;
    // Until its quarantine ends; 0 where it is in none.
    [[nodiscard]] milliseconds quarantine_left(request_identity const& request, instant now) const;
    [[nodiscard]] std::uint8_t crashes_of(request_identity const& request) const;
    [[nodiscard]] std::size_t suspects() const;
    [[nodiscard]] std::size_t quarantined() const;

    // An attempt that is sent now keeps it until its end.
    [[nodiscard]] crash_stamp stamp_of(request_identity const& request) const;
    // An attempt is sent. Whether other attempts of the request wait until end_trial() is called.
    [[nodiscard]] bool begin_trial(request_identity const& request, instant now);
    void end_trial(request_identity const& request);

    void note_broken(broken_endpoint const& endpoint, broken_attempt const& broken);
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
        // Requests that count a crash more.
        std::vector<crash> crashes;
    };
    probe_result take_probe(endpoint_key start, probe_outcome outcome, instant now);
    // Whether the request was suspected until now.
    bool note_answered(request_identity const& request, instant now);

    // Merges what another router tells. Whether that quarantines the request.
    bool join(crash_record const& told, source_place place, instant now);
    // Merges a quarantine of this router's earlier life. Whether it still holds.
    bool keep(crash_record const& read, instant now);
    // Quarantines whose last crash this router counted; of too many, the first by identity.
    [[nodiscard]] std::vector<crash_record> kept(instant now) const;
    // What the other routers, or other failure domains, are to know. Changes are told once; what has crashed twice is
    // repeated in each whole report, since a message may be lost.
    [[nodiscard]] std::vector<crash_record> take_told(report_subject subject, report_scope scope, instant now);
    // All of it, for a router that knows nothing yet.
    [[nodiscard]] std::vector<crash_record> all(instant now) const;
    void forget_old(instant now);

private:
    struct record {
        crash_stamp stamp;
        instant until {};
        // When an attempt last broke off, or this was told.
        instant broken_at {};
        // An attempt of this router, and of another one, for whose end others wait.
        instant own_trial_until {};
        instant told_trial_until {};
        bool was_answered { false };
        // This router counted its last crash.
        bool is_own { false };
        bool is_news_for_routers { false };
        bool is_news_for_domains { false };
    };

    record& record_of(request_identity const& request, instant now);
    void make_room();
    [[nodiscard]] std::uint8_t presumed_crashes(request_identity const& request, record const& known) const;
    static void change(record& known, crash_stamp stamp, instant until);
    [[nodiscard]] static crash_record to_told(
        request_identity const& request, record const& known, report_subject subject, instant now);

    // Invariant: at most most_records.
    std::unordered_map<request_identity, record> m_records;
    crash_evidence m_evidence;
};

} // namespace shedhill::dispatch
