// SPDX-License-Identifier: BSD-2-Clause
// Counts the bytes of requests and answers that this process buffers for requests that are not served yet and for peers
// that read slowly. Without a limit, a VM with 88 MB runs out of memory, and loses all of its callers, if some hundred
// of them stop reading during long answers.
#pragma once

#include <cstddef>

namespace shedhill::relay {

class held_meter {
public:
    // Sets the limit of all buffered bytes; 0 if the VM's memory is unknown, which means no limit.
    void set_limit(std::size_t bytes) { m_limit = bytes; }
    [[nodiscard]] std::size_t limit() const { return m_limit; }

    void change(std::size_t before, std::size_t now) { m_held += now - before; }
    [[nodiscard]] std::size_t held() const { return m_held; }
    [[nodiscard]] bool is_over_limit() const { return m_limit != 0 && m_held > m_limit; }

private:
    std::size_t m_held { 0 };
    std::size_t m_limit { 0 };
};

// The buffered bytes of one owner; they are subtracted from the meter when the owner is destroyed.
class held_bytes {
public:
    explicit held_bytes(held_meter& meter)
        : m_meter(meter)
    {
    }
    ~held_bytes() { set(0); }
    held_bytes(held_bytes const&) = delete;
    held_bytes& operator=(held_bytes const&) = delete;

    void set(std::size_t bytes)
    {
        m_meter.change(m_bytes, bytes);
        m_bytes = bytes;
    }
    [[nodiscard]] std::size_t size() const { return m_bytes; }

private:
    held_meter& m_meter;
    std::size_t m_bytes { 0 };
};

} // namespace shedhill::relay
