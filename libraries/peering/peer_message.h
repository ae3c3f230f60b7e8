// SPDX-License-Identifier: BSD-2-Clause
// The messages between routers: reports of loads and of the teams' usage, and documents of the store for routers that
// did not read them there.
#pragma once

#include "base/error.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/store/table_watcher.h"
#include "libraries/peering/fleet_member.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shedhill::peering {

// Documents that a router forwards to routers that do not receive them from the store. Each is a table there: the
// declarations of operators, and the list of endpoints.
enum class document_kind : std::uint8_t { configuration, endpoints, count };

[[nodiscard]] std::string_view name_of(document_kind kind);

struct document_version {
    document_kind kind { document_kind::configuration };
    std::uint64_t version { 0 };
    // Time since the store last confirmed the document to the sender.
    milliseconds age { 0 };
    // Time since the store returned after an outage, as far as the sender knows; empty if there was no outage.
    std::optional<milliseconds> returned_ago {};
    // The hash of the document's rows, which most messages omit.
    std::optional<std::uint64_t> digest {};
    // When the store last confirmed the document to the sender, by the store's clock in milliseconds.
    std::optional<std::int64_t> store_time {};
};

struct state_message {
    dispatch::peer_report report;
    // The sender's address, which together with its weight and the report's failure domain forms its fleet_member.
    std::string address;
    std::uint32_t weight { 0 };
    std::vector<document_version> documents;
    std::vector<fleet_member> members {};
    // The sequence number, which increases with each message of the sender.
    std::uint64_t number { 0 };
    // Set if another router forwards the sender's message.
    bool is_forwarded { false };

    [[nodiscard]] fleet_member sender() const { return { address, report.domain, weight }; }
};

struct document_message {
    document_kind kind { document_kind::configuration };
    dispatch::table_watcher::reported_rows rows {};
};

struct document_request {
    document_kind kind { document_kind::configuration };
    // The version that the requesting router has.
    std::uint64_t version { 0 };
    std::string address;
    // The requesting router has all changes up to this version and needs only later ones; 0 if it needs the whole
    // table.
    std::uint64_t since { 0 };
};

// Asks the receiver, which would not connect otherwise, to connect to the sender and send it reports.
struct link_request {
    std::string address;
};

using peer_message = std::variant<state_message, document_message, document_request, link_request>;

// A frame is the size of the message as four bytes in little-endian order, followed by the FlatBuffers message.
constexpr std::size_t frame_header_size = 4;
constexpr std::size_t max_frame_size = 8U << 20U;

std::string encode_frame(peer_message const& message);
// Verifies and decodes the message of a frame, without the frame's header. Fails if the bytes are not a valid message
// or its document kind is unknown.
result<peer_message> decode_body(std::string_view body);
// Returns the size of the frame that the bytes begin with, including its header; empty while the header is incomplete.
std::optional<std::size_t> frame_size(std::string_view bytes);

} // namespace shedhill::peering
