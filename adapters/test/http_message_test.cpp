#include "pearhaven/adapters/http_message.hpp"

#include "property.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace pearhaven::adapters;

class recorder final : public http_message_listener {
public:
    void on_request(http_request_head head) override { this->requests.push_back(std::move(head)); }
    bool on_response(http_response_head head) override
    {
        this->responses.push_back(std::move(head));
        return false;
    }
    void on_body(std::string_view piece) override { this->body.append(piece); }
    void on_message_end() override { ++this->ends; }

    std::vector<http_request_head> requests;
    std::vector<http_response_head> responses;
    std::string body;
    int ends = 0;
};

constexpr std::size_t max_head = 1024;

// Feeds all bytes, message by message, until a fault.
framing_fault feed_all(http_reader& reader, std::string_view bytes)
{
    while (!bytes.empty() && reader.fault() == framing_fault::none) {
        bytes.remove_prefix(reader.feed(bytes));
    }
    return reader.fault();
}

framing_fault fault_of_request(std::string_view bytes)
{
    recorder seen;
    http_reader reader(http_reader_kind::requests, seen, max_head);
    return feed_all(reader, bytes);
}

} // namespace

TEST_GROUP(http_message){};

TEST(http_message, reads_a_request_with_a_length)
{
    recorder seen;
    http_reader reader(http_reader_kind::requests, seen, max_head);
    feed_all(reader, "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
    CHECK_EQUAL(1U, seen.requests.size());
    STRCMP_EQUAL("POST", seen.requests[0].method.c_str());
    STRCMP_EQUAL("/a/b?c", seen.requests[0].target.c_str());
    STRCMP_EQUAL("xyz", seen.body.c_str());
    CHECK_EQUAL(1, seen.ends);
}

TEST(http_message, stops_at_the_end_of_each_message)
{
    recorder seen;
    http_reader reader(http_reader_kind::requests, seen, max_head);
    const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string both = first + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK_EQUAL(first.size(), reader.feed(both));
    CHECK_EQUAL(1, seen.ends);
    feed_all(reader, std::string_view(both).substr(first.size()));
    CHECK_EQUAL(2, seen.ends);
    STRCMP_EQUAL("/2", seen.requests[1].target.c_str());
}

TEST(http_message, reads_chunks_byte_by_byte)
{
    recorder seen;
    http_reader reader(http_reader_kind::responses, seen, max_head);
    const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";
    for (const char byte : bytes) {
        feed_all(reader, std::string_view(&byte, 1));
    }
    STRCMP_EQUAL("abcde", seen.body.c_str());
    CHECK_EQUAL(1, seen.ends);
    CHECK_FALSE(reader.inside_message());
}

TEST(http_message, an_answer_without_a_length_ends_with_its_connection)
{
    recorder seen;
    http_reader reader(http_reader_kind::responses, seen, max_head);
    feed_all(reader, "HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK_TRUE(seen.responses[0].ends_with_connection);
    CHECK_EQUAL(0, seen.ends);
    reader.feed_end();
    CHECK_EQUAL(1, seen.ends);
}

TEST(http_message, an_answer_that_ends_before_its_length_is_a_fault)
{
    recorder seen;
    http_reader reader(http_reader_kind::responses, seen, max_head);
    feed_all(reader, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    reader.feed_end();
    CHECK_EQUAL(0, seen.ends);
    CHECK_TRUE(framing_fault::truncated == reader.fault());
}

// Guards against request smuggling: a second request hidden in ambiguous framing would reach an
// endpoint without a route or an API key. Each of these forms is ambiguous and must be refused.
TEST(http_message, refuses_messages_with_ambiguous_framing)
{
    const std::vector<std::string> heads = {
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nX: a\r\n folded\r\n\r\n",
        "POST / HTTP/1.1\nHost: h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "POST / HTTP/1.1\r\nX: y\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n",
    };
    for (const auto& head : heads) {
        CHECK_TRUE_TEXT(framing_fault::malformed == fault_of_request(head), head.c_str());
    }
}

// Guards against an answer with an invalid status that reaches a caller, or keeps its request
// waiting for another answer.
TEST(http_message, refuses_answers_with_an_invalid_status)
{
    const auto fault_of = [](const std::string& line) {
        recorder seen;
        http_reader reader(http_reader_kind::responses, seen, max_head);
        return feed_all(reader, line + "\r\nContent-Length: 0\r\n\r\n");
    };
    for (const std::string status :
         {"000", "001", "020", "099", "101", "600", "700", "999", "0", "20", "2000", "0200", "",
          "abc", "-200", "+200", "2 0", "20O", " 200"}) {
        CHECK_TRUE_TEXT(fault_of("HTTP/1.1 " + status + " OK") == framing_fault::malformed,
                        status.c_str());
    }
    for (const std::string line :
         {"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
          "HTTP/1.10 200 OK", "HTTP/1 200 OK", "ICY 200 OK", "200 OK", "HTTP/1.1 200OK"}) {
        CHECK_TRUE_TEXT(fault_of(line) == framing_fault::malformed, line.c_str());
    }
    for (const std::string line :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
          "HTTP/1.1 100 Continue", "HTTP/1.1 103 ", "HTTP/1.1 599 Odd", "HTTP/1.1 299 Odd"}) {
        CHECK_TRUE_TEXT(fault_of(line) == framing_fault::none, line.c_str());
    }
}

TEST(http_message, refuses_a_head_over_its_limit)
{
    const std::string head = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(max_head, 'x');
    CHECK_TRUE(framing_fault::head_too_long == fault_of_request(head));
    CHECK_TRUE(framing_fault::head_too_long == fault_of_request(head + "\r\n\r\n"));
}

// Guards against heads whose fields take many times the memory of their bytes.
TEST(http_message, refuses_a_head_of_too_many_fields)
{
    constexpr std::size_t max_fields = 16;
    const auto fault_with = [](std::size_t short_fields) {
        std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
        for (std::size_t number = 0; number < short_fields; ++number) {
            head.append("a:\r\n");
        }
        recorder seen;
        http_reader reader(http_reader_kind::requests, seen, max_head);
        reader.set_max_head(max_head, max_fields);
        return feed_all(reader, head + "\r\n");
    };
    CHECK_TRUE(framing_fault::none == fault_with(max_fields - 1));
    CHECK_TRUE(framing_fault::head_too_long == fault_with(max_fields));
}

// Guards against trailers that are kept, or have no end.
TEST(http_message, refuses_trailers_over_the_limit_of_a_head)
{
    const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    const auto trailer = [](std::size_t bytes) { return "a: " + std::string(bytes, 'x') + "\r\n"; };
    CHECK_TRUE(framing_fault::none == fault_of_request(head + trailer(max_head / 2) + "\r\n"));
    CHECK_TRUE(framing_fault::malformed ==
               fault_of_request(head + trailer(max_head / 2) + trailer(max_head / 2)));
}

// Guards against refusing a head of exactly the maximum length when its last bytes arrive in a
// separate packet.
TEST(http_message, a_head_as_long_as_allowed_is_read_however_it_is_split)
{
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
    head += std::string(max_head - head.size(), 'x') + "\r\n\r\n";
    CHECK_TRUE(framing_fault::none == fault_of_request(head));
    recorder seen;
    http_reader reader(http_reader_kind::requests, seen, max_head);
    for (const char byte : head) {
        CHECK_TRUE(framing_fault::none == feed_all(reader, std::string_view(&byte, 1)));
    }
    CHECK_EQUAL(1, seen.ends);
    CHECK_TRUE(framing_fault::head_too_long == fault_of_request(head.insert(max_head, 1, 'x')));
}

TEST(http_message, random_bytes_end_in_a_fault_or_in_complete_messages)
{
    CHECK_TRUE(holds("random bytes", [](const std::string& bytes, bool requests) {
        recorder seen;
        http_reader reader(requests ? http_reader_kind::requests : http_reader_kind::responses,
                           seen, max_head);
        feed_all(reader, bytes);
        reader.feed_end();
        RC_ASSERT(seen.ends <= static_cast<int>(seen.requests.size() + seen.responses.size()));
    }));
}

TEST(http_message, identifies_hop_by_hop_fields)
{
    CHECK_TRUE(is_hop_by_hop("transfer-encoding", ""));
    CHECK_TRUE(is_hop_by_hop("X-Mine", "close, x-mine"));
    CHECK_FALSE(is_hop_by_hop("X-Mine", "close"));
}

TEST(http_message, leaves_out_fields_that_would_end_the_head_early)
{
    const auto head = write_request_head("GET", "/", {{"Host", "h"}, {"X", "a\r\nY: b"}});
    STRCMP_EQUAL("GET / HTTP/1.1\r\nHost: h\r\n\r\n", head.c_str());
}
