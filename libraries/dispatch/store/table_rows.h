// SPDX-License-Identifier: BSD-2-Clause
// The rows of one table of the store, with hashes that are updated with each change of a row. Two routers compare the
// hashes instead of the rows.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace shedhill::dispatch {

struct table_row_value {
    std::string value;
    // The store's version of the change that wrote the row.
    std::uint64_t version { 0 };
};

class table_rows {
public:
    using row = table_row_value;
    using row_map = std::map<std::string, row>;

    table_rows() = default;
    explicit table_rows(row_map rows);

    // Inserts the row or replaces the one with this key.
    void put(std::string const& key, row const& written);
    void remove(std::string const& key);

    [[nodiscard]] static std::uint64_t hash_of_key(std::string const& key);
    [[nodiscard]] row_map const& all() const { return m_rows; }
    [[nodiscard]] row const* find(std::string const& key) const;
    // Returns a hash of the keys, the sum of their hashes, which shows whether a row is missing.
    [[nodiscard]] std::uint64_t keys_hash() const { return m_keys_hash; }
    // Returns a hash of the keys and versions, which is not 0. The store gives each written value a version of its own,
    // so equal hashes mean equal rows.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

private:
    static constexpr std::uint64_t digest_of_empty_table { 0x9e3779b97f4a7c15 };

    row_map m_rows;
    // Invariant: these are the sums of the hashes of all rows, beside the digest of an empty table, so that a changed
    // row changes them by its own hash and the order of changes does not matter.
    std::uint64_t m_keys_hash { 0 };
    std::uint64_t m_digest { digest_of_empty_table };
};

} // namespace shedhill::dispatch
