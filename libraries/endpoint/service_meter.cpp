// SPDX-License-Identifier: BSD-2-Clause
// One server-sent event counts as one token until a usage report corrects it.
#include "libraries/endpoint/service_meter.h"

#include <boost/json.hpp>

namespace shedhill::endpoint {

namespace {

// Four bytes of text make about one token.
constexpr std::size_t bytes_of_token = 4;
constexpr std::size_t most_pending = std::size_t { 4 } << 20;
constexpr std::string_view data_prefix = "data:";

std::int64_t number_member(boost::json::object const& members, char const* name)
{
    auto const* value = members.if_contains(name);
    boost::system::error_code failure;
    auto const number = value == nullptr ? 0 : value->to_number<std::int64_t>(failure);
    return failure || number < 0 ? 0 : number;
}

} // namespace

service_meter::service_meter(token_weights const& weights, std::size_t request_bytes)
    : m_weights(weights)
    , m_prompt_tokens(static_cast<std::int64_t>(request_bytes / bytes_of_token))
{
}

void service_meter::begin(std::string_view content_type)
{
    m_is_event_stream = content_type.starts_with("text/event-stream");
}

void service_meter::take(std::string_view data)
{
    if (m_pending.size() + data.size() > most_pending)
        m_pending.clear();
    m_pending += data;
    if (!m_is_event_stream) {
        // The usage stands at the end of a JSON answer; an unfinished one does not parse.
        if (m_pending.ends_with('}') || m_pending.ends_with("}\n"))
            take_usage(m_pending);
        return;
    }
    std::size_t start = 0;
    for (auto end = m_pending.find('\n'); end != std::string::npos; end = m_pending.find('\n', start)) {
        take_event(std::string_view(m_pending).substr(start, end - start));
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

void service_meter::take_event(std::string_view line)
{
    if (!line.starts_with(data_prefix) || line.find("[DONE]") != std::string_view::npos)
        return;
    if (line.find("\"usage\":{") != std::string_view::npos) {
        take_usage(line.substr(data_prefix.size()));
        return;
    }
    if (!m_has_usage)
        ++m_generated_tokens;
}

void service_meter::take_usage(std::string_view json)
{
    boost::system::error_code failure;
    auto const parsed = boost::json::parse(json, failure);
    auto const* members = failure ? nullptr : parsed.if_object();
    auto const* usage = members == nullptr ? nullptr : members->if_contains("usage");
    if (usage == nullptr || !usage->is_object())
        return;
    auto const& figures = usage->as_object();
    m_has_usage = true;
    m_prompt_tokens = number_member(figures, "prompt_tokens");
    m_generated_tokens = number_member(figures, "completion_tokens");
    auto const* details = figures.if_contains("prompt_tokens_details");
    auto const cached
        = details != nullptr && details->is_object() ? number_member(details->as_object(), "cached_tokens") : 0;
    m_cached_tokens = std::min(cached, m_prompt_tokens);
}

} // namespace shedhill::endpoint
