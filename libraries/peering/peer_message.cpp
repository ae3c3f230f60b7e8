// SPDX-License-Identifier: BSD-2-Clause
// Encodes and decodes the messages between routers. Received bytes are verified before they are decoded.
#include "libraries/peering/peer_message.h"

#include "base/aligned_bytes.h"
#include "libraries/peering/generated/peer_message_generated.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shedhill::peering {

namespace {

constexpr unsigned bits_per_byte = 8;

std::string text_of(flatbuffers::String const* text) { return text == nullptr ? std::string() : text->str(); }

result<document_kind> kind_of(std::uint8_t number)
{
    if (number >= static_cast<std::uint8_t>(document_kind::count))
        return fail("decode peer message", {}, "the document kind is unknown");
    return static_cast<document_kind>(number);
}

// Limits a received age, since the sums of times with a larger one would overflow.
milliseconds to_milliseconds(std::uint64_t age)
{
    constexpr std::uint64_t max_ms = 1ULL << 40U;
    return milliseconds(static_cast<std::int64_t>(std::min(age, max_ms)));
}

// Limits the value to the range of the field.
template <typename Field, typename Value>
Field saturate(Value value)
{
    auto const max_value = static_cast<double>(std::numeric_limits<Field>::max());
    return static_cast<Field>(std::clamp(static_cast<double>(value), 0.0, max_value));
}

// Returns a null offset for an empty vector, which takes no bytes in the message.
template <typename Struct>
flatbuffers::Offset<flatbuffers::Vector<Struct const*>> create_unless_empty(
    flatbuffers::FlatBufferBuilder& builder, std::vector<Struct> const& structs)
{
    return structs.empty() ? 0 : builder.CreateVectorOfStructs(structs);
}

// The unit of reported prefill tokens. Reports cover thousands of tokens each; with this unit, up to two million fit
// into the two bytes of the field.
constexpr double tokens_per_unit = 32;

fbs::Work to_wire(dispatch::endpoint_load const& load)
{
    return { load.endpoint.value(), saturate<std::uint32_t>(load.work.pending_prefill),
        saturate<std::uint32_t>(load.work.kv_tokens), saturate<std::uint32_t>(std::round(load.prefill.time_ms)),
        saturate<std::uint16_t>(load.work.running),
        saturate<std::uint16_t>(std::round(load.prefill.tokens / tokens_per_unit)) };
}

dispatch::endpoint_load from_wire(fbs::Work const& work)
{
    return { endpoint_key(work.endpoint()),
        { work.running(), static_cast<dispatch::token_count>(work.unread()),
            static_cast<dispatch::token_count>(work.held()) },
        { work.read_units() * tokens_per_unit, static_cast<double>(work.read_ms()) } };
}

fbs::Crash to_wire(dispatch::crash_record const& record)
{
    return { record.request.team.value(), record.request.content.value(), saturate<std::uint32_t>(record.left.count()),
        saturate<std::uint16_t>(record.trial_left.count()), record.stamp.epoch, record.stamp.crashes,
        record.was_answered, saturate<std::uint32_t>(record.since_crash.count()) };
}

dispatch::crash_record from_wire(fbs::Crash const& crash)
{
    return { { team_key(crash.team()), content_hash(crash.content()) }, { crash.epoch(), crash.crashes() },
        milliseconds(crash.left_ms()), milliseconds(crash.trial_ms()), crash.was_answered(),
        milliseconds(crash.since_crash_ms()) };
}

fbs::Stream to_wire(dispatch::stream_record const& record)
{
    return { record.stream.value(), record.software.value(), saturate<std::uint32_t>(record.left.count()) };
}

// Limits the received time, for which the receiver keeps the record.
dispatch::stream_record from_wire(fbs::Stream const& stream)
{
    constexpr std::uint32_t max_left_ms = 10 * 60 * 1000;
    return { stream_key(stream.stream()), software_key(stream.software()),
        milliseconds(std::min(stream.left_ms(), max_left_ms)) };
}

fbs::Sighting to_wire(dispatch::version_sighting const& sighting)
{
    return { sighting.pool.value(), sighting.software.value(), saturate<std::uint32_t>(sighting.listed_ago.count()),
        saturate<std::uint32_t>(sighting.settled_in.count()) };
}

dispatch::version_sighting from_wire(fbs::Sighting const& sighting)
{
    return { pool_key(sighting.pool()), software_key(sighting.software()), milliseconds(sighting.listed_ago_ms()),
        milliseconds(sighting.settled_in_ms()) };
}

flatbuffers::Offset<fbs::State> encode(flatbuffers::FlatBufferBuilder& builder, state_message const& state)
{
    std::vector<fbs::Work> work;
    for (auto const& load : state.report.loads)
        work.push_back(to_wire(load));
    std::vector<fbs::Usage> teams;
    for (auto const& usage : state.report.teams)
        teams.emplace_back(
            usage.team.value(), saturate<std::uint32_t>(usage.requested), saturate<std::uint32_t>(usage.admitted));
    std::vector<fbs::Placed> parts;
    for (auto const& placed : state.report.parts)
        parts.emplace_back(placed.endpoint.value(), placed.part);
    std::vector<fbs::Crash> crashes;
    for (auto const& record : state.report.crashes)
        crashes.push_back(to_wire(record));
    std::vector<fbs::Stream> streams;
    for (auto const& record : state.report.streams)
        streams.push_back(to_wire(record));
    std::vector<fbs::Sighting> versions;
    for (auto const& sighting : state.report.versions)
        versions.push_back(to_wire(sighting));
    std::vector<flatbuffers::Offset<fbs::DocumentVersion>> documents;
    for (auto const& document : state.documents)
        documents.push_back(fbs::CreateDocumentVersion(builder, static_cast<std::uint8_t>(document.kind),
            document.version, static_cast<std::uint64_t>(document.age.count()),
            document.returned_ago ? static_cast<std::uint64_t>(document.returned_ago->count()) + 1 : 0,
            document.digest.value_or(0), document.store_time.value_or(0)));
    std::vector<std::string> members;
    for (auto const& member : state.members)
        members.push_back(to_text(member));
    auto const vm = builder.CreateString(state.report.peer.value());
    auto const address = builder.CreateString(state.address);
    auto const peers = builder.CreateVectorOfStrings(members);
    auto const domain = builder.CreateString(state.report.domain.value());
    return fbs::CreateState(builder, vm, address, state.report.scope == dispatch::report_scope::whole,
        builder.CreateVectorOfStructs(teams), saturate<std::uint32_t>(state.report.observed_span.count()),
        builder.CreateVectorOfStructs(parts), builder.CreateVector(documents), peers,
        state.report.overloaded_routers > 0, static_cast<float>(state.report.busy_fraction), domain, state.weight,
        state.report.subject == dispatch::report_subject::domain, saturate<std::uint16_t>(state.report.routers),
        saturate<std::uint16_t>(state.report.overloaded_routers), state.number, state.is_forwarded,
        builder.CreateVectorOfStructs(work), builder.CreateVectorOfStructs(crashes),
        create_unless_empty(builder, streams), create_unless_empty(builder, versions),
        saturate<std::uint32_t>(state.report.versions_observed.count()));
}

result<state_message> decode(fbs::State const& state)
{
    state_message decoded;
    decoded.report.peer = vm_name(text_of(state.vm()));
    decoded.address = text_of(state.address());
    decoded.report.observed_span = milliseconds(state.known_span_ms());
    decoded.report.scope = state.are_loads_whole() ? dispatch::report_scope::whole : dispatch::report_scope::changes;
    decoded.report.domain = failure_domain(text_of(state.domain()));
    decoded.report.subject = state.is_of_domain() ? dispatch::report_subject::domain : dispatch::report_subject::router;
    decoded.report.routers = state.routers();
    decoded.report.overloaded_routers = std::min<std::uint32_t>(state.routers_aside(), state.routers());
    decoded.weight = state.weight();
    decoded.number = state.number();
    decoded.is_forwarded = state.is_passed_on();
    decoded.report.busy_fraction = state.busy_part() >= 0 ? std::min(static_cast<double>(state.busy_part()), 1.0) : 0;
    if (state.work() != nullptr) {
        for (auto const* work : *state.work())
            decoded.report.loads.push_back(from_wire(*work));
    }
    if (state.teams() != nullptr) {
        for (auto const* usage : *state.teams())
            decoded.report.teams.push_back({ team_key(usage->team()), usage->asked(), usage->admitted() });
    }
    if (state.parts() != nullptr) {
        for (auto const* placed : *state.parts())
            decoded.report.parts.push_back({ endpoint_key(placed->endpoint()), placed->part() });
    }
    if (state.crashes() != nullptr) {
        for (auto const* crash : *state.crashes())
            decoded.report.crashes.push_back(from_wire(*crash));
    }
    if (state.streams() != nullptr) {
        for (auto const* stream : *state.streams())
            decoded.report.streams.push_back(from_wire(*stream));
    }
    if (state.versions() != nullptr) {
        for (auto const* sighting : *state.versions())
            decoded.report.versions.push_back(from_wire(*sighting));
    }
    decoded.report.versions_observed = milliseconds(state.versions_observed_ms());
    if (state.documents() != nullptr) {
        for (auto const* document : *state.documents()) {
            auto const kind = TRY(kind_of(document->kind()));
            document_version version { kind, document->version(), to_milliseconds(document->age_ms()) };
            if (document->returned_ago_ms() > 0)
                version.returned_ago = to_milliseconds(document->returned_ago_ms() - 1);
            if (document->rows_digest() > 0)
                version.digest = document->rows_digest();
            if (document->store_time_ms() != 0)
                version.store_time = document->store_time_ms();
            decoded.documents.push_back(version);
        }
    }
    if (state.peers() != nullptr) {
        for (auto const* peer : *state.peers())
            decoded.members.push_back(parse_member(text_of(peer)));
    }
    return decoded;
}

result<document_message> decode(fbs::Document const& document)
{
    document_message decoded { TRY(kind_of(document.kind())), {} };
    auto& table = decoded.rows;
    table.version = document.version();
    table.changed_version = document.changed_version();
    table.keys_hash = document.keys_hash();
    if (document.since() > 0)
        table.since = document.since() - 1;
    if (document.rows() != nullptr) {
        for (auto const* row : *document.rows())
            table.rows[text_of(row->key())] = { text_of(row->value()), row->version() };
    }
    if (document.gone() != nullptr) {
        for (auto const* row : *document.gone())
            table.removed.push_back({ text_of(row->key()), row->version() });
    }
    return decoded;
}

struct message_encoder {
    flatbuffers::FlatBufferBuilder& builder;

