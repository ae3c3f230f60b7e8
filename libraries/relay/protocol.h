// SPDX-License-Identifier: BSD-2-Clause
// What a binding provides to the relay: the names and formats of the protocol that callers and endpoints use. A binding
// makes no decisions.
#pragma once

#include "libraries/dispatch/events.h"
#include "libraries/relay/caller_connection.h"
#include "libraries/relay/http_message.h"

#include <concepts>
#include <string>

namespace shedhill::relay {

// How the head of an endpoint's answer relates to the call.
enum class answer_kind {
    // The endpoint's own answer, a success or a failure, which is forwarded unchanged.
    answer,
    // The endpoint did not execute the request.
    not_run,
    // Another endpoint than the intended one answered.
    wrong_endpoint,
    // The answer belongs to another call.
    other_call,
    // The answer lacks the fields that show that the endpoint's own server wrote it, so it is not forwarded.
    invalid,
};

// Fields that an attempt adds to the caller's request.
struct attempt_fields {
    endpoint_name endpoint;
    team_name team;
    milliseconds time_left { 0 };
    // The id of the event after which a broken stream is resumed; empty if nothing is resumed.
    std::string_view resume_after;
    std::size_t body_size { 0 };
};

struct refusal_fields {
    std::uint16_t status { 0 };
    std::string_view reason;
    std::optional<milliseconds> retry_after;
    bool closes { false };
    // The detail names what is wrong with the request; it is empty if the reason suffices.
    std::string_view detail {};
};

template <typename Binding>
concept caller_protocol = requires(std::string& out, caller_request const& request, answer_head const& head,
    attempt_fields const& attempt, refusal_fields const& refusal, dispatch::request_arrived& arrived)
{
    // Extracts from the request what the dispatcher needs; false if a field is invalid.
    {
        Binding::read_request(request, arrived)
        } -> std::same_as<bool>;
    {
        Binding::append_call(out, request, attempt)
        } -> std::same_as<void>;
    {
        Binding::kind_of(head, request)
        } -> std::same_as<answer_kind>;
    // Returns what the answer's headers report about the endpoint itself.
    {
        Binding::notice_of(head)
        } -> std::same_as<dispatch::endpoint_notice>;
    {
        Binding::append_refusal(out, refusal, request)
        } -> std::same_as<void>;
};

} // namespace shedhill::relay
