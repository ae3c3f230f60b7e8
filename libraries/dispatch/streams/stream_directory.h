// SPDX-License-Identifier: BSD-2-Clause
// Remembers which software version began each stream, while a caller may resume the stream. Routers tell each other
// what they record, because a caller's next request often arrives at another router, for example after the first one
// has ended. A record is a hint of short life: if it is lost the resumption is refused.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// One stream in a report to other routers.
struct stream_record {
    stream_key stream;
    software_key software;
    // The time for which the stream may still be resumed.
    milliseconds left { 0 };
};

class stream_directory {
public:
    // The records of a router that begins 700 streams in a second which are remembered for 30 seconds each.
    static constexpr std::size_t max_records = 21000;
    static constexpr std::uint8_t max_precedences = 4;

    // Records that the software began the stream. The first record of a stream stays: only one version begins it.
    // Returns whether the record is new.
    bool record(stream_key stream, software_key software, instant until);
    [[nodiscard]] std::optional<software_key> find(stream_key stream, instant now) const;
    // Whether a resumption of the stream may precede other requests. Each record permits a few, so that nobody passes
    // others again and again by resuming one stream.
    [[nodiscard]] bool take_precedence(stream_key stream);
    void forget_old(instant now);

    [[nodiscard]] std::size_t size() const { return m_streams.size(); }
    // Returns how many streams were ever recorded, which numbers them in their order.
    [[nodiscard]] std::uint64_t recorded() const { return m_recorded; }
    // Returns the number of the oldest record that is still there; recorded() if there is none.
    [[nodiscard]] std::uint64_t oldest() const { return m_recorded - m_order.size(); }
    // Returns the records from this number on, the oldest first and at most this many.
    [[nodiscard]] std::vector<stream_record> since(std::uint64_t number, std::size_t max_count, instant now) const;
    // Returns the newest records, at most this many, for a router that has just started.
    [[nodiscard]] std::vector<stream_record> newest(std::size_t max_count, instant now) const;

private:
    struct entry {
        software_key software;
        instant until {};
        std::uint8_t precedences { 0 };
    };

    // Invariant: contains at most max_records, and the same streams as m_order.
    std::unordered_map<stream_key, entry> m_streams;
    // The streams in the order in which they were recorded.
    std::deque<stream_key> m_order;
    std::uint64_t m_recorded { 0 };
};

} // namespace shedhill::dispatch
