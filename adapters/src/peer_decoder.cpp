#include "peer_codec.hpp"
#include "peer_wire.hpp"

#include <cmath>
#include <optional>

namespace pearhaven::adapters {

namespace {

using namespace coordination;

template <class Table>
using offset = flatbuffers::Offset<Table>;

// Messages are trees of known depth; a deeper payload is invalid.
constexpr flatbuffers::uoffset_t max_depth = 16;

// A short payload can reference one table many times; this bounds the work of the verifier.
constexpr flatbuffers::uoffset_t max_tables = 200'000;

// Maximum number of prompt parts that a router may report for one endpoint. An endpoint holds at
// most a few thousand requests, with a few parts each.
constexpr std::size_t max_reported_parts = 65'536;

// Decodes verified tables. The functions return whether all numbers are in range.
class envelope_decoder {
public:
    static bool decode(const wire::Frame& frame, peer_envelope& envelope)
    {
        envelope.from = decode(frame.incarnation());
        envelope.reply_to = {decode(frame.listen_host()), frame.listen_port()};
        return decode_body(frame, envelope.message);
    }

private:
    static std::string decode(const flatbuffers::String* text) { return text->str(); }

    // Returns false if the number is outside the enumeration.
    template <class Enumeration>
    static bool decode(std::uint8_t number, Enumeration last, Enumeration& value)
    {
        if (number > static_cast<std::uint8_t>(last)) {
            return false;
        }
        value = static_cast<Enumeration>(number);
        return true;
    }

