// SPDX-License-Identifier: BSD-2-Clause
// Bytes that begin at an address at which any scalar may be read. FlatBuffers checks and reads a message relative to
// its beginning, but a received message begins anywhere in the buffer of its connection.
#pragma once

#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace shedhill {

class aligned_bytes {
public:
    // Copies the bytes only if they are not aligned. They must outlive this object.
    explicit aligned_bytes(std::string_view bytes)
        : m_size(bytes.size())
    {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): an address is a number here
        if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) == 0) {
            m_data = bytes.data();
            return;
        }
        m_copy.resize((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
        std::memcpy(m_copy.data(), bytes.data(), bytes.size());
        m_data = m_copy.data();
    }
    aligned_bytes(aligned_bytes const&) = delete;
    aligned_bytes& operator=(aligned_bytes const&) = delete;

    [[nodiscard]] std::uint8_t const* data() const { return static_cast<std::uint8_t const*>(m_data); }
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    std::vector<std::uint64_t> m_copy;
    void const* m_data { nullptr };
    std::size_t m_size { 0 };
};

} // namespace shedhill
