// SPDX-License-Identifier: BSD-2-Clause
// Holds the open exchanges of a router, and the request that each caller's connection waits for.
#pragma once

#include "base/identifiers.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace shedhill::daemon {

template <typename Exchange>
class exchange_table {
public:
    using caller_number = std::uint64_t;

    void add(request_number request, std::unique_ptr<Exchange> exchange)
    {
        m_request_of_caller[exchange->caller().number()] = request;
        m_exchanges.emplace(request, std::move(exchange));
    }

    [[nodiscard]] Exchange* find(request_number request)
    {
        auto const found = m_exchanges.find(request);
        return found == m_exchanges.end() ? nullptr : found->second.get();
    }

    // Returns the exchange that the caller's connection waits for, if any.
    [[nodiscard]] Exchange* find_of_caller(caller_number caller)
    {
        auto const found = m_request_of_caller.find(caller);
        return found == m_request_of_caller.end() ? nullptr : find(found->second);
    }

    // Removes a caller that has disconnected. Returns the request that it waited for, if any, whose exchange is marked
    // as finished.
    std::optional<request_number> remove_caller(caller_number caller)
    {
        auto const found = m_request_of_caller.find(caller);
        if (found == m_request_of_caller.end())
            return std::nullopt;
        auto const request = found->second;
        m_request_of_caller.erase(found);
        m_finished.push_back(request);
        return request;
    }

    // Marks the exchange as finished. It may be on the stack now, so the next call of remove_finished() removes it.
    void mark_finished(request_number request) { m_finished.push_back(request); }

    void remove_finished()
    {
        for (auto const request : std::exchange(m_finished, {})) {
            auto const found = m_exchanges.find(request);
            if (found == m_exchanges.end())
                continue;
            auto const caller = m_request_of_caller.find(found->second->caller().number());
            if (caller != m_request_of_caller.end() && caller->second == request)
                m_request_of_caller.erase(caller);
            m_exchanges.erase(found);
        }
    }

    template <typename Action>
    void for_each(Action&& action)
    {
        for (auto const& [number, exchange] : m_exchanges)
            action(number, *exchange);
    }

    [[nodiscard]] std::size_t size() const { return m_exchanges.size(); }

private:
    std::unordered_map<request_number, std::unique_ptr<Exchange>> m_exchanges;
    // Invariant: a caller's connection waits for one request at most, which is in m_exchanges or in m_finished.
    std::unordered_map<caller_number, request_number> m_request_of_caller;
    std::vector<request_number> m_finished;
};

} // namespace shedhill::daemon
