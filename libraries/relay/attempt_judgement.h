// SPDX-License-Identifier: BSD-2-Clause
// Judges how an attempt ended. Retries, crash suspicion, endpoint health and what the caller is told all follow from
// this judgement.
#pragma once

#include "libraries/dispatch/types.h"
#include "libraries/relay/call_connection.h"
#include "libraries/relay/protocol.h"

namespace shedhill::relay {

// Holds what the connection and the body show of an attempt's answer.
struct answer_evidence {
    call_end end { call_end::broken };
    answer_kind kind { answer_kind::invalid };
    std::uint16_t status { 0 };
    bool is_stream { false };
    // Whether the stream ended inside an event.
    bool is_inside_event { false };
    // Whether the caller received no event and has none from an earlier request that it resumes.
    bool is_without_events { false };
    // Whether the caller's answer has begun in chunks, so that its last chunk will mark the answer as whole.
    bool is_forwarded_in_chunks { false };
};

[[nodiscard]] dispatch::attempt_end judge_attempt(answer_evidence const& answer);

} // namespace shedhill::relay
