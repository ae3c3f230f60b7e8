// SPDX-License-Identifier: BSD-2-Clause
// Keeps a copy of one table of the store. The watcher reads the table completely once, then polls its changes, and
// reads it again when the store no longer has the history of changes. It never applies data older than its own. The
// pages of a read may have different versions, so a read of several pages ends with a poll of the changes since the
// first one.
// store_watchers decides for all tables together when to call a store that has failures.
#pragma once

#include "base/units.h"
#include "libraries/dispatch/store/table_rows.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shedhill::dispatch {

// How a table is polled for changes.
struct watch_options {
    // The minimum time between two polls, so that frequent changes are received together.
    milliseconds min_interval { 0 };
    // The time for which the store may hold a long poll while the table does not change.
    milliseconds wait { 1500 };
};

// The conditions of one call while the rows may be stale or the store has failures.
struct call_terms {
    // The maximum time for which the store may hold its answer; 0 requests an immediate answer.
    milliseconds max_wait { milliseconds::max() };
    // A paced call waits until min_interval has passed since the previous call; an urgent one is made at once.
    enum class urgency { paced, at_once } when { urgency::paced };
};

class table_watcher {
public:
    // A read returns one page of the complete table; a watch is a poll for the changes after a version.
    enum class call_kind { none, read, watch };

    struct next_call {
        call_kind kind { call_kind::none };
        // The key after which a paged read continues.
        std::string after_key;
        // The version after which a watch requests changes.
        std::uint64_t since { 0 };
        // The time for which the store may hold its answer.
        milliseconds wait { 0 };
        // The call is part of a read of the complete table, of which a failure loses the earlier calls' answers.
        bool is_part_of_read { false };
    };

    using row = table_rows::row;

    struct changed_row {
        std::string key;
        std::string value;
        std::uint64_t version { 0 };
        bool is_removed { false };
    };

    // Why a call failed. history_gone means that the store no longer has the changes after the requested version.
    enum class failure { no_answer, refused, history_gone };
    // What a page or a report changed. A page that is older than the watcher's own rows, or a report that is not newer
    // than them or lacks changes, is out_of_date and is not applied.
    enum class page_outcome { nothing_new, changed, out_of_date };

    explicit table_watcher(watch_options options)
        : m_options(options)
    {
    }
    ~table_watcher() = default;
    // Copies are deleted because they copy all rows: an accidental copy at each tick doubled a router's processor time.
    table_watcher(table_watcher const&) = delete;
    table_watcher& operator=(table_watcher const&) = delete;
    table_watcher(table_watcher&&) = default;
    table_watcher& operator=(table_watcher&&) = default;

    // Returns the call to make now, if any. The call counts as in flight until its page or failure is applied.
    [[nodiscard]] next_call take_next(instant now, call_terms const& terms = {});
    page_outcome apply_page(std::vector<changed_row> const& rows, std::uint64_t version, bool has_more, instant now);
    void apply_failure(failure reason, instant now);
    // Requires a read of the complete table from this time on, unless one is already required. The rows stay in use
    // until it has ended.
    void read_again(instant at);
    // Ends a call that was abandoned for a reason other than a failure of the store.
    void end_abandoned_call();

    struct removed_row {
        std::string key;
        // The version of the change that removed the row.
        std::uint64_t version { 0 };
    };

    // A report to another router: all rows, or the changes after a version that the other router has.
    struct reported_rows {
        // The report contains the changes after this version; empty if it contains all rows.
        std::optional<std::uint64_t> since {};
        std::map<std::string, row> rows {};
        // The rows removed since then; empty if the report contains all rows.
        std::vector<removed_row> removed {};
        // The hash of the keys of all rows, also in a report of changes. It shows whether the report lacks a removed
        // row.
        std::uint64_t keys_hash { 0 };
        // The version up to which the rows are complete, and the version of the newest change, including removals.
        std::uint64_t version { 0 };
        std::uint64_t changed_version { 0 };
    };

