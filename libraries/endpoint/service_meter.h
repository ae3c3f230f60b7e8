// SPDX-License-Identifier: BSD-2-Clause
// Counts the service of one model call from the engine's answer: tokens as they stream, then the engine's own figures.
#pragma once

#include "base/units.h"

#include <string>
#include <string_view>

namespace shedhill::endpoint {

class service_meter {
public:
    service_meter(token_weights const& weights, std::size_t request_bytes);

    void begin(std::string_view content_type);
    void take(std::string_view data);

    // What has been served so far. It is corrected when the engine reports its usage.
    [[nodiscard]] service_units service() const;

private:
    void take_event(std::string_view line);
    void take_usage(std::string_view json);

    token_weights m_weights;
    // An estimate from the request's size until the engine says.
    std::int64_t m_prompt_tokens;
    std::int64_t m_cached_tokens { 0 };
    std::int64_t m_generated_tokens { 0 };
    bool m_is_event_stream { false };
    bool m_has_usage { false };
    // The unfinished line of an event stream, or a JSON answer so far.
    std::string m_pending;
};

} // namespace shedhill::endpoint
