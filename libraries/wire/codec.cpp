// SPDX-License-Identifier: BSD-2-Clause
// Converts typed messages to FlatBuffers tables and back, with one pair of functions for each message type.
#include "libraries/wire/codec.h"

#include "base/aligned_bytes.h"
#include "libraries/wire/generated/messages_generated.h"

#include <algorithm>
#include <array>
#include <limits>

namespace shedhill::wire {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::string text_of(flatbuffers::String const* field) { return field == nullptr ? std::string() : field->str(); }

std::string bytes_of(flatbuffers::Vector<std::uint8_t> const* field)
{
    return field == nullptr ? std::string() : std::string(field->begin(), field->end());
}

Offset<flatbuffers::Vector<std::uint8_t>> put_bytes(FlatBufferBuilder& builder, std::string const& bytes)
{
    // NOTE: CreateVector() takes unsigned bytes; the aliasing rules permit accessing characters as such.
    return builder.CreateVector(reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size());
}

// Clamps a value to the range from 0 to the maximum of a smaller wire type.
template <typename Small>
Small saturate(std::int64_t value)
{
    return static_cast<Small>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<Small>::max()));
}

schema::OfferEntry pack(offer_entry const& entry)
{
    return { entry.account.value(), entry.level, saturate<std::uint32_t>(entry.expected_cost.value()),
        saturate<std::uint32_t>(entry.level_age.count()), saturate<std::uint16_t>(entry.waiting),
        saturate<std::uint16_t>(entry.weight), entry.tier };
}

offer_entry unpack(schema::OfferEntry const& entry)
{
    return { account_id(entry.account()), entry.level(), service_units(entry.expected_cost()), entry.waiting(),
        milliseconds(entry.level_age()), entry.weight(), entry.tier() };
}

// Builds the payload table of a message. Each overload returns the payload's type tag and its offset in the builder.
struct payload_builder {
    struct built_payload {
        schema::Payload tag;
        Offset<void> offset;
    };

    FlatBufferBuilder& builder;

    built_payload operator()(hello const& sent)
    {
        auto const vm = builder.CreateString(sent.vm.value());
        auto const nonce = put_bytes(builder, sent.nonce);
        return { schema::Payload::Hello,
            schema::CreateHello(
                builder, vm, static_cast<std::uint8_t>(sent.role), sent.epoch.value(), nonce, sent.revision.value())
                .Union() };
    }

    built_payload operator()(proof const& sent)
    {
        return { schema::Payload::Proof, schema::CreateProof(builder, put_bytes(builder, sent.mac)).Union() };
    }

    built_payload operator()(offer const& sent)
    {
        auto const entries = pack_entries(sent.entries);
        return { schema::Payload::Offer, schema::CreateOffer(builder, sent.revision.value(), entries).Union() };
    }

    built_payload operator()(offer_refused const& sent)
    {
        return { schema::Payload::OfferRefused,
            schema::CreateOfferRefused(builder, static_cast<std::uint8_t>(sent.why), sent.revision.value()).Union() };
    }

    built_payload operator()(endpoint_state const& sent)
    {
        return { schema::Payload::EndpointState,
            schema::CreateEndpointState(builder, sent.slots, sent.free_slots, sent.is_draining, sent.revision.value())
                .Union() };
    }

    built_payload operator()(grant const& sent)
    {
        return { schema::Payload::Grant,
            schema::CreateGrant(builder, sent.number.value(), sent.account.value()).Union() };
    }

    built_payload operator()(no_work const& sent)
    {
        return { schema::Payload::NoWork, schema::CreateNoWork(builder, sent.number.value()).Union() };
    }

    built_payload operator()(run const& sent)
    {
        std::vector<Offset<schema::Header>> headers;
        for (auto const& [name, value] : sent.headers) {
            auto const name_offset = builder.CreateString(name);
            headers.push_back(schema::CreateHeader(builder, name_offset, builder.CreateString(value)));
        }
        auto const method = builder.CreateString(sent.method);
        auto const target = builder.CreateString(sent.target);
        auto const header_list = builder.CreateVector(headers);
        auto const body = put_bytes(builder, sent.body);
        auto const refresh = pack_entries(sent.refresh);
        return { schema::Payload::Run,
            schema::CreateRun(builder, sent.grant.value(), sent.request.value(), sent.attempt.value(), method, target,
                header_list, body, sent.account.value(), sent.expected_cost.value(), sent.is_repeatable,
                sent.is_model_call, static_cast<std::uint32_t>(sent.time_left.count()), sent.revision.value(), refresh)
                .Union() };
    }