    flatbuffers::Offset<fbs::Message> operator()(state_message const& state) const
    {
        auto const encoded = encode(builder, state);
        return fbs::CreateMessage(builder, encoded);
    }

    flatbuffers::Offset<fbs::Message> operator()(document_message const& document) const
    {
        auto const& table = document.rows;
        std::vector<flatbuffers::Offset<fbs::Row>> rows;
        for (auto const& [key, row] : table.rows)
            rows.push_back(
                fbs::CreateRow(builder, builder.CreateString(key), builder.CreateString(row.value), row.version));
        std::vector<flatbuffers::Offset<fbs::Row>> removed;
        for (auto const& row : table.removed)
            removed.push_back(fbs::CreateRow(builder, builder.CreateString(row.key), 0, row.version));
        auto const encoded = fbs::CreateDocument(builder, static_cast<std::uint8_t>(document.kind), table.version,
            builder.CreateVector(rows), table.changed_version, table.since ? *table.since + 1 : 0,
            builder.CreateVector(removed), table.keys_hash);
        return fbs::CreateMessage(builder, 0, encoded);
    }

    flatbuffers::Offset<fbs::Message> operator()(document_request const& request) const
    {
        auto const address = builder.CreateString(request.address);
        auto const encoded
            = fbs::CreateDocumentVersion(builder, static_cast<std::uint8_t>(request.kind), request.version);
        return fbs::CreateMessage(builder, 0, 0, encoded, address, request.since);
    }

