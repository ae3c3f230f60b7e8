// SPDX-License-Identifier: BSD-2-Clause
// Sends one batch of claims at a time and matches the verdicts to its requests.
#include "libraries/router/claim_batcher.h"

#include <utility>

namespace shedhill::router {

void claim_batcher::add(request_number request, table_service::claim claim)
{
    m_waiting.push_back({ request, std::move(claim) });
}

void claim_batcher::release(table_service::claim claim) { m_releases.push_back(std::move(claim)); }

void claim_batcher::tick(step_context& step)
{
    if (step.now() < m_next_at || !m_sent.empty())
        return;
    if (!m_releases.empty())
        step.emit(release_claims { std::exchange(m_releases, {}) });
    if (m_waiting.empty())
        return;
    m_next_at = step.now() + m_settings.claim_interval;
    auto const batch = ++m_last_batch;
    write_claims written { batch, {} };
    for (auto const& waiting : m_waiting)
        written.claims.push_back(waiting.claim);
    m_sent[batch] = std::exchange(m_waiting, {});
    step.emit(std::move(written));
}

std::vector<claim_answer> claim_batcher::take_answers(
    std::uint64_t batch, std::vector<table_service::claim_verdict> const& verdicts)
{
    std::vector<claim_answer> answers;
    auto const found = m_sent.find(batch);
    if (found == m_sent.end())
        return answers;
    auto const& sent = found->second;
    for (std::size_t index = 0; index < sent.size(); ++index) {
        auto const verdict = index < verdicts.size() ? verdicts[index] : table_service::claim_verdict::unavailable;
        answers.push_back({ sent[index].request, sent[index].claim, verdict });
    }
    m_sent.erase(found);
    return answers;
}

} // namespace shedhill::router
