// SPDX-License-Identifier: BSD-2-Clause
// Counts each server-sent event as one token until the engine reports its usage.
#include "libraries/endpoint/service_meter.h"

#include <boost/json.hpp>

namespace shedhill::endpoint {

namespace {

// The approximate size of a token of text.
constexpr std::size_t bytes_per_token = 4;
// The answer is buffered up to this size; beyond it the buffer is discarded.
constexpr std::size_t max_pending_bytes = std::size_t { 4 } << 20;
constexpr std::string_view data_prefix = "data:";

// Returns the member as a number; zero if it is missing, negative or not a number.
std::int64_t get_count(boost::json::object const& members, char const* name)
{
    auto const* value = members.if_contains(name);
    boost::system::error_code failure;
    auto const number = value == nullptr ? 0 : value->to_number<std::int64_t>(failure);
    return failure || number < 0 ? 0 : number;
}

} // namespace

service_meter::service_meter(token_weights const& weights, std::size_t request_bytes)
    : m_weights(weights)
    , m_prompt_tokens(static_cast<std::int64_t>(request_bytes / bytes_per_token))
{
}

void service_meter::start_answer(std::string_view content_type)
{
    m_is_event_stream = content_type.starts_with("text/event-stream");
}

void service_meter::consume(std::string_view data)
{
    if (m_pending.size() + data.size() > max_pending_bytes)
        m_pending.clear();
    m_pending += data;
    if (!m_is_event_stream) {
        // The usage is at the end of a JSON answer. An incomplete answer does not parse and is ignored.
        if (m_pending.ends_with('}') || m_pending.ends_with("}\n"))
            parse_usage(m_pending);
        return;
    }
    std::size_t start = 0;
    for (auto end = m_pending.find('\n'); end != std::string::npos; end = m_pending.find('\n', start)) {
        parse_event_line(std::string_view(m_pending).substr(start, end - start));
        start = end + 1;
    }
    m_pending.erase(0, start);
}

service_units service_meter::service() const
{
    auto const uncached = m_prompt_tokens - m_cached_tokens;
    return service_units(uncached * m_weights.prompt + m_cached_tokens * m_weights.cached_prompt
        + m_generated_tokens * m_weights.generated);
}

void service_meter::parse_event_line(std::string_view line)
{
    if (!line.starts_with(data_prefix) || line.find("[DONE]") != std::string_view::npos)
        return;
    if (line.find("\"usage\":{") != std::string_view::npos) {
        parse_usage(line.substr(data_prefix.size()));
        return;
    }
    if (!m_has_usage)
        ++m_generated_tokens;
}

void service_meter::parse_usage(std::string_view json)
{
    boost::system::error_code failure;
    auto const parsed = boost::json::parse(json, failure);
    auto const* members = failure ? nullptr : parsed.if_object();
    auto const* usage = members == nullptr ? nullptr : members->if_contains("usage");
    if (usage == nullptr || !usage->is_object())
        return;
    auto const& usage_members = usage->as_object();
    m_has_usage = true;
    m_prompt_tokens = get_count(usage_members, "prompt_tokens");
    m_generated_tokens = get_count(usage_members, "completion_tokens");
    auto const* details = usage_members.if_contains("prompt_tokens_details");
    auto const cached
        = details != nullptr && details->is_object() ? get_count(details->as_object(), "cached_tokens") : 0;
    m_cached_tokens = std::min(cached, m_prompt_tokens);
}

} // namespace shedhill::endpoint