    built_payload operator()(refused const& sent)
    {
        return { schema::Payload::Refused,
            schema::CreateRefused(builder, sent.request.value(), sent.attempt.value(),
                static_cast<std::uint8_t>(sent.why), sent.revision.value())
                .Union() };
    }

    built_payload operator()(cancel const& sent)
    {
        return { schema::Payload::Cancel,
            schema::CreateCancel(builder, sent.request.value(), sent.attempt.value()).Union() };
    }

    built_payload operator()(chunk const& sent)
    {
        auto const type
            = sent.content_type.empty() ? Offset<flatbuffers::String>() : builder.CreateString(sent.content_type);
        auto const data = put_bytes(builder, sent.data);
        return { schema::Payload::Chunk,
            schema::CreateChunk(builder, sent.request.value(), sent.attempt.value(), sent.sequence.value(), sent.status,
                type, data, sent.service.value())
                .Union() };
    }

    built_payload operator()(finished const& sent)
    {
        return { schema::Payload::Finished,
            schema::CreateFinished(builder, sent.request.value(), sent.attempt.value(), sent.sequence.value(),
                static_cast<std::uint8_t>(sent.outcome), static_cast<std::uint8_t>(sent.why), sent.service.value(),
                sent.free_slots)
                .Union() };
    }

    built_payload operator()(service_report const& sent)
    {
        auto const values = pack_values(sent.values);
        auto const rebuild = pack_values(sent.rebuild);
        auto const activations = pack_values(sent.activations);
        return { schema::Payload::ServiceReport,
            schema::CreateServiceReport(builder, sent.epoch.value(), sent.sequence, values, rebuild, activations)
                .Union() };
    }

    built_payload operator()(service_reading const& sent)
    {
        return { schema::Payload::ServiceReading,
            schema::CreateServiceReading(builder, sent.epoch.value(), pack_values(sent.others)).Union() };
    }

    Offset<schema::SnapshotReply> pack_snapshot(snapshot_reply const& sent)
    {
        std::vector<Offset<schema::Vm>> vms;
        vms.reserve(sent.vms.size());
        for (auto const& vm : sent.vms) {
            auto const name = builder.CreateString(vm.name.value());
            auto const address = builder.CreateString(vm.address);
            auto const domain = builder.CreateString(vm.domain.value());
            auto const endpoint = builder.CreateString(vm.endpoint.value());
            vms.push_back(schema::CreateVm(builder, name, static_cast<std::uint8_t>(vm.role),
                static_cast<std::uint8_t>(vm.state), address, domain, endpoint));
        }
        auto const listed = builder.CreateVector(vms);
        return schema::CreateSnapshotReply(builder, builder.CreateString(sent.snapshot), listed);
    }

    Offset<flatbuffers::Vector<schema::OfferEntry const*>> pack_entries(std::vector<offer_entry> const& entries)
    {
        std::vector<schema::OfferEntry> packed;
        packed.reserve(entries.size());
        for (auto const& entry : entries)
            packed.push_back(pack(entry));
        return builder.CreateVectorOfStructs(packed);
    }

    // Returns a null offset for an empty list, so that the frame omits the field.
    Offset<flatbuffers::Vector<schema::AccountValue const*>> pack_values(std::vector<account_value> const& values)
    {
        if (values.empty())
            return {};
        std::vector<schema::AccountValue> packed;
        packed.reserve(values.size());
        for (auto const& [account, value] : values)
            packed.emplace_back(account.value(), value.value());
        return builder.CreateVectorOfStructs(packed);
    }

    built_payload operator()(snapshot_request const& sent)
    {
        return { schema::Payload::SnapshotRequest,
            schema::CreateSnapshotRequest(builder, sent.newer_than.value()).Union() };
    }

