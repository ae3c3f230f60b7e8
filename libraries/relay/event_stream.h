// SPDX-License-Identifier: BSD-2-Clause
// Cuts the body of a stream into whole events and remembers the last one's id. An endpoint may stop in the middle of an
// event; what is not whole is never passed on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::relay {

class event_stream {
public:
    // Takes bytes of the body and appends to `whole` the events that are complete by now, without those whose ids are
    // not above the last one passed on. Returns how many events were appended.
    std::uint32_t take(std::string_view data, std::string& whole);

    // Bytes of an event that is not yet whole.
    [[nodiscard]] std::string const& partial() const { return m_partial; }
    // Another endpoint takes the stream up after the last whole event.
    void drop_partial() { m_partial.clear(); }
    [[nodiscard]] std::string const& last_id() const { return m_last_id; }
    // Events passed on whose ids did not follow one another: pieces between them are missing.
    [[nodiscard]] bool has_gap() const { return m_has_gap; }

private:
    [[nodiscard]] bool is_next(std::string_view event);

    std::string m_partial;
    std::string m_last_id;
    std::int64_t m_last_number { -1 };
    bool m_has_gap { false };
};

} // namespace shedhill::relay
