// SPDX-License-Identifier: BSD-2-Clause
// Implements the judgement of an attempt's end.
#include "libraries/relay/attempt_judgement.h"

namespace shedhill::relay {

namespace {

constexpr std::uint16_t first_server_error = 500;

// A stream that ends inside an event has been broken off, whatever its framing says. Without framing, a stream that
// ends before its first event is more likely broken off than empty, and no such end proves that the caller's last chunk
// may be written.
bool is_stream_broken_off(answer_evidence const& answer)
{
    if (answer.is_inside_event)
        return true;
    return answer.end == call_end::closed && (answer.is_without_events || answer.is_forwarded_in_chunks);
}

} // namespace

dispatch::attempt_end judge_attempt(answer_evidence const& answer)
{
    if (answer.end == call_end::not_sent)
        return dispatch::attempt_end::not_sent;
    if (answer.end == call_end::broken)
        return dispatch::attempt_end::broken;
    if (answer.kind == answer_kind::not_run)
        return dispatch::attempt_end::not_run;
    if (answer.kind == answer_kind::wrong_endpoint)
        return dispatch::attempt_end::wrong_endpoint;
    if (answer.is_stream && is_stream_broken_off(answer))
        return dispatch::attempt_end::broken;
    if (!answer.is_stream && answer.status >= first_server_error)
        return dispatch::attempt_end::failed;
    return answer.end == call_end::closed ? dispatch::attempt_end::closed : dispatch::attempt_end::complete;
}

} // namespace shedhill::relay
