#include "byte_fuzzing.hpp"
#include "frame_buffer.hpp"
#include "host_list.hpp"
#include "key_value_wire.hpp"
#include "peer_codec.hpp"
#include "peer_message_generators.hpp"
#include "property.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"
#include "pearhaven/adapters/http_message.hpp"
#include "pearhaven/adapters/progress_codec.hpp"
#include "pearhaven/adapters/stored_values.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven;
using namespace pearhaven::adapters;
using pearhaven::tests::byte_mutator;
using pearhaven::tests::first_fault;

namespace {

constexpr std::size_t max_head = 96;

// Records the callbacks of a reader, with the pieces of a body joined.
class transcript final : public http_message_listener {
public:
    void on_request(http_request_head head) override
    {
        this->text += "request " + head.method + " " + head.target;
        this->add(head.fields, head.keep_alive);
    }
    bool on_response(http_response_head head) override
    {
        this->text += "response " + std::to_string(head.status);
        this->add(head.fields, head.keep_alive);
        return false;
    }
    void on_body(std::string_view piece) override
    {
        this->text += piece;
        this->body_bytes += piece.size();
    }
    void on_message_end() override { this->text += "\nend\n"; }

    std::string text;
    std::size_t body_bytes = 0;

private:
    void add(const http_fields& fields, bool keep_alive)
    {
        for (const auto& [name, value] : fields) {
            this->text.append("\n").append(name).append(":").append(value);
        }
        this->text += keep_alive ? "\nkept\n" : "\nclosed\n";
    }
};

// Feeds the pieces to a reader, then the end of the connection, and returns the transcript. Returns
// nothing if the reader stalls without a fault, or reports more body bytes than it was given.
std::optional<std::string> read_pieces(http_reader_kind kind,
                                       const std::vector<std::string_view>& pieces)
{
    transcript output;
    http_reader reader(kind, output, max_head);
    std::size_t received_bytes = 0;
    for (auto piece : pieces) {
        received_bytes += piece.size();
        while (!piece.empty() && reader.fault() == framing_fault::none) {
            const auto taken = reader.feed(piece);
            if (taken > piece.size() || (taken == 0 && reader.fault() == framing_fault::none)) {
                return std::nullopt;
            }
            piece.remove_prefix(taken);
        }
    }
    reader.feed_end();
    if (output.body_bytes > received_bytes) {
        return std::nullopt;
    }
    return output.text + "fault " + std::to_string(static_cast<int>(reader.fault()));
}

bool reads_same_for_any_split(http_reader_kind kind, const std::string& bytes,
                              byte_mutator& mutator)
{
    const auto unsplit = read_pieces(kind, {bytes});
    return unsplit && unsplit == read_pieces(kind, mutator.split(bytes));
}

const std::string two_requests =
    std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello") +
    "GET / HTTP/1.0\r\nHost: i\r\n\r\n";

const std::string chunked_request =
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1f;x=y\r\n"
    "0123456789012345678901234567890\r\n0\r\nTrailer: t\r\n\r\n";

const std::vector<std::string> requests = {
    "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", two_requests, chunked_request,
    "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(max_head - 28, 'x') + "\r\n\r\n",
    "CONNECT h:1 HTTP/1.1\r\nHost: h\r\nUpgrade: w\r\nConnection: upgrade\r\n\r\n"};

const std::vector<std::string> responses = {
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc",
    "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 500 Error\r\nX: " + std::string(max_head - 23, 'x') + "\r\n\r\n"};

// No request asks for another protocol.
const std::vector<std::string> refused_responses = {
    "HTTP/1.1 101 Switching\r\nUpgrade: w\r\nConnection: upgrade\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 101 Switching\r\nUpgrade: w\r\n\r\n"};

// Whether a value parsed from the bytes, if any, is parsed again from its own encoding.
template <class Read, class Write>
bool round_trips(const std::string& bytes, const Read& read, const Write& write)
{
    const auto value = read(bytes);
    return !value || read(write(*value)) == value;
}

const std::string yaml = R"(
kind: team
name: &n deposits
labels: {tier: gold, other: *n}
spec:
  key_sha256: [01dcd6c7cd9692ae2e192b80c4176fd84fe0d6085bbc3374e7b5a214966657b0]
  weight: 3
  versions: {model: adjudicator, channel: [stable, canary]}
---
kind: version
name: adjudicator-1
labels: {channel: stable}
spec: {model: adjudicator, cost_per_token: 2.0}
---
kind: pool
name: engines
spec: {hosts: {role: engine}, versions: {model: adjudicator}, slots_per_host: 16}
---
kind: service
name: booking
spec:
  hosts: {role: booking}
  idempotent: false
  idempotent_methods:
  - GET
  - "HEAD"
)";

