// SPDX-License-Identifier: BSD-2-Clause
// Counts the bytes that this process keeps for its peers, by the place that keeps them. Memory is limited like slots:
// without a limit of the sum, a VM with 88 MB runs out of memory, and loses all of its callers, if some hundred of them
// stop reading during long answers, or if an endpoint never ends an answer.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace shedhill::relay {

enum class buffer_place {
    // Bytes of callers' requests that are not complete yet, and pipelined requests.
    incoming,
    // Bodies of complete requests, kept for their attempts, and answers that are withheld until they are complete.
    exchanges,
    // Bytes that a peer has not read yet.
    unwritten,
    // Bytes of an endpoint's or the store's answer that cannot be parsed yet.
    unparsed,
    // Answers of the store, withheld until they are complete.
    store,
    // Messages of other routers that are not complete yet.
    routers,
    count,
};

constexpr std::string_view name_of(buffer_place place)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(buffer_place::count)> names { "incoming",
        "exchanges", "unwritten", "unparsed", "store", "routers" };
    return names.at(static_cast<std::size_t>(place));
}

class buffer_meter {
public:
    // Sets the limit of all buffered bytes; 0 means no limit.
    void set_limit(std::size_t bytes) { m_limit = bytes; }
    [[nodiscard]] std::size_t limit() const { return m_limit; }

    void change(buffer_place place, std::size_t before, std::size_t now)
    {
        m_buffered += now - before;
        m_places.at(static_cast<std::size_t>(place)) += now - before;
        m_peak = m_buffered > m_peak ? m_buffered : m_peak;
    }
    [[nodiscard]] std::size_t bytes() const { return m_buffered; }
    [[nodiscard]] std::size_t bytes_at(buffer_place place) const
    {
        return m_places.at(static_cast<std::size_t>(place));
    }
    // Returns the greatest number of buffered bytes so far.
    [[nodiscard]] std::size_t peak() const { return m_peak; }
    [[nodiscard]] bool is_over_limit() const { return m_limit != 0 && m_buffered > m_limit; }
    // The limit up to which bodies of requests are accepted. The rest is for the answers of accepted requests.
    [[nodiscard]] std::size_t request_limit() const { return m_limit / 2; }
    [[nodiscard]] bool is_over_request_limit() const { return m_limit != 0 && m_buffered > request_limit(); }
    // Returns whether a body of this size is within the limit for requests.
    [[nodiscard]] bool has_room_for_request(std::size_t bytes) const
    {
        return m_limit == 0 || (m_buffered <= request_limit() && bytes <= request_limit() - m_buffered);
    }

private:
    // Invariant: the sum of m_places.
    std::size_t m_buffered { 0 };
    std::size_t m_peak { 0 };
    std::size_t m_limit { 0 };
    std::array<std::size_t, static_cast<std::size_t>(buffer_place::count)> m_places {};
};

// The buffered bytes of one owner; they are subtracted from the meter when the owner is destroyed.
class buffered_bytes {
public:
    buffered_bytes(buffer_meter& meter, buffer_place place)
        : m_meter(meter)
        , m_place(place)
    {
    }
    ~buffered_bytes() { set(0); }
    buffered_bytes(buffered_bytes const&) = delete;
    buffered_bytes& operator=(buffered_bytes const&) = delete;

    void set(std::size_t bytes)
    {
        m_meter.change(m_place, m_bytes, bytes);
        m_bytes = bytes;
    }
    [[nodiscard]] std::size_t size() const { return m_bytes; }

private:
    buffer_meter& m_meter;
    buffer_place m_place;
    std::size_t m_bytes { 0 };
};

} // namespace shedhill::relay
