// SPDX-License-Identifier: BSD-2-Clause
// Bytes of requests and answers that this process holds for peers that read slowly, or have not been served yet. A VM
// with 88 MB ends with all of its callers if some hundred of them stop reading while long answers come.
#pragma once

#include <cstddef>

namespace shedhill::relay {

class held_meter {
public:
    // How much may be held in all; 0 where the VM's memory is not told, and nothing is bounded then.
    void set_limit(std::size_t bytes) { m_limit = bytes; }
    [[nodiscard]] std::size_t limit() const { return m_limit; }

    void change(std::size_t before, std::size_t now) { m_held += now - before; }
    [[nodiscard]] std::size_t held() const { return m_held; }
    [[nodiscard]] bool is_over() const { return m_limit != 0 && m_held > m_limit; }

private:
    std::size_t m_held { 0 };
    std::size_t m_limit { 0 };
};

// What one holder holds; nothing once it is gone.
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
