// SPDX-License-Identifier: BSD-2-Clause
// Maintains the hashes of a table's rows.
#include "libraries/dispatch/store/table_rows.h"

#include "base/hash.h"

#include <utility>

namespace shedhill::dispatch {

table_rows::table_rows(row_map rows)
    : m_rows(std::move(rows))
{
    for (auto const& [key, row] : m_rows) {
        m_keys_hash += hash_of_key(key);
        m_digest += stable_hash(key, row.version);
    }
}

std::uint64_t table_rows::hash_of_key(std::string const& key) { return stable_hash(key); }

void table_rows::put(std::string const& key, row const& written)
{
    auto const [current, is_new] = m_rows.try_emplace(key);
    if (is_new)
        m_keys_hash += hash_of_key(key);
    else
        m_digest -= stable_hash(key, current->second.version);
    m_digest += stable_hash(key, written.version);
    current->second = written;
}

void table_rows::remove(std::string const& key)
{
    auto const current = m_rows.find(key);
    if (current == m_rows.end())
        return;
    m_keys_hash -= hash_of_key(key);
    m_digest -= stable_hash(key, current->second.version);
    m_rows.erase(current);
}

table_rows::row const* table_rows::find(std::string const& key) const
{
    auto const found = m_rows.find(key);
    return found == m_rows.end() ? nullptr : &found->second;
}

} // namespace shedhill::dispatch
