#include "peer_codec.hpp"
#include "peer_wire.hpp"

namespace pearhaven::adapters {

namespace {

using namespace coordination;

template <class Table>
using offset = flatbuffers::Offset<Table>;

// Messages are trees of known depth; a deeper payload is no message.
constexpr flatbuffers::uoffset_t max_depth = 16;

// A short payload can name one table very often; the verifier must not be kept walking by it.
constexpr flatbuffers::uoffset_t max_tables = 200'000;

// Parts of prompts that one router may tell of at one endpoint. It holds at most some thousand
// requests, with some parts each.
constexpr std::size_t most_parts_told = 65'536;

// Reads verified tables. The functions say whether all numbers were in their ranges.
class envelope_decoder {
public:
    static bool take(const wire::Frame& frame, peer_envelope& envelope)
    {
        envelope.from = take(frame.incarnation());
        envelope.reply_to = {take(frame.listen_host()), frame.listen_port()};
        return take_body(frame, envelope.message);
    }

private:
    static std::string take(const flatbuffers::String* text) { return text->str(); }

    // False when a number lies outside the enumeration.
    template <class Enumeration>
    static bool take(std::uint8_t number, Enumeration last, Enumeration& value)
    {
        if (number > static_cast<std::uint8_t>(last)) {
            return false;
        }
        value = static_cast<Enumeration>(number);
        return true;
    }

