// SPDX-License-Identifier: BSD-2-Clause
// How full the VM's link is, by the bytes that this process's sockets carry. A full link makes every connection slow
// and every endpoint look ill, while the processor has time: nothing else that a process sees of itself shows it.
#pragma once

#include <cstddef>
#include <cstdint>

namespace shedhill::relay {

class link_meter {
public:
    // What the link carries in each direction; 0 where it is not told, and it never counts as full then.
    void set_megabits_per_second(double rate);

    void note_received(std::size_t bytes) { m_received += bytes; }
    void note_sent(std::size_t bytes) { m_sent += bytes; }

    // The part of the link that was in use since the last call, in the fuller direction, from 0 to 1.
    [[nodiscard]] double take_part(std::int64_t now_ns);

private:
    double m_bytes_per_ns { 0 };
    std::uint64_t m_received { 0 };
    std::uint64_t m_sent { 0 };
    std::int64_t m_since_ns { 0 };
};

} // namespace shedhill::relay
