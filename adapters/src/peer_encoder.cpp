#include "peer_codec.hpp"
#include "peer_wire.hpp"

namespace pearhaven::adapters {

namespace {

using namespace coordination;

template <class Table>
using offset = flatbuffers::Offset<Table>;

using text_offset = offset<flatbuffers::String>;

// FlatBuffers are written bottom-up: each function returns the offset of the part that it wrote.
class envelope_encoder {
public:
    std::string encode(const peer_envelope& envelope)
    {
        this->out.Finish(std::visit(
            [&](const auto& message) { return this->put_frame(envelope, this->put(message)); },
            envelope.message));
        return {reinterpret_cast<const char*>(this->out.GetBufferPointer()), this->out.GetSize()};
    }

private:
    text_offset put(const std::string& text) { return this->out.CreateString(text); }

    // Writes each element, then the vector of them.
    template <class Table, class Element>
    offset<flatbuffers::Vector<offset<Table>>> put_all(const std::vector<Element>& elements)
    {
        std::vector<offset<Table>> offsets;
        offsets.reserve(elements.size());
        for (const Element& element : elements) {
            offsets.push_back(this->put(element));
        }
        return this->out.CreateVector(offsets);
    }

    offset<wire::Member> put(const member& item)
    {
        const text_offset id = this->put(item.id);
        const text_offset host = this->put(item.host);
        const text_offset zone = this->put(item.zone);
        return wire::CreateMember(this->out, id, host, item.peer_port, item.operator_port, zone,
                                  item.sequence, static_cast<std::uint8_t>(item.state),
                                  item.config_revision);
    }

    offset<wire::ConfigObject> put(const config_object& item)
    {
        const text_offset kind = this->put(item.kind);
        const text_offset name = this->put(item.name);
        const text_offset body = this->put(item.body);
        return wire::CreateConfigObject(this->out, kind, name, body);
    }

    offset<wire::ConfigChange> put(const config_change& item)
    {
        const text_offset write_id = this->put(item.write_id);
        const text_offset author = this->put(item.author);
        const auto objects = this->put_all<wire::ConfigObject>(item.objects);
        return wire::CreateConfigChange(this->out, item.revision, write_id, author, item.unix_ms,
                                        objects);
    }

    offset<wire::ConfigSnapshot> put(const config_snapshot& item)
    {
        const auto objects = this->put_all<wire::ConfigObject>(item.objects);
        return wire::CreateConfigSnapshot(this->out, item.revision, objects);
    }

    offset<wire::Bill> put(const bill& item)
    {
        const text_offset request = this->put(item.request);
        const text_offset team = this->put(item.team);
        const text_offset version = this->put(item.version);
        const text_offset endpoint = this->put(item.endpoint);
        return wire::CreateBill(this->out, request, team, version, endpoint, item.prompt_tokens,
                                item.completion_tokens, item.spent_tokens, item.cost);
    }

    offset<wire::Fact> put(const fact& item)
    {
        const text_offset subject = this->put(item.subject);
        const text_offset author = this->put(item.author);
        return wire::CreateFact(this->out, static_cast<std::uint8_t>(item.kind), subject, author,
                                item.sequence, item.value, item.time_to_live.count());
    }

    offset<wire::Probe> put(const probe& message)
    {
        const text_offset target = this->put(message.target);
        const auto updates = this->put_all<wire::Member>(message.updates);
        return wire::CreateProbe(this->out, message.nonce, target, updates);
    }

    offset<wire::ProbeReply> put(const probe_reply& message)
    {
        const auto updates = this->put_all<wire::Member>(message.updates);
        return wire::CreateProbeReply(this->out, message.nonce, updates);
    }

    offset<wire::ConfigPull> put(const config_pull& message)
    {
        return wire::CreateConfigPull(this->out, message.nonce, message.revision);
    }

    offset<wire::ConfigUpdate> put(const config_update& message)
    {
        const auto changes = this->put_all<wire::ConfigChange>(message.changes);
        const auto snapshot = this->put_all<wire::ConfigSnapshot>(message.snapshot);
        return wire::CreateConfigUpdate(this->out, message.nonce, message.revision,
                                        message.age.count(), message.store_reachable, changes,
                                        snapshot);
    }

    offset<wire::BillCopy> put(const bill_copy& message)
    {
        const text_offset owner = this->put(message.owner);
        const auto bills = this->put_all<wire::Bill>(message.bills);
        return wire::CreateBillCopy(this->out, owner, message.page, bills);
    }

    offset<wire::BillCopyAck> put(const bill_copy_ack& message)
    {
        const text_offset owner = this->put(message.owner);
        return wire::CreateBillCopyAck(this->out, owner, message.page);
    }

