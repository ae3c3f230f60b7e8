// SPDX-License-Identifier: BSD-2-Clause
// The promises, one function each.
#include "tests/soak/soak_record.h"

#include "tests/soak/crash_promises.h"
#include "tests/soak/notice_promises.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace shedhill::soak {

namespace {

constexpr int events_of_a_stream = 10;
constexpr std::uint32_t most_attempts = 2;
constexpr unsigned status_good = 200;
// A connection that is closed while a request is on its way to it, before it was read, loses nothing.
constexpr milliseconds failure_margin { 500 };

using findings = std::vector<std::string>;

bool is_promise_of_not_run(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

replica_record const& seen_by_replicas(soak_record const& record, std::string const& id)
{
    static replica_record const none;
    auto const found = record.replicas.find(id);
    return found == record.replicas.end() ? none : found->second;
}

std::string expected_body(caller_request const& request)
{
    if (request.form == request_form::order)
        return "team=kitchen key= body=order of " + request.id;
    if (request.form == request_form::look)
        return "team=kitchen key= body=";
    std::string whole;
    for (int number = 1; number <= events_of_a_stream; ++number)
        whole += "id: " + std::to_string(number) + "\ndata: " + request.id + "\n\n";
    return whole;
}

void check_answer(caller_request const& request, findings& broken)
{
    if (request.end == caller_end::unanswered)
        broken.push_back(request.id + " got no final answer");
    if (request.end != caller_end::whole)
        return;
    if (request.status == 401 || request.status == 404 || request.status == 400)
        broken.push_back(request.id + " was denied with " + std::to_string(request.status));
    if (request.status != status_good)
        return;
    if (request.answered_id != request.id)
        broken.push_back(request.id + " got the answer to " + request.answered_id);
    if (request.signature.empty())
        broken.push_back(request.id + " got a success that is no replica's");
    if (request.body != expected_body(request))
        broken.push_back(request.id + " got another body: " + request.body);
}

void check_runs(caller_request const& request, replica_record const& seen, findings& broken)
{
    auto const most = may_repeat(request.form) ? most_attempts : 1;
    if (seen.runs > most)
        broken.push_back(request.id + " ran " + std::to_string(seen.runs) + " times");
    bool const is_told = request.end == caller_end::whole && is_promise_of_not_run(request.status);
    if (is_told && !may_repeat(request.form) && seen.runs > 0)
        broken.push_back(request.id + " was called not run with " + std::to_string(request.status) + " and has run");
    if (request.end == caller_end::whole && request.status == status_good && seen.runs == 0)
        broken.push_back(request.id + " succeeded and ran nowhere");
}

bool has_failure_beside(soak_record const& record, caller_request const& request)
{
    return std::ranges::any_of(record.failures, [&](failure_span const& span) {
        return span.from - failure_margin <= request.ended_at && request.asked_at <= span.to + failure_margin;
    });
}

// Planned work cuts no request off.
void check_loss(soak_record const& record, caller_request const& request, replica_record const& seen, findings& broken)
{
    bool const is_cut = request.end == caller_end::broken || request.end == caller_end::closed;
    if (!is_cut || has_failure_beside(record, request))
        return;
    if (request.end == caller_end::broken || seen.arrivals > 0)
        broken.push_back(request.id + " was cut off though nothing had failed");
}

void check_replicas(soak_record const& record, findings& broken)
{
    std::map<std::string, caller_request const*> asked;
    for (auto const& request : record.requests)
        asked.emplace(request.id, &request);
    std::set<std::string> harmful;
    for (auto const& request : record.harmful)
        harmful.insert(request.id);
    for (auto const& [id, seen] : record.replicas) {
        if (id.starts_with("probe-") || harmful.contains(id))
            continue;
        auto const found = asked.find(id);
        if (found == asked.end()) {
            broken.push_back(id + " was run and never asked");
            continue;
        }
        auto const form = found->second->form;
        if (seen.method != method_of(form) || seen.target != target_of(form))
            broken.push_back(id + " came to a replica as " + seen.method + " " + seen.target);
    }
}

void check_revisions(soak_record const& record, findings& broken)
{
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> newest;
    for (auto const& seen : record.revisions) {
        auto& known = newest[{ seen.router, seen.life }];
        if (seen.revision < known)
            broken.push_back("router " + std::to_string(seen.router) + " went back from revision "
                + std::to_string(known) + " to " + std::to_string(seen.revision));
        known = std::max(known, seen.revision);
    }
}

} // namespace

std::string method_of(request_form form) { return form == request_form::look ? "GET" : "POST"; }

std::string target_of(request_form form)
{
    switch (form) {
    case request_form::order:
        return "/order/a?b=c";
    case request_form::look:
        return "/look/a";
    case request_form::stream:
        return "/stream/own/a";
    case request_form::stream_once:
        return "/stream/once/own/a";
    }
    return {};
}

bool may_repeat(request_form form) { return form == request_form::look || form == request_form::stream; }

std::vector<std::string> find_broken_promises(soak_record const& record)
{
    findings broken = record.findings;
    for (auto const& request : record.requests) {
        auto const& seen = seen_by_replicas(record, request.id);
        check_answer(request, broken);
        check_runs(request, seen, broken);
        check_loss(record, request, seen, broken);
    }
    check_replicas(record, broken);
    check_revisions(record, broken);
    std::ranges::copy(find_broken_notices(record), std::back_inserter(broken));
    std::ranges::copy(find_broken_crash_bounds(record), std::back_inserter(broken));
    return broken;
}

} // namespace shedhill::soak
