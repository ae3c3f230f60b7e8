// SPDX-License-Identifier: BSD-2-Clause
// The platform's table, object store and VM list over HTTP. The one file pair that knows the platform's protocol:
// another binding need only meet the concept platform_service.
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
    // The head has moved: nothing was written.
    raced,
    // The answer was lost, and reading the change back did not succeed either.
    unknown,
};

struct commit_outcome {
    commit_state state { commit_state::unknown };
    // The change's revision if it was committed.
    shedhill::revision revision {};
};

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

// All functions suspend the calling fiber.
class http_platform {
public:
    explicit http_platform(std::string address, std::chrono::milliseconds limit = std::chrono::milliseconds(2000))
        : m_address(std::move(address))
        , m_limit(limit)
    {
    }

    result<shedhill::revision> read_head();
    result<std::vector<numbered_change>> read_changes(shedhill::revision after);
    // Writes the change as the revision after the expected head. A lost answer is read back by the change's id.
    commit_outcome commit(config::change const& change, shedhill::revision expected_head);
    result<std::optional<shedhill::revision>> find_change(std::string const& id);
    // One verdict for each claim, in order.
    std::vector<claim_verdict> write_claims(std::vector<claim> const& claims);
    // Removes those rows that still hold the claim's own id.
    result<void> release_claims(std::vector<claim> const& claims);
    result<std::vector<vm_record>> list_vms();
    // Nothing if the list is the one that this object read last.
    result<std::optional<std::vector<vm_record>>> list_vms_if_changed();
    result<std::string> get_object(std::string const& name);
    result<void> put_object(std::string const& name, std::string const& content);

private:
    struct row {
        std::string value;
        // Zero for a row that does not exist.
        std::uint64_t version { 0 };
    };

    result<boost::json::value> post(
        std::string const& step, std::string const& target, boost::json::object const& body);
    result<std::vector<row>> read_rows(std::vector<std::string> const& keys);
    // Whether the transaction was made; false if a condition did not hold.
    result<bool> transact(boost::json::array conditions, boost::json::array puts, boost::json::array removals);
    void settle_by_reading(std::vector<claim> const& claims, std::vector<claim_verdict>& verdicts);

    result<std::optional<std::vector<vm_record>>> list_vms_after(std::uint64_t known_version);

    // The version of the list that was read last; zero for none.
    std::uint64_t m_vms_version { 0 };
    std::string m_address;
    std::chrono::milliseconds m_limit;
};

static_assert(platform_service<http_platform>);

} // namespace shedhill::table_service