    offset<wire::BillCopyDrop> put(const bill_copy_drop& message)
    {
        const text_offset owner = this->put(message.owner);
        return wire::CreateBillCopyDrop(this->out, owner, message.page);
    }

    offset<wire::FactPush> put(const fact_push& message)
    {
        return wire::CreateFactPush(this->out, this->put_all<wire::Fact>(message.facts));
    }

    template <typename Report>
    static std::int64_t age_of(const std::optional<Report>& report)
    {
        return report ? report->age.count() : -1;
    }

    static double rate_of(const std::optional<decision::limit_report>& report)
    {
        return report ? report->rate.value_or(-1.0) : -1.0;
    }

    offset<wire::EndpointLoad> put(const decision::endpoint_load& item)
    {
        const text_offset address = this->put(item.address);
        const auto parts = this->out.CreateVector(item.parts);
        return wire::CreateEndpointLoad(
            this->out, address, item.requests, item.work, item.incarnation, parts, item.writing,
            item.in_doubt, age_of(item.limit), rate_of(item.limit), age_of(item.refusal_limit),
            rate_of(item.refusal_limit), age_of(item.room), item.room ? item.room->requests : 0.0);
    }

    offset<wire::LoadPush> put(const load_push& message)
    {
        return wire::CreateLoadPush(this->out, this->put_all<wire::EndpointLoad>(message.loads));
    }

    offset<wire::MirrorPull> put(const mirror_pull& message)
    {
        return wire::CreateMirrorPull(this->out, message.nonce, message.after, !message.large,
                                      message.accepts_packed);
    }

    offset<wire::PackedEntry> put(const packed_entry& item)
    {
        const text_offset key = this->put(item.key);
        const auto* bytes = reinterpret_cast<const std::uint8_t*>(item.packed_value.data());
        const auto value = this->out.CreateVector(bytes, item.packed_value.size());
        return wire::CreatePackedEntry(this->out, key, value, item.revision);
    }

    offset<wire::StoreEntry> put(const kv_entry& item)
    {
        const text_offset key = this->put(item.key);
        const auto* bytes = reinterpret_cast<const std::uint8_t*>(item.value.data());
        const auto value = this->out.CreateVector(bytes, item.value.size());
        return wire::CreateStoreEntry(this->out, key, value, item.revision);
    }

    offset<wire::MirrorNews> put(const mirror_update& message)
    {
        const auto entries = this->put_all<wire::StoreEntry>(message.entries);
        const auto packed = this->put_all<wire::PackedEntry>(message.packed_entries);
        const auto as_of = message.first_omitted == 0 ? message.as_of : message.first_omitted - 1;
        const auto until = message.first_omitted == 0 ? 0 : message.as_of;
        return wire::CreateMirrorNews(this->out, message.nonce, as_of, message.complete, entries,
                                      message.after, message.age.count(), message.first_omitted,
                                      until, packed, message.offers_values);
    }

    offset<wire::LostRun> put(const decision::lost_run& item)
    {
        const text_offset address = this->put(item.address);
        return wire::CreateLostRun(this->out, item.fingerprint, address, item.incarnation,
                                   item.ran_for.count());
    }

    offset<wire::LostPrompt> put(const decision::lost_prompt& item)
    {
        const auto parts = this->out.CreateVector(item.parts);
        const text_offset address = this->put(item.address);
        return wire::CreateLostPrompt(this->out, item.target, parts, address, item.incarnation,
                                      item.age.count(), item.has_just_begun);
    }

    offset<wire::AnsweredPrompt> put(const decision::answered_prompt& item)
    {
        const auto parts = this->out.CreateVector(item.parts);
        const text_offset address = this->put(item.address);
        return wire::CreateAnsweredPrompt(this->out, item.target, parts, address, item.incarnation);
    }

    offset<wire::RunReport> put(const run_report& message)
    {
        const auto lost = this->put_all<wire::LostRun>(message.lost);
        const auto finished = this->out.CreateVector(message.finished);
        const auto lost_prompts = this->put_all<wire::LostPrompt>(message.lost_prompts);
        const auto answered = this->put_all<wire::AnsweredPrompt>(message.answered_prompts);
        return wire::CreateRunReport(this->out, lost, finished, lost_prompts, answered);
    }

    // The type of the offset determines the union member.
    template <class Table>
    offset<wire::Frame> put_frame(const peer_envelope& envelope, offset<Table> body)
    {
        const text_offset from = this->put(envelope.from);
        const text_offset host = this->put(envelope.reply_to.host);
        return wire::CreateFrame(this->out, from, host, envelope.reply_to.port,
                                 wire::BodyTraits<Table>::enum_value, body.Union());
    }

    flatbuffers::FlatBufferBuilder out;
};

} // namespace

std::string encode_envelope(const peer_envelope& envelope)
{
    return envelope_encoder().encode(envelope);
}

} // namespace pearhaven::adapters