    built_payload operator()(snapshot_reply const& sent)
    {
        return { schema::Payload::SnapshotReply, pack_snapshot(sent).Union() };
    }
};

reason reason_of(std::uint8_t value)
{
    return value < static_cast<std::uint8_t>(reason::count) ? static_cast<reason>(value) : reason::none;
}

run_outcome outcome_of(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(run_outcome::unknown) ? static_cast<run_outcome>(value)
                                                                    : run_outcome::unknown;
}

process_role role_of(std::uint8_t value) { return value == 0 ? process_role::router : process_role::endpoint; }

message unpack(schema::Hello const& table)
{
    return hello { vm_name(text_of(table.vm())), role_of(table.role()), process_epoch(table.epoch()),
        bytes_of(table.nonce()), revision(table.revision()) };
}

message unpack(schema::Proof const& table) { return proof { bytes_of(table.mac()) }; }

std::vector<offer_entry> unpack_entries(flatbuffers::Vector<schema::OfferEntry const*> const* list)
{
    std::vector<offer_entry> entries;
    if (list == nullptr)
        return entries;
    entries.reserve(list->size());
    for (auto const* entry : *list)
        entries.push_back(unpack(*entry));
    return entries;
}

message unpack(schema::Offer const& table)
{
    return offer { revision(table.revision()), unpack_entries(table.entries()) };
}

message unpack(schema::OfferRefused const& table)
{
    return offer_refused { reason_of(table.reason()), revision(table.revision()) };
}

message unpack(schema::EndpointState const& table)
{
    return endpoint_state { table.slots(), table.free_slots(), table.is_draining(), revision(table.revision()) };
}

message unpack(schema::Grant const& table)
{
    return grant { grant_number(table.grant()), account_id(table.account()) };
}

message unpack(schema::NoWork const& table) { return no_work { grant_number(table.grant()) }; }

message unpack(schema::Run const& table)
{
    run received;
    received.grant = grant_number(table.grant());
    received.request = request_number(table.request());
    received.attempt = attempt_number(table.attempt());
    received.method = text_of(table.method());
    received.target = text_of(table.target());
    if (table.headers() != nullptr) {
        for (auto const* entry : *table.headers())
            received.headers.push_back({ text_of(entry->name()), text_of(entry->value()) });
    }
    received.body = bytes_of(table.body());
    received.is_repeatable = table.is_repeatable();
    received.is_model_call = table.is_model_call();
    received.time_left = milliseconds(table.time_left());
    received.revision = revision(table.revision());
    received.account = account_id(table.account());
    received.expected_cost = service_units(table.expected_cost());
    received.refresh = unpack_entries(table.refresh());
    return received;
}

message unpack(schema::Refused const& table)
{
    return refused { request_number(table.request()), attempt_number(table.attempt()), reason_of(table.reason()),
        revision(table.revision()) };
}

message unpack(schema::Cancel const& table)
{
    return cancel { request_number(table.request()), attempt_number(table.attempt()) };
}

message unpack(schema::Chunk const& table)
{
    return chunk { request_number(table.request()), attempt_number(table.attempt()), chunk_sequence(table.sequence()),
        table.status(), text_of(table.content_type()), bytes_of(table.data()), service_units(table.service()) };
}

message unpack(schema::Finished const& table)
{
    return finished { request_number(table.request()), attempt_number(table.attempt()),
        chunk_sequence(table.sequence()), outcome_of(table.outcome()), reason_of(table.reason()),
        service_units(table.service()), table.free_slots() };
}

std::vector<account_value> unpack_values(flatbuffers::Vector<schema::AccountValue const*> const* list)
{
    std::vector<account_value> values;
    if (list == nullptr)
        return values;
    values.reserve(list->size());
    for (auto const* entry : *list)
        values.push_back({ account_id(entry->account()), service_units(entry->value()) });
    return values;
}

message unpack(schema::ServiceReport const& table)
{
    return service_report { process_epoch(table.epoch()), table.sequence(), unpack_values(table.values()),
        unpack_values(table.rebuild()), unpack_values(table.activations()) };
}

message unpack(schema::ServiceReading const& table)
{
    return service_reading { process_epoch(table.epoch()), unpack_values(table.others()) };
}

