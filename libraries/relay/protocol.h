// SPDX-License-Identifier: BSD-2-Clause
// What a binding gives the relay: the names and formats in which callers and endpoints speak. It decides nothing.
#pragma once

#include "libraries/dispatch/events.h"
#include "libraries/relay/caller_connection.h"
#include "libraries/relay/http_message.h"

#include <concepts>
#include <string>

namespace shedhill::relay {

// What an endpoint's head says of the call.
enum class answer_kind {
    // The endpoint's own answer, good or bad: it is passed on as it is.
    answer,
    not_run,
    wrong_endpoint,
    // It belongs to another call.
    other_call,
    // A success without the endpoint's mark: not its answer.
    invalid,
};

// What an attempt adds to the caller's request.
struct attempt_fields {
    endpoint_name endpoint;
    team_name team;
    milliseconds time_left { 0 };
    // Where a broken stream is to be taken up; empty otherwise.
    std::string_view resume_after;
    std::size_t body_size { 0 };
};

struct refusal_fields {
    std::uint16_t status { 0 };
    std::string_view reason;
    std::optional<milliseconds> retry_after;
    bool closes { false };
};

template <typename Binding>
concept caller_protocol = requires(std::string& out, caller_request const& request, answer_head const& head,
    attempt_fields const& attempt, refusal_fields const& refusal, dispatch::request_arrived& arrived)
{
    // Fills in what a decision needs; false if a field of the request is bad.
    {
        Binding::read_request(request, arrived)
        } -> std::same_as<bool>;
    {
        Binding::append_call(out, request, attempt)
        } -> std::same_as<void>;
    {
        Binding::kind_of(head, request)
        } -> std::same_as<answer_kind>;
    // What the endpoint tells of itself beside its answer.
    {
        Binding::notice_of(head)
        } -> std::same_as<dispatch::endpoint_notice>;
    {
        Binding::append_refusal(out, refusal, request)
        } -> std::same_as<void>;
};

} // namespace shedhill::relay
