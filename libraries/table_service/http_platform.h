// SPDX-License-Identifier: BSD-2-Clause
// Client for the platform's table, object store and VM list over HTTP. Only this class depends on the platform's
// protocol; a binding to another platform must satisfy the concept platform_service.
#pragma once

#include "base/error.h"
#include "libraries/table_service/records.h"

#include <boost/json.hpp>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::table_service {

enum class commit_state {
    committed,
    // The head was not at the expected revision; nothing was written.
    raced,
    // Either the head could not be read and nothing was written, or the write's answer does not prove its result and
    // the change was not found by its id. In the second case the change may have been written.
    unknown,
};

struct commit_outcome {
    commit_state state { commit_state::unknown };
    // The change's revision if the state is committed.
    shedhill::revision revision {};
};

// The interface of a platform binding. http_platform documents the functions.
template <typename T>
concept platform_service
    = requires(T& service, config::change const& change, std::vector<claim> const& claims, std::string const& text)
{
    {
        service.read_head()
        } -> std::same_as<result<shedhill::revision>>;
    {
        service.read_changes(shedhill::revision())
        } -> std::same_as<result<std::vector<numbered_change>>>;
    {
        service.commit(change, shedhill::revision())
        } -> std::same_as<commit_outcome>;
    {
        service.find_change(text)
        } -> std::same_as<result<std::optional<shedhill::revision>>>;
    {
        service.write_claims(claims)
        } -> std::same_as<std::vector<claim_verdict>>;
    {
        service.release_claims(claims)
        } -> std::same_as<result<void>>;
    {
        service.list_vms()
        } -> std::same_as<result<std::vector<vm_record>>>;
    {
        service.list_vms_if_changed()
        } -> std::same_as<result<std::optional<std::vector<vm_record>>>>;
    {
        service.get_object(text)
        } -> std::same_as<result<std::string>>;
    {
        service.put_object(text, text)
        } -> std::same_as<result<void>>;
};

// All functions suspend the calling fiber. The time limit applies to each HTTP call.
class http_platform {
public:
    explicit http_platform(std::string address, std::chrono::milliseconds limit = std::chrono::milliseconds(2000))
        : m_address(std::move(address))
        , m_limit(limit)
    {
    }

    // Returns the revision of the last committed change.
    result<shedhill::revision> read_head();
    // Returns the changes after a revision in order, a limited number at a time.
    result<std::vector<numbered_change>> read_changes(shedhill::revision after);
    // Writes the change as the revision after the expected head. If the answer is lost, looks the change up by its id.
    commit_outcome commit(config::change const& change, shedhill::revision expected_head);
    // Returns the revision of a committed change, or nothing if no change with this id was committed.
    result<std::optional<shedhill::revision>> find_change(std::string const& id);
    // Writes the claims whose rows don't exist yet. Returns one verdict for each claim, in order.
    std::vector<claim_verdict> write_claims(std::vector<claim> const& claims);
    // Removes the row of each claim if it still holds the claim's id.
    result<void> release_claims(std::vector<claim> const& claims);
    result<std::vector<vm_record>> list_vms();
    // Returns the platform's VM list, or nothing if the list is unchanged since this object last read it.
    result<std::optional<std::vector<vm_record>>> list_vms_if_changed();
    // Reads and writes an object of the platform's object store.
    result<std::string> get_object(std::string const& name);
    result<void> put_object(std::string const& name, std::string const& content);

private:
    struct row {
        std::string value;
        // Zero if the row does not exist.
        std::uint64_t version { 0 };
    };

    result<boost::json::value> post(
        std::string const& step, std::string const& target, boost::json::object const& body);
    result<std::vector<row>> read_rows(std::vector<std::string> const& keys);
    // Returns whether the transaction was committed; false if a condition was not met.
    result<bool> transact(boost::json::array conditions, boost::json::array puts, boost::json::array removals);
    // Reads the rows of the claims without a verdict and sets the verdict of each claim whose row exists.
    void resolve_from_stored_rows(std::vector<claim> const& claims, std::vector<claim_verdict>& verdicts);

    result<std::optional<std::vector<vm_record>>> list_vms_after(std::uint64_t known_version);

    // The version of the VM list that was read last; zero if none was read.
    std::uint64_t m_vms_version { 0 };
    std::string m_address;
    std::chrono::milliseconds m_limit;
};

static_assert(platform_service<http_platform>);

} // namespace shedhill::table_service