message unpack(schema::SnapshotRequest const& table) { return snapshot_request { revision(table.newer_than()) }; }

message unpack(schema::SnapshotReply const& table)
{
    snapshot_reply received { text_of(table.snapshot()), {} };
    if (table.vms() == nullptr)
        return received;
    for (auto const* vm : *table.vms()) {
        received.vms.push_back({ vm_name(text_of(vm->name())), role_of(vm->role()),
            vm->state() == 0 ? vm_state::live : vm_state::leaving, text_of(vm->address()),
            failure_domain(text_of(vm->failure_domain())), endpoint_name(text_of(vm->endpoint())) });
    }
    return received;
}

} // namespace

std::string encode(message const& sent)
{
    FlatBufferBuilder builder(256);
    payload_builder payload { builder };
    auto const [tag, offset] = std::visit(payload, sent);
    builder.Finish(schema::CreateFrame(builder, tag, offset));
    auto const size = builder.GetSize();
    std::string frame;
    frame.reserve(length_prefix_size + size);
    for (std::size_t byte = 0; byte < length_prefix_size; ++byte)
        frame.push_back(static_cast<char>((size >> (8 * byte)) & 0xFF));
    frame.append(reinterpret_cast<char const*>(builder.GetBufferPointer()), size);
    return frame;
}

result<std::size_t> decode_length(std::string_view prefix)
{
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < length_prefix_size; ++byte)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(prefix[byte])) << (8 * byte);
    if (size == 0 || size > max_frame_size)
        return fail("decode frame", "", "a frame length of " + std::to_string(size) + " bytes is out of range");
    return size;
}

result<message> decode(std::string_view buffer)
{
    aligned_bytes const bytes(buffer);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!schema::VerifyFrameBuffer(verifier))
        return fail("decode frame", "", "the buffer is not a valid FlatBuffers frame");
    auto const* frame = schema::GetFrame(bytes.data());
    // NOTE: The verifier accepts a payload that has a type but no table.
    if (frame->payload() == nullptr)
        return fail("decode frame", "", "the frame has no payload");
    switch (frame->payload_type()) {
    case schema::Payload::Hello:
        return unpack(*frame->payload_as_Hello());
    case schema::Payload::Proof:
        return unpack(*frame->payload_as_Proof());
    case schema::Payload::Offer:
        return unpack(*frame->payload_as_Offer());
    case schema::Payload::OfferRefused:
        return unpack(*frame->payload_as_OfferRefused());
    case schema::Payload::EndpointState:
        return unpack(*frame->payload_as_EndpointState());
    case schema::Payload::Grant:
        return unpack(*frame->payload_as_Grant());
    case schema::Payload::NoWork:
        return unpack(*frame->payload_as_NoWork());
    case schema::Payload::Run:
        return unpack(*frame->payload_as_Run());
    case schema::Payload::Refused:
        return unpack(*frame->payload_as_Refused());
    case schema::Payload::Cancel:
        return unpack(*frame->payload_as_Cancel());
    case schema::Payload::Chunk:
        return unpack(*frame->payload_as_Chunk());
    case schema::Payload::Finished:
        return unpack(*frame->payload_as_Finished());
    case schema::Payload::ServiceReport:
        return unpack(*frame->payload_as_ServiceReport());
    case schema::Payload::ServiceReading:
        return unpack(*frame->payload_as_ServiceReading());
    case schema::Payload::SnapshotRequest:
        return unpack(*frame->payload_as_SnapshotRequest());
    case schema::Payload::SnapshotReply:
        return unpack(*frame->payload_as_SnapshotReply());
    case schema::Payload::NONE:
        break;
    }
    return fail("decode frame", "", "the frame has an unknown payload type");
}

std::string_view name_of(message const& any)
{
    constexpr std::array<std::string_view, std::variant_size_v<message>> names { "hello", "proof", "offer",
        "offer_refused", "endpoint_state", "grant", "no_work", "run", "refused", "cancel", "chunk", "finished",
        "service_report", "service_reading", "snapshot_request", "snapshot_reply" };
    return names[any.index()];
}

} // namespace shedhill::wire
