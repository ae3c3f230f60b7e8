// SPDX-License-Identifier: BSD-2-Clause
// Counts the bytes of requests and answers that this process buffers for requests that are not served yet and for peers
// that read slowly. Without a limit, a VM with 88 MB runs out of memory, and loses all of its callers, if some hundred
// of them stop reading during long answers.
#pragma once

#include <cstddef>

namespace shedhill::relay {

class buffer_meter {
public:
    // Sets the limit of all buffered bytes; 0 if the VM's memory is unknown, which means no limit.
    void set_limit(std::size_t bytes) { m_limit = bytes; }
    [[nodiscard]] std::size_t limit() const { return m_limit; }

    void change(std::size_t before, std::size_t now) { m_buffered += now - before; }
    [[nodiscard]] std::size_t bytes() const { return m_buffered; }
    [[nodiscard]] bool is_over_limit() const { return m_limit != 0 && m_buffered > m_limit; }

private:
    std::size_t m_buffered { 0 };
    std::size_t m_limit { 0 };
};

// The buffered bytes of one owner; they are subtracted from the meter when the owner is destroyed.
class buffered_bytes {
public:
    explicit buffered_bytes(buffer_meter& meter)
        : m_meter(meter)
    {
    }
    ~buffered_bytes() { set(0); }
    buffered_bytes(buffered_bytes const&) = delete;
    buffered_bytes& operator=(buffered_bytes const&) = delete;

    void set(std::size_t bytes)
    {
        m_meter.change(m_bytes, bytes);
        m_bytes = bytes;
    }
    [[nodiscard]] std::size_t size() const { return m_bytes; }

private:
    buffer_meter& m_meter;
    std::size_t m_bytes { 0 };
};

} // namespace shedhill::relay
