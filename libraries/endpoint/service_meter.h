// SPDX-License-Identifier: BSD-2-Clause
// Measures the service of one model call from the engine's answer: counts tokens as they stream, until the engine
// reports its usage.
#pragma once

#include "base/units.h"

#include <string>
#include <string_view>

namespace shedhill::endpoint {

// The token counts of one call.
class service_meter {
public:
    // The size of the request in bytes gives the first estimate of its prompt tokens.
    service_meter(token_weights const& weights, std::size_t request_bytes);

    // Chooses by the content type how the answer is parsed.
    void start_answer(std::string_view content_type);
    // Processes the next part of the answer's body.
    void consume(std::string_view data);

    // Returns the service so far. It may decrease when the engine reports its usage.
    [[nodiscard]] service_units service() const;

private:
    void parse_event_line(std::string_view line);
    void parse_usage(std::string_view json);

    token_weights m_weights;
    // Estimated from the request's size until the engine reports its usage.
    std::int64_t m_prompt_tokens;
    std::int64_t m_cached_tokens { 0 };
    std::int64_t m_generated_tokens { 0 };
    bool m_is_event_stream { false };
    bool m_has_usage { false };
    // The incomplete last line of an event stream, or the JSON answer so far.
    std::string m_pending;
};

} // namespace shedhill::endpoint