    template <class Table, class Element>
    static bool take_all(const flatbuffers::Vector<offset<Table>>* tables,
                         std::vector<Element>& elements)
    {
        elements.reserve(tables->size());
        for (const Table* table : *tables) {
            if (!take(*table, elements.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    static bool take(const wire::Member& table, member& item)
    {
        item.id = take(table.id());
        item.host = take(table.host());
        item.peer_port = table.peer_port();
        item.operator_port = table.operator_port();
        item.zone = take(table.zone());
        item.sequence = table.sequence();
        item.config_revision = table.config_revision();
        return take(table.state(), member_state::dead, item.state);
    }

    static bool take(const wire::ConfigObject& table, config_object& item)
    {
        item = {take(table.kind()), take(table.name()), take(table.body())};
        return true;
    }

    static bool take(const wire::ConfigChange& table, config_change& item)
    {
        item.revision = table.revision();
        item.write_id = take(table.write_id());
        item.author = take(table.author());
        item.unix_ms = table.unix_ms();
        return take_all(table.objects(), item.objects);
    }

    static bool take(const wire::ConfigSnapshot& table, config_snapshot& item)
    {
        item.revision = table.revision();
        return take_all(table.objects(), item.objects);
    }

    static bool take(const wire::Bill& table, bill& item)
    {
        item.request = take(table.request());
        item.team = take(table.team());
        item.version = take(table.version());
        item.endpoint = take(table.endpoint());
        item.prompt_tokens = table.prompt_tokens();
        item.completion_tokens = table.completion_tokens();
        item.spent_tokens = table.spent_tokens();
        item.cost = table.cost();
        return true;
    }

    static bool take(const wire::Fact& table, fact& item)
    {
        item.subject = take(table.subject());
        item.author = take(table.author());
        item.sequence = table.sequence();
        item.value = table.value();
        item.time_to_live = decision::duration(table.time_to_live_us());
        return take(table.kind(), fact_kind::exposure_spent, item.kind);
    }

    static bool take(const wire::Probe& table, probe& message)
    {
        message.nonce = table.nonce();
        message.target = take(table.target());
        return take_all(table.updates(), message.updates);
    }

    static bool take(const wire::ProbeReply& table, probe_reply& message)
    {
        message.nonce = table.nonce();
        return take_all(table.updates(), message.updates);
    }

    static bool take(const wire::ConfigPull& table, config_pull& message)
    {
        message = {table.nonce(), table.revision()};
        return true;
    }

    static bool take(const wire::ConfigUpdate& table, config_update& message)
    {
        message.nonce = table.nonce();
        message.revision = table.revision();
        message.age = decision::duration(table.age_us());
        message.store_reachable = table.store_reachable();
        return table.snapshot()->size() <= 1 && take_all(table.changes(), message.changes) &&
               take_all(table.snapshot(), message.snapshot);
    }

    static bool take(const wire::BillCopy& table, bill_copy& message)
    {
        message.owner = take(table.owner());
        message.page = table.page();
        return take_all(table.bills(), message.bills);
    }

    static bool take(const wire::BillCopyAck& table, bill_copy_ack& message)
    {
        message = {take(table.owner()), table.page()};
        return true;
    }

    static bool take(const wire::BillCopyDrop& table, bill_copy_drop& message)
    {
        message = {take(table.owner()), table.page()};
        return true;
    }

    static bool take(const wire::FactPush& table, fact_push& message)
    {
        return take_all(table.facts(), message.facts);
    }

    static bool take(const wire::EndpointLoad& table, decision::endpoint_load& item)
    {
        item = {take(table.address()), table.requests(), table.work(), table.incarnation(), {},
                table.writing()};
        if (table.parts() != nullptr) {
            item.parts.assign(table.parts()->begin(), table.parts()->end());
        }
        return item.parts.size() <= most_parts_told;
    }

    static bool take(const wire::LoadPush& table, load_push& message)
    {
        return take_all(table.loads(), message.loads);
    }

    static bool take(const wire::MirrorPull& table, mirror_pull& message)
    {
        message = {table.nonce(), table.after(), !table.small()};
        return true;
    }

    static bool take(const wire::StoreEntry& table, kv_entry& item)
    {
        item.key = take(table.key());
        item.value.assign(table.value()->begin(), table.value()->end());
        item.revision = table.revision();
        return true;
    }

    static bool take(const wire::MirrorNews& table, mirror_update& message)
    {
        message.nonce = table.nonce();
        message.as_of = table.left_out() == 0 ? table.as_of() : table.until();
        message.complete = table.whole();
        message.after = table.after();
        message.age = decision::duration(table.age_us());
        message.first_omitted = table.left_out();
        return take_all(table.entries(), message.entries);
    }

    template <class Message, class Table>
    static bool take_body(const Table* table, peer_message& message)
    {
        return take(*table, message.emplace<Message>());
    }

    static bool take_body(const wire::Frame& frame, peer_message& message)
    {
        switch (frame.body_type()) {
        case wire::Body::Probe:
            return take_body<probe>(frame.body_as_Probe(), message);
        case wire::Body::ProbeReply:
            return take_body<probe_reply>(frame.body_as_ProbeReply(), message);
        case wire::Body::ConfigPull:
            return take_body<config_pull>(frame.body_as_ConfigPull(), message);
        case wire::Body::ConfigUpdate:
            return take_body<config_update>(frame.body_as_ConfigUpdate(), message);
        case wire::Body::BillCopy:
            return take_body<bill_copy>(frame.body_as_BillCopy(), message);
        case wire::Body::BillCopyAck:
            return take_body<bill_copy_ack>(frame.body_as_BillCopyAck(), message);
        case wire::Body::BillCopyDrop:
            return take_body<bill_copy_drop>(frame.body_as_BillCopyDrop(), message);
        case wire::Body::FactPush:
            return take_body<fact_push>(frame.body_as_FactPush(), message);
        case wire::Body::LoadPush:
            return take_body<load_push>(frame.body_as_LoadPush(), message);
        case wire::Body::MirrorPull:
            return take_body<mirror_pull>(frame.body_as_MirrorPull(), message);
        case wire::Body::MirrorNews:
            return take_body<mirror_update>(frame.body_as_MirrorNews(), message);
        case wire::Body::NONE:
            break;
        }
        return false; // a kind that a newer release added
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
    if (!envelope_decoder::take(*wire::GetFrame(bytes), *envelope)) {
        envelope.reset();
    }
    return envelope;
}

} // namespace pearhaven::adapters
