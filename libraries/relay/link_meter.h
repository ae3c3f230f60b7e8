// SPDX-License-Identifier: BSD-2-Clause
// Measures the utilisation of the VM's link by the bytes that this process's sockets transfer. A full link slows down
// all connections and makes healthy endpoints look faulty while the processor is idle. No other measurement within the
// process shows it.
#pragma once

#include <cstddef>
#include <cstdint>

namespace shedhill::relay {

class link_meter {
public:
    // Sets the link's capacity in each direction; 0 if it is unknown, in which case the link never counts as used.
    void set_megabits_per_second(double rate);

    void record_received(std::size_t bytes) { m_received += bytes; }
    void record_sent(std::size_t bytes) { m_sent += bytes; }

    // Returns the fraction of the capacity that was used since the last call in the busier direction, from 0 to 1.
    [[nodiscard]] double take_fraction(std::int64_t now_ns);

private:
    double m_bytes_per_ns { 0 };
    std::uint64_t m_received { 0 };
    std::uint64_t m_sent { 0 };
    std::int64_t m_since_ns { 0 };
};

} // namespace shedhill::relay