    // Returns the report for a router that has all changes up to the version; all rows if the version is 0.
    [[nodiscard]] reported_rows rows_since(std::uint64_t version) const;
    // Applies a report of another router, except for data older than its own. A report of incomplete changes is not
    // applied, and the next request is for all rows.
    page_outcome apply_reported(reported_rows reported);
    // Whether a router that announces this version, and the digest unless it omits that, has the rows of this watcher.
    [[nodiscard]] bool has_same_rows(std::uint64_t version, std::optional<std::uint64_t> digest) const;
    // Records that a router with the same rows announced this version, so that they are complete up to it here, too.
    void confirm_same_rows(std::uint64_t version);
    // Returns the version after which another router is to report changes; 0 requests all rows.
    [[nodiscard]] std::uint64_t changes_wanted_since() const { return m_needs_all_rows || !m_has_rows ? 0 : m_version; }

    [[nodiscard]] std::map<std::string, row> const& rows() const { return m_rows.all(); }
    // Returns the hash of the rows, by which two watchers find out whether they have the same ones.
    [[nodiscard]] std::uint64_t digest() const { return m_rows.digest(); }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    // Returns the version that is announced to other routers: a watcher whose version is smaller may lack a change.
    // It is that of the newest change or, after a read of the complete table, that of the read.
    [[nodiscard]] std::uint64_t changed_version() const { return m_changed_version; }
    // Sets the polling options. A shorter interval already applies to the next call.
    void set_options(watch_options options);
    // Whether the rows have ever been received completely.
    [[nodiscard]] bool has_rows() const { return m_has_rows; }
    // Returns the time at which the store last confirmed the rows.
    [[nodiscard]] instant confirmed_at() const { return m_confirmed_at; }
    // Whether a call has failed and none has been answered since.
    [[nodiscard]] bool is_failing() const { return m_is_failing; }
    // Returns the time at which the store last answered again after an outage; the epoch if there was none.
    [[nodiscard]] instant recovered_at() const { return m_recovered_at; }

private:
    void record_answer(instant now);
    void end_call();
    void record_removal(removed_row removed);
    // Replaces the rows by those of a read or a report, and records which ones were removed.
    page_outcome replace_rows(table_rows rows);
    // Whether the reported changes, applied to the rows, give all rows of the reporting router.
    [[nodiscard]] bool is_complete(reported_rows const& reported) const;
    page_outcome apply_changes(reported_rows reported);
    [[nodiscard]] next_call make_read_call() const;
    page_outcome apply_answer_of_read(
        std::vector<changed_row> const& rows, std::uint64_t version, bool has_more, instant now);
    page_outcome apply_read_page(
        std::vector<changed_row> const& rows, std::uint64_t version, bool has_more, instant now);
    page_outcome apply_changes_of_read(std::vector<changed_row> const& rows, std::uint64_t version, instant now);
    page_outcome finish_read(std::uint64_t version, instant now);
    void forget_read();

    watch_options m_options;
    bool m_is_calling { false };
    call_kind m_call_kind { call_kind::none };
    // The call in flight is part of a read.
    bool m_is_call_of_read { false };
    bool m_needs_read { true };
    table_rows m_rows;
    bool m_has_rows { false };
    // The version of the store at which the table has exactly m_rows. Never decreases.
    std::uint64_t m_version { 0 };
    // Never decreases and never exceeds m_version. The table has had exactly m_rows from this version on, so that two
    // routers with the same one have the same rows.
    std::uint64_t m_changed_version { 0 };
    // The recently removed rows, the latest last; their number is bounded.
    std::deque<removed_row> m_removed_rows;
    // The last report of another router was incomplete.
    bool m_needs_all_rows { false };
    // The rows and the first page's version of a read that is not complete, and whether only the changes since that
    // version are missing.
    table_rows::row_map m_read_rows;
    std::uint64_t m_read_version { 0 };
    bool m_has_all_pages { false };
    instant m_next_at {};
    instant m_called_at {};
    instant m_confirmed_at {};
    instant m_recovered_at {};
    bool m_is_failing { false };
};

} // namespace shedhill::dispatch
