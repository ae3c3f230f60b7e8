// SPDX-License-Identifier: BSD-2-Clause
// Implements calls whose answers are collected whole.
#include "libraries/relay/store_session.h"

#include "libraries/relay/buffer_limits.h"

#include <algorithm>

namespace shedhill::relay {

void buffered_call::start(std::string call, milliseconds limit)
{
    m_is_calling = true;
    m_status = 0;
    m_body.clear();
    m_buffered.set(0);
    m_limit = limit;
    m_started_at = m_loop.now();
    m_received_at = m_started_at;
    if (!m_connection || !m_connection->is_idle() || m_loop.now() >= m_connection->reusable_until()) {
        if (m_connection)
            m_connection->abandon();
        m_connection = std::make_shared<call_connection>(m_loop);
    }
    m_connection->start(m_address, std::move(call), *this);
}

void buffered_call::check_timeouts(instant now)
{
    if (!m_is_calling)
        return;
    constexpr std::int64_t ms_per_second = 1000;
    milliseconds const earned(static_cast<std::int64_t>(m_body.size()) * ms_per_second / min_bytes_per_second);
    auto const silence_limit = m_body.empty() ? m_limit : std::min(m_limit, max_receiving_pause);
    if (now >= m_received_at + silence_limit || now >= m_started_at + m_limit + earned)
        cancel();
}

void buffered_call::cancel()
{
    m_connection->abandon();
    m_connection.reset();
    m_is_calling = false;
    m_body.clear();
    m_buffered.set(0);
    m_done(0, {});
}

head_decision buffered_call::on_head(answer_head const& head)
{
    m_status = head.result_int();
    return head_decision::accept;
}

void buffered_call::on_data(std::string_view data)
{
    m_received_at = m_loop.now();
    if (data.size() > max_store_answer_bytes - m_body.size())
        return m_connection->reject_answer();
    m_body += data;
    m_buffered.set(m_body.size());
}

void buffered_call::on_call_end(call_end end)
{
    m_is_calling = false;
    auto const body = std::exchange(m_body, {});
    m_buffered.set(0);
    // A JSON document that is cut off is not valid, so an answer without a length needs no other proof.
    bool const has_answer = end == call_end::complete || end == call_end::closed;
    m_done(has_answer ? m_status : 0, body);
}

} // namespace shedhill::relay
