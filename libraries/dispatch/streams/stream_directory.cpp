// SPDX-License-Identifier: BSD-2-Clause
// Implements the directory by a hash table and the order of insertion, by which the oldest records are removed first.
#include "libraries/dispatch/streams/stream_directory.h"

#include <algorithm>

namespace shedhill::dispatch {

bool stream_directory::record(stream_key stream, software_key software, instant until)
{
    auto const [found, is_new] = m_streams.try_emplace(stream, entry { software, until, 0 });
    if (!is_new) {
        found->second.until = std::max(found->second.until, until);
        return false;
    }
    m_order.push_back(stream);
    ++m_recorded;
    if (m_order.size() > max_records) {
        m_streams.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

std::optional<software_key> stream_directory::find(stream_key stream, instant now) const
{
    auto const found = m_streams.find(stream);
    if (found == m_streams.end() || now > found->second.until)
        return std::nullopt;
    return found->second.software;
}

bool stream_directory::take_precedence(stream_key stream)
{
    auto const found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.precedences >= max_precedences)
        return false;
    ++found->second.precedences;
    return true;
}

void stream_directory::forget_old(instant now)
{
    // Records last about equally long, so those that have expired are at the front.
    while (!m_order.empty() && now > m_streams.at(m_order.front()).until) {
        m_streams.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<stream_record> stream_directory::newest(std::size_t max_count, instant now) const
{
    std::vector<stream_record> result;
    for (auto stream = m_order.rbegin(); stream != m_order.rend() && result.size() < max_count; ++stream) {
        auto const& [software, until, precedences] = m_streams.at(*stream);
        if (now < until)
            result.push_back({ *stream, software, until - now });
    }
    return result;
}

std::vector<stream_record> stream_directory::since(std::uint64_t number, std::size_t max_count, instant now) const
{
    std::vector<stream_record> result;
    auto const first = std::max(number, oldest()) - oldest();
    for (auto index = first; index < m_order.size() && result.size() < max_count; ++index) {
        auto const& [software, until, precedences] = m_streams.at(m_order[index]);
        result.push_back({ m_order[index], software, std::max(until - now, milliseconds(0)) });
    }
    return result;
}

} // namespace shedhill::dispatch
