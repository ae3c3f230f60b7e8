// SPDX-License-Identifier: BSD-2-Clause
// Splits the body of an event stream into complete events and records the id of the last one. An endpoint may stop in
// the middle of an event; incomplete events are never forwarded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::relay {

class event_stream {
public:
    // Parses bytes of the body and appends the events that are now complete to `whole_events`. Skips events with a
    // numeric id that is not above the last one forwarded. Returns the number of events that were appended.
    std::uint32_t feed(std::string_view data, std::string& whole_events);

    // Returns the bytes of the event that is not yet complete.
    [[nodiscard]] std::string const& partial() const { return m_partial; }
    // Discards the incomplete event, since another endpoint resumes the stream after the last complete one.
    void drop_partial() { m_partial.clear(); }
    [[nodiscard]] std::string const& last_id() const { return m_last_id; }
    // Returns whether the numeric ids of the forwarded events have a gap, so that events between them are missing.
    [[nodiscard]] bool has_gap() const { return m_has_gap; }

private:
    [[nodiscard]] bool is_next(std::string_view event);

    std::string m_partial;
    std::string m_last_id;
    std::int64_t m_last_number { -1 };
    bool m_has_gap { false };
};

} // namespace shedhill::relay