    flatbuffers::Offset<fbs::Message> operator()(link_request const& request) const
    {
        auto const address = builder.CreateString(request.address);
        return fbs::CreateMessage(builder, 0, 0, 0, 0, 0, address);
    }
};

} // namespace

std::string_view name_of(document_kind kind)
{
    switch (kind) {
    case document_kind::configuration:
        return "configuration";
    case document_kind::endpoints:
        return "endpoints";
    case document_kind::count:
        break;
    }
    return "none";
}

std::string encode_frame(peer_message const& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(std::visit(message_encoder { builder }, message));
    auto const size = builder.GetSize();
    std::string frame;
    frame.reserve(frame_header_size + size);
    for (unsigned index = 0; index < frame_header_size; ++index)
        frame += static_cast<char>((size >> (bits_per_byte * index)) & 0xFFU);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): FlatBuffers returns unsigned bytes
    frame.append(reinterpret_cast<char const*>(builder.GetBufferPointer()), size);
    return frame;
}

std::optional<std::size_t> frame_size(std::string_view bytes)
{
    if (bytes.size() < frame_header_size)
        return std::nullopt;
    std::size_t size = 0;
    for (unsigned index = 0; index < frame_header_size; ++index)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (bits_per_byte * index);
    return frame_header_size + size;
}

result<peer_message> decode_body(std::string_view body)
{
    aligned_bytes const bytes(body);
    if (flatbuffers::Verifier verifier(bytes.data(), bytes.size()); !fbs::VerifyMessageBuffer(verifier))
        return fail("decode peer message", {}, "the body is not a valid FlatBuffers message");
    auto const* message = fbs::GetMessage(bytes.data());
    if (message->state() != nullptr)
        return peer_message(TRY(decode(*message->state())));
    if (auto const* document = message->document())
        return peer_message(TRY(decode(*document)));
    if (auto const* request = message->wanted()) {
        auto const kind = TRY(kind_of(request->kind()));
        return peer_message(
            document_request { kind, request->version(), text_of(message->wanted_by()), message->wanted_since() });
    }
    if (auto const* address = message->link_wanted_by())
        return peer_message(link_request { text_of(address) });
    return fail("decode peer message", {}, "the message is empty");
}

} // namespace shedhill::peering
