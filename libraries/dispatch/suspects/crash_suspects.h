// SPDX-License-Identifier: BSD-2-Clause
// Requests that may crash the endpoints that run them. When an endpoint crashes, all that ran there is under suspicion.
// A suspect is served on, one attempt at a time in the whole fleet: an answer clears it, a third crash in a row
// quarantines it, for a short time only where it was answered before: then it is likely to be one that was beside
// others that crash. Routers join what they know; nothing is counted twice, whatever the way of the news.
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

    // What an attempt that is sent now must keep until its end.
    [[nodiscard]] crash_stamp stamp_of(request_identity const& request) const;
    // An attempt is sent. Whether others wait for its end, of which end_trial() tells.
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
    struct probe_verdict {
        endpoint_name endpoint;
        // Requests that count a crash more.
        std::vector<crash> crashes;
    };
    probe_verdict take_probe(endpoint_key start, probe_outcome outcome, instant now);
    // Whether the request was suspected until now.
    bool note_answered(request_identity const& request, instant now);

    // What another router tells. Whether the request is quarantined by it.
    bool join(crash_record const& told, source_place place, instant now);
    // A quarantine of this router's earlier life. Whether it holds: others may know better by now.
    bool keep(crash_record const& read, instant now);
    // Quarantines that were counted by this router, the first of them by identity.
    [[nodiscard]] std::vector<crash_record> kept(instant now) const;
    // What the other routers, or other failure domains, are to know. Changes are told once; what has crashed twice is
    // in each whole report too, since a router may miss one.
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