// yaml-cpp caches tables on first use, which would otherwise be counted as leaks of a test.
const auto preloaded = parse_yaml(
    "%YAML 1.2\n---\na: !<t> |\n x\nb: !t!a >-\n y\nc: !!str \"\\x41\"\n", "loaded.yaml");

} // namespace

// Guards against parser crashes, which end a router with all its streams, and against parsing that
// depends on how the network splits the bytes, which lets a request bypass its check. Each test
// parses valid examples, then mutations of them, without a time limit if requested.
TEST_GROUP(parser_fuzz){};

TEST(parser_fuzz, requests_are_parsed_the_same_for_any_split)
{
    for (const auto& example : requests) {
        CHECK_TRUE(read_pieces(http_reader_kind::requests, {example})->ends_with("fault 0"));
    }
    const auto failure =
        first_fault(requests, 2'000, [](const std::string& bytes, byte_mutator& mutator) {
            return reads_same_for_any_split(http_reader_kind::requests, bytes, mutator);
        });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, responses_are_parsed_the_same_for_any_split)
{
    for (const auto& example : responses) {
        CHECK_TRUE(read_pieces(http_reader_kind::responses, {example})->ends_with("fault 0"));
    }
    const auto malformed = "fault " + std::to_string(static_cast<int>(framing_fault::malformed));
    for (const auto& example : refused_responses) {
        CHECK_TRUE(read_pieces(http_reader_kind::responses, {example})->ends_with(malformed));
    }
    auto examples = responses;
    examples.insert(examples.end(), refused_responses.begin(), refused_responses.end());
    const auto failure =
        first_fault(examples, 2'000, [](const std::string& bytes, byte_mutator& mutator) {
            return reads_same_for_any_split(http_reader_kind::responses, bytes, mutator);
        });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, stored_heads_and_pages)
{
    const auto codec = make_config_head_codec();
    const coordination::config_head head = {
        9, "w-9", {{8, "w-8", "ama", 5, {{"team", "a", "{}"}}}}, {"config/page/ab"}, 7};
    const std::vector<std::string> examples = {codec->write_head(head),
                                               codec->write_page({{"team", "a", "{\"x\":1}"}})};
    CHECK_TRUE(codec->read_head(examples[0]).has_value());
    CHECK_TRUE(codec->read_page(examples[1]).has_value());
    const auto failure = first_fault(examples, 1'000, [&](const std::string& bytes, byte_mutator&) {
        return round_trips(
                   bytes, [&](const std::string& text) { return codec->read_head(text); },
                   [&](const auto& value) { return codec->write_head(value); }) &&
               round_trips(
                   bytes, [&](const std::string& text) { return codec->read_page(text); },
                   [&](const auto& value) { return codec->write_page(value); });
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, stored_bills)
{
    const auto codec = make_bill_page_codec();
    const std::vector<std::string> examples = {
        codec->write_bills({{"r-1", "deposits", "v-1", "10.0.0.1:80", 12, 34, 5, 46.5}})};
    CHECK_TRUE(codec->read_bills(examples[0]).has_value());
    const auto failure = first_fault(examples, 1'000, [&](const std::string& bytes, byte_mutator&) {
        return round_trips(
            bytes, [&](const std::string& text) { return codec->read_bills(text); },
            [&](const auto& value) { return codec->write_bills(value); });
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, stored_members)
{
    const auto codec = make_member_codec();
    const std::vector<std::string> examples = {codec->write_member(
        {"i-1", "10.0.0.2", 7000, 7001, "osu", 3, coordination::member_state::leaving, 9})};
    CHECK_TRUE(codec->read_member(examples[0]).has_value());
    const auto failure = first_fault(examples, 1'000, [&](const std::string& bytes, byte_mutator&) {
        return round_trips(
            bytes, [&](const std::string& text) { return codec->read_member(text); },
            [&](const auto& value) { return codec->write_member(value); });
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, stored_claims_and_duties)
{
    const auto claims = make_claim_codec();
    const auto duties = make_duty_codec();
    const auto ran = coordination::claim_state::ran;
    const std::vector<std::string> examples = {claims->write_claim({ran, "i-1", "w-1", "200 done"}),
                                               claims->write_claim({ran, "i-1", "w-1", "\xff"}),
                                               duties->write_duty({"i-1", 7})};
    CHECK_TRUE(claims->read_claim(examples[0]).has_value());
    CHECK_TRUE(claims->read_claim(examples[1]).has_value());
    CHECK_TRUE(duties->read_duty(examples[2]).has_value());
    const auto failure = first_fault(examples, 1'000, [&](const std::string& bytes, byte_mutator&) {
        return round_trips(
                   bytes, [&](const std::string& text) { return claims->read_claim(text); },
                   [&](const auto& value) { return claims->write_claim(value); }) &&
               round_trips(
                   bytes, [&](const std::string& text) { return duties->read_duty(text); },
                   [&](const auto& value) { return duties->write_duty(value); });
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, rollout_records_and_evidence)
{
    using coordination::progress_state;
    const std::vector<std::string> examples = {
        write_progress_record({28, 3, 9, 40'000, progress_state::load_trial}),
        write_router_evidence({28, progress_state::load_trial, {31, 2}, {20, 7}, {11, 1}, 3.5})};
    CHECK_TRUE(read_progress_record(examples[0]).has_value());
    CHECK_TRUE(read_router_evidence(examples[1]).has_value());
    const auto failure = first_fault(examples, 1'000, [](const std::string& bytes, byte_mutator&) {
        return round_trips(bytes, read_progress_record, write_progress_record) &&
               round_trips(bytes, read_router_evidence, write_router_evidence);
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, key_value_store_answers)
{
    const std::vector<coordination::kv_request> kv_requests = {
        coordination::kv_get{"a"}, coordination::kv_range{"a"},
        coordination::kv_compare_and_swap{"a", "b", 1, 0},
        coordination::kv_grant_lease{std::chrono::seconds(1)}};
    const std::vector<std::string> examples = {
        R"({"revision":7,"lease":3,"key":"a","value":"b"})",
        R"({"revision":7,"entries":[{"key":"a","value":"b","revision":5}]})",
        R"({"revision":7,"events":[{"key":"a","value":null,"revision":5}]})"};
    const auto failure =
        first_fault(examples, 1'000, [&](const std::string& bytes, byte_mutator& mutator) {
            http_answer answer;
            answer.result.status = 200;
            answer.body = bytes;
            static_cast<void>(to_reply(kv_requests[mutator.below(kv_requests.size())], answer));
            return true;
        });
    CHECK_EQUAL(std::string(), failure);
}

// Guards against an entry whose address is not a network address: it would create an endpoint that
// looks idle, is selected and can never be reached, and its text would be copied to a request head.
TEST(parser_fuzz, host_list_answers)
{
    const std::vector<std::string> examples = {
        R"({"hosts":[{"name":"e1","address":"127.0.0.1:80","zone":"osu","incarnation":3,
            "state":"live","labels":{"role":"engine"}},{"name":"e2","address":"[::1]:81",
            "zone":"tema","incarnation":18446744073709551615,"state":"leaving"}]})",
        R"({"hosts":[]})"};
    CHECK_EQUAL(2U, read_host_list(examples[0])->size());
    CHECK_TRUE(read_host_list(examples[1])->empty());
    const auto failure = first_fault(examples, 2'000, [](const std::string& bytes, byte_mutator&) {
        const auto hosts = read_host_list(bytes).value_or(std::vector<listed_host>());
        return std::all_of(hosts.begin(), hosts.end(), [](const listed_host& host) {
            const auto colon = host.address.rfind(':');
            return !host.name.empty() && colon != std::string::npos && colon > 0 &&
                   host.address.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
                       std::string::npos &&
                   std::stoul("0" + host.address.substr(colon + 1)) - 1 < 65'535U;
        });
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, frames_are_parsed_the_same_for_any_split)
{
    const frame_code code{};
    const std::vector<std::string> examples = {make_frame(code, "") + make_frame(code, "payload"),
                                               make_frame(code, std::string(300, 'x'))};
    const auto read_frames = [](const std::vector<std::string_view>& pieces) {
        constexpr std::size_t max_payload = 1024;
        frame_buffer buffer;
        std::string output;
        for (const auto piece : pieces) {
            buffer.append(piece);
            frame one;
            auto outcome = buffer.next(max_payload, one);
            for (; outcome == frame_outcome::complete; outcome = buffer.next(max_payload, one)) {
                output.append(one.code.begin(), one.code.end()).append(one.payload).append("|");
            }
            if (outcome == frame_outcome::oversized) {
                return output + "oversized";
            }
        }
        return output;
    };
    const auto failure =
        first_fault(examples, 2'000, [&](const std::string& bytes, byte_mutator& mutator) {
            return read_frames({bytes}) == read_frames(mutator.split(bytes));
        });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, a_modified_frame_fails_authentication)
{
    const frame_key key("fleet-key-of-the-tests-0123456789");
    const connection_nonce opener{1};
    const connection_nonce acceptor{2};
    const std::string payload = "some payload";
    frame_authenticator sender(key, opener, acceptor, frame_direction::from_opener);
    const auto code = sender.next_code(payload);
    const auto failure =
        first_fault({payload}, 1'000, [&](const std::string& bytes, byte_mutator&) {
            frame_authenticator receiver(key, opener, acceptor, frame_direction::from_opener);
            return receiver.accept_next(code, bytes) == (bytes == payload);
        });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, peer_messages)
{
    std::vector<std::string> payloads;
    CHECK_TRUE(holds("messages are drawn", [&payloads] {
        payloads.push_back(encode_envelope(test::message_source::envelope()));
    }));
    for (const auto& example : payloads) {
        CHECK_TRUE(decode_envelope(example).has_value());
    }
    // Compares encoded messages, because NaN is not equal to itself.
    const auto failure = first_fault(payloads, 2'000, [](const std::string& bytes, byte_mutator&) {
        const auto read = decode_envelope(bytes);
        if (!read) {
            return true;
        }
        const auto written = encode_envelope(*read);
        const auto again = decode_envelope(written);
        return again && encode_envelope(*again) == written;
    });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, configuration_as_yaml)
{
    CHECK_TRUE(parse_yaml(yaml, "a.yaml").faults.empty());
    const auto failure = first_fault(
        {yaml, "a: &a [1, 2]\nb: [*a, *a]\n"}, 300, [](const std::string& bytes, byte_mutator&) {
            const auto read = parse_yaml(bytes, "a.yaml");
            if (read.objects.size() != read.places.size()) {
                return false;
            }
            // Objects parsed without a fault must also be valid as stored objects, and a
            // configuration can be built from them.
            if (read.faults.empty()) {
                for (const auto& object : read.objects) {
                    if (!check_object(object).empty()) {
                        return false;
                    }
                }
                static_cast<void>(check_references(read.objects));
                return build_configuration(1, read.objects).configuration != nullptr;
            }
            return true;
        });
    CHECK_EQUAL(std::string(), failure);
}

TEST(parser_fuzz, stored_configuration_objects)
{
    const auto valid = parse_yaml(yaml, "a.yaml").objects;
    std::vector<std::string> bodies;
    for (const auto& object : valid) {
        CHECK_TRUE(check_object(object).empty());
        bodies.push_back(object.body);
    }
    const auto failure =
        first_fault(bodies, 500, [&](const std::string& bytes, byte_mutator& mutator) {
            auto object = valid[mutator.below(valid.size())];
            object.body = bytes;
            const auto faults = check_object(object);
            const auto built = build_configuration(1, {object});
            return built.configuration != nullptr && built.faults.empty() == faults.empty();
        });
    CHECK_EQUAL(std::string(), failure);
}
