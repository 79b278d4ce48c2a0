#include "peer_codec.hpp"
#include "peer_message_generators.hpp"
#include "peer_wire.hpp"
#include "property.hpp"

#include <rapidcheck.h>

#include <initializer_list>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace pearhaven;
using namespace pearhaven::adapters;
using namespace pearhaven::adapters::test;

TEST_GROUP(peer_codec){};

TEST(peer_codec, every_message_round_trips)
{
    CHECK_TRUE(holds("decode(encode(x)) == x", [] {
        const peer_envelope envelope = message_source::envelope();
        const auto decoded = decode_envelope(encode_envelope(envelope));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == envelope);
    }));
}

TEST(peer_codec, random_bytes_are_decoded_or_rejected)
{
    CHECK_TRUE(holds("random bytes are refused or read", [] {
        const auto payload = *rc::gen::arbitrary<std::string>();
        static_cast<void>(decode_envelope(payload));
    }));
}

TEST(peer_codec, mutated_messages_are_decoded_or_rejected)
{
    CHECK_TRUE(holds("mutated messages are refused or read", [] {
        std::string payload = encode_envelope(message_source::envelope());
        const int changes = *rc::gen::inRange(1, 4);
        for (int change = 0; change < changes; ++change) {
            const auto at = *rc::gen::inRange<std::size_t>(0, payload.size());
            payload[at] = *rc::gen::arbitrary<char>();
        }
        static_cast<void>(decode_envelope(payload));
    }));
}

TEST(peer_codec, a_truncated_message_is_rejected)
{
    CHECK_TRUE(holds("prefixes are refused", [] {
        const std::string payload = encode_envelope(message_source::envelope());
        const auto length = *rc::gen::inRange<std::size_t>(0, payload.size() / 2);
        RC_ASSERT(!decode_envelope(std::string_view(payload).substr(0, length)).has_value());
    }));
}

TEST(peer_codec, a_number_outside_its_enumeration_is_rejected)
{
    const auto out_of_range = static_cast<coordination::member_state>(4);
    const coordination::probe_reply message{1, {{"id", "host", 1, 2, "zone", 3, out_of_range, 4}}};
    CHECK_FALSE(decode_envelope(encode_envelope({"a", {"b", 1}, message})).has_value());
}

// Guards against a load that cannot be compared with that of other endpoints, or summed.
TEST(peer_codec, a_number_that_is_not_finite_is_rejected)
{
    for (const double number :
         {std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity(),
          std::numeric_limits<double>::quiet_NaN()}) {
        decision::endpoint_load load;
        load.work = number;
        coordination::fact stated;
        stated.value = number;
        coordination::bill owed;
        owed.cost = number;
        for (const coordination::peer_message& message :
             std::initializer_list<coordination::peer_message>{
                 coordination::load_push{{load}}, coordination::fact_push{{stated}},
                 coordination::bill_copy{"owner", 1, {owed}}}) {
            CHECK_FALSE(decode_envelope(encode_envelope({"a", {"b", 1}, message})).has_value());
        }
    }
}

TEST(peer_codec, more_than_one_snapshot_is_rejected)
{
    coordination::config_update message;
    message.snapshot.resize(2);
    CHECK_FALSE(decode_envelope(encode_envelope({"a", {"b", 1}, message})).has_value());
}

TEST(peer_codec, an_unknown_message_type_is_rejected)
{
    flatbuffers::FlatBufferBuilder out;
    const auto body = wire::CreateConfigPull(out, 1, 2);
    const auto unknown_type = static_cast<wire::Body>(200);
    out.Finish(wire::CreateFrameDirect(out, "a", "b", 1, unknown_type, body.Union()));
    const std::string payload(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
    CHECK_FALSE(decode_envelope(payload).has_value());
}

TEST(peer_codec, a_payload_that_references_one_table_too_often_is_rejected)
{
    // Guards against a short payload that occupies the link's thread for long: its 300,000 elements
    // all reference one table.
    flatbuffers::FlatBufferBuilder out;
    const auto object = wire::CreateConfigObjectDirect(out, "kind", "name", "body");
    const std::vector<flatbuffers::Offset<wire::ConfigObject>> same(300'000, object);
    const std::vector<flatbuffers::Offset<wire::ConfigChange>> changes{
        wire::CreateConfigChangeDirect(out, 1, "id", "author", 0, &same)};
    const std::vector<flatbuffers::Offset<wire::ConfigSnapshot>> none;
    const auto body = wire::CreateConfigUpdateDirect(out, 1, 1, 0, true, &changes, &none);
    out.Finish(wire::CreateFrameDirect(out, "a", "b", 1, wire::Body::ConfigUpdate, body.Union()));
    const std::string payload(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
    CHECK_FALSE(decode_envelope(payload).has_value());
}