    template <class Table, class Element>
    static bool decode_all(const flatbuffers::Vector<offset<Table>>* tables,
                           std::vector<Element>& elements)
    {
        elements.reserve(tables->size());
        for (const Table* table : *tables) {
            if (!decode(*table, elements.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    static bool decode(const wire::Member& table, member& item)
    {
        item.id = decode(table.id());
        item.host = decode(table.host());
        item.peer_port = table.peer_port();
        item.operator_port = table.operator_port();
        item.zone = decode(table.zone());
        item.sequence = table.sequence();
        item.config_revision = table.config_revision();
        return decode(table.state(), member_state::dead, item.state);
    }

    static bool decode(const wire::ConfigObject& table, config_object& item)
    {
        item = {decode(table.kind()), decode(table.name()), decode(table.body())};
        return true;
    }

    static bool decode(const wire::ConfigChange& table, config_change& item)
    {
        item.revision = table.revision();
        item.write_id = decode(table.write_id());
        item.author = decode(table.author());
        item.unix_ms = table.unix_ms();
        return decode_all(table.objects(), item.objects);
    }

    static bool decode(const wire::ConfigSnapshot& table, config_snapshot& item)
    {
        item.revision = table.revision();
        return decode_all(table.objects(), item.objects);
    }

    static bool decode(const wire::Bill& table, bill& item)
    {
        item.request = decode(table.request());
        item.team = decode(table.team());
        item.version = decode(table.version());
        item.endpoint = decode(table.endpoint());
        item.prompt_tokens = table.prompt_tokens();
        item.completion_tokens = table.completion_tokens();
        item.spent_tokens = table.spent_tokens();
        item.cost = table.cost();
        return std::isfinite(item.cost);
    }

    static bool decode(const wire::Fact& table, fact& item)
    {
        item.subject = decode(table.subject());
        item.author = decode(table.author());
        item.sequence = table.sequence();
        item.value = table.value();
        item.time_to_live = decision::duration(table.time_to_live_us());
        return decode(table.kind(), fact_kind::exposure_spent, item.kind) &&
               std::isfinite(item.value);
    }

    static bool decode(const wire::Probe& table, probe& message)
    {
        message.nonce = table.nonce();
        message.target = decode(table.target());
        return decode_all(table.updates(), message.updates);
    }

    static bool decode(const wire::ProbeReply& table, probe_reply& message)
    {
        message.nonce = table.nonce();
        return decode_all(table.updates(), message.updates);
    }

    static bool decode(const wire::ConfigPull& table, config_pull& message)
    {
        message = {table.nonce(), table.revision()};
        return true;
    }

    static bool decode(const wire::ConfigUpdate& table, config_update& message)
    {
        message.nonce = table.nonce();
        message.revision = table.revision();
        message.age = decision::duration(table.age_us());
        message.store_reachable = table.store_reachable();
        return table.snapshot()->size() <= 1 && decode_all(table.changes(), message.changes) &&
               decode_all(table.snapshot(), message.snapshot);
    }

    static bool decode(const wire::BillCopy& table, bill_copy& message)
    {
        message.owner = decode(table.owner());
        message.page = table.page();
        return decode_all(table.bills(), message.bills);
    }

    static bool decode(const wire::BillCopyAck& table, bill_copy_ack& message)
    {
        message = {decode(table.owner()), table.page()};
        return true;
    }

    static bool decode(const wire::BillCopyDrop& table, bill_copy_drop& message)
    {
        message = {decode(table.owner()), table.page()};
        return true;
    }

    static bool decode(const wire::FactPush& table, fact_push& message)
    {
        return decode_all(table.facts(), message.facts);
    }

    static std::optional<decision::limit_report> decode_limit(std::int64_t age_us, double rate)
    {
        if (age_us < 0) {
            return std::nullopt;
        }
        return decision::limit_report{rate >= 0.0 ? std::make_optional(rate) : std::nullopt,
                                      decision::duration(age_us)};
    }

    static bool decode(const wire::EndpointLoad& table, decision::endpoint_load& item)
    {
        item = {decode(table.address()), table.requests(), table.work(), table.incarnation(), {},
                table.writing(),         table.in_doubt()};
        item.limit = decode_limit(table.limit_age_us(), table.limit_per_s());
        item.refusal_limit =
            decode_limit(table.refusal_limit_age_us(), table.refusal_limit_per_s());
        if (table.room_age_us() >= 0) {
            item.room =
                decision::room_report{table.room(), decision::duration(table.room_age_us())};
        }
        if (table.parts() != nullptr) {
            item.parts.assign(table.parts()->begin(), table.parts()->end());
        }
        return item.parts.size() <= max_reported_parts && std::isfinite(item.work) &&
               std::isfinite(table.limit_per_s()) && std::isfinite(table.refusal_limit_per_s()) &&
               std::isfinite(table.room());
    }

    static bool decode(const wire::LoadPush& table, load_push& message)
    {
        return decode_all(table.loads(), message.loads);
    }

    static bool decode(const wire::MirrorPull& table, mirror_pull& message)
    {
        message = {table.nonce(), table.after(), !table.small(), table.accepts_packed()};
        return true;
    }

    static bool decode(const wire::StoreEntry& table, kv_entry& item)
    {
        item.key = decode(table.key());
        item.value.assign(table.value()->begin(), table.value()->end());
        item.revision = table.revision();
        return true;
    }

    static bool decode(const wire::MirrorNews& table, mirror_update& message)
    {
        message.nonce = table.nonce();
        message.as_of = table.left_out() == 0 ? table.as_of() : table.until();
        message.complete = table.whole();
        message.after = table.after();
        message.age = decision::duration(table.age_us());
        message.first_omitted = table.left_out();
        message.offers_values = table.offers_values();
        return decode_all(table.entries(), message.entries) &&
               (table.packed_entries() == nullptr ||
                decode_all(table.packed_entries(), message.packed_entries));
    }

    static bool decode(const wire::PackedEntry& table, packed_entry& item)
    {
        item.key = decode(table.key());
        item.packed_value.assign(table.packed_value()->begin(), table.packed_value()->end());
        item.revision = table.revision();
        return true;
    }

    static bool decode(const wire::LostRun& table, decision::lost_run& item)
    {
        item = {table.request(), decode(table.address()), table.incarnation(),
                decision::duration(table.ran_for_us())};
        return true;
    }

    // A negative age would put the loss in the future.
    static bool decode(const wire::LostPrompt& table, decision::lost_prompt& item)
    {
        item.target = table.target();
        item.parts.assign(table.parts()->begin(), table.parts()->end());
        item.address = decode(table.address());
        item.incarnation = table.incarnation();
        item.age = decision::duration(table.age_us());
        item.has_just_begun = table.just_begun();
        return table.age_us() >= 0;
    }

    static bool decode(const wire::AnsweredPrompt& table, decision::answered_prompt& item)
    {
        item.target = table.target();
        item.parts.assign(table.parts()->begin(), table.parts()->end());
        item.address = decode(table.address());
        item.incarnation = table.incarnation();
        return true;
    }

    static bool decode(const wire::RunReport& table, run_report& message)
    {
        message.finished.assign(table.finished()->begin(), table.finished()->end());
        return decode_all(table.lost(), message.lost) &&
               (table.lost_prompts() == nullptr ||
                decode_all(table.lost_prompts(), message.lost_prompts)) &&
               (table.answered_prompts() == nullptr ||
                decode_all(table.answered_prompts(), message.answered_prompts));
    }

    template <class Message, class Table>
    static bool decode_body(const Table* table, peer_message& message)
    {
        return decode(*table, message.emplace<Message>());
    }

    static bool decode_body(const wire::Frame& frame, peer_message& message)
    {
        switch (frame.body_type()) {
        case wire::Body::Probe:
            return decode_body<probe>(frame.body_as_Probe(), message);
        case wire::Body::ProbeReply:
            return decode_body<probe_reply>(frame.body_as_ProbeReply(), message);
        case wire::Body::ConfigPull:
            return decode_body<config_pull>(frame.body_as_ConfigPull(), message);
        case wire::Body::ConfigUpdate:
            return decode_body<config_update>(frame.body_as_ConfigUpdate(), message);
        case wire::Body::BillCopy:
            return decode_body<bill_copy>(frame.body_as_BillCopy(), message);
        case wire::Body::BillCopyAck:
            return decode_body<bill_copy_ack>(frame.body_as_BillCopyAck(), message);
        case wire::Body::BillCopyDrop:
            return decode_body<bill_copy_drop>(frame.body_as_BillCopyDrop(), message);
        case wire::Body::FactPush:
            return decode_body<fact_push>(frame.body_as_FactPush(), message);
        case wire::Body::LoadPush:
            return decode_body<load_push>(frame.body_as_LoadPush(), message);
        case wire::Body::MirrorPull:
            return decode_body<mirror_pull>(frame.body_as_MirrorPull(), message);
        case wire::Body::MirrorNews:
            return decode_body<mirror_update>(frame.body_as_MirrorNews(), message);
        case wire::Body::RunReport:
            return decode_body<run_report>(frame.body_as_RunReport(), message);
        case wire::Body::NONE:
            break;
        }
        return false; // a message type added by a newer release
    }
};

} // namespace

std::optional<peer_envelope> decode_envelope(std::string_view payload)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size(), max_depth, max_tables);
    if (!wire::VerifyFrameBuffer(verifier)) {
        return std::nullopt;
    }
    std::optional<peer_envelope> envelope(std::in_place);
    if (!envelope_decoder::decode(*wire::GetFrame(bytes), *envelope)) {
        envelope.reset();
    }
    return envelope;
}

} // namespace pearhaven::adapters
