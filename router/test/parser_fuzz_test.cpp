#include "byte_fuzzing.hpp"
#include "caller_request.hpp"
#include "engine_attempt.hpp"
#include "engine_event.hpp"
#include "event_splitter.hpp"
#include "sse_reader.hpp"

#include "pearhaven/router/settings.hpp"

#include <gflags/gflags.h>

#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::router;
using pearhaven::tests::byte_mutator;
using pearhaven::tests::first_fault;

namespace {

const std::vector<std::string> streams = {
    "id: 1\ndata: {\"token\":\"a\"}\n\nid: 2\ndata: b\n\n",
    ": comment\r\nevent: end\r\nid:18446744073709551615\r\ndata:a\r\ndata: b\r\n\r\n\n",
    "data\n\ndata: no end"};

std::vector<std::string> lines_of(const std::string& bytes)
{
    std::vector<std::string> lines;
    for (std::size_t begin = 0; begin < bytes.size();) {
        const auto end = std::min(bytes.find('\n', begin), bytes.size());
        lines.push_back(bytes.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

} // namespace

// A parser that crashes ends the router with all its streams. A parser whose result depends on how
// the network fragments the stream gives callers different answers.
TEST_GROUP(router_parser_fuzz){};

TEST(router_parser_fuzz, events_do_not_depend_on_how_the_stream_is_split)
{
    const auto wrong =
        first_fault(streams, 2'000, [](const std::string& bytes, byte_mutator& mutator) {
            event_splitter in_one;
            const auto events = in_one.feed(bytes);
            event_splitter in_pieces;
            std::vector<stream_event> same;
            for (const auto piece : mutator.split(bytes)) {
                for (auto& event : in_pieces.feed(piece)) {
                    same.push_back(std::move(event));
                }
            }
            std::string joined;
            for (const auto& event : events) {
                joined += event.bytes;
            }
            return events == same && in_one.has_part() == in_pieces.has_part() &&
                   bytes.starts_with(joined) && in_one.has_part() == (joined.size() < bytes.size());
        });
    CHECK_EQUAL(std::string(), wrong);
}

TEST(router_parser_fuzz, event_data_does_not_depend_on_how_the_stream_is_split)
{
    const auto wrong =
        first_fault(streams, 2'000, [](const std::string& bytes, byte_mutator& mutator) {
            sse_reader in_one;
            const auto events = in_one.feed(bytes);
            sse_reader in_pieces;
            std::vector<std::string> same;
            for (const auto piece : mutator.split(bytes)) {
                for (auto& event : in_pieces.feed(piece)) {
                    same.push_back(std::move(event));
                }
            }
            return events == same && in_one.is_overflowing() == in_pieces.is_overflowing();
        });
    CHECK_EQUAL(std::string(), wrong);
}

TEST(router_parser_fuzz, chat_requests)
{
    const std::vector<std::string> examples = {
        R"({"model":"m","stream":true,"max_tokens":9,"n":1,"temperature":0.5,
            "messages":[{"role":"user","content":"hello"}]})",
        R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]})"};
    for (const auto& example : examples) {
        CHECK_TRUE(std::holds_alternative<chat_body>(read_chat(example)));
    }
    // The forwarded body must be valid JSON again, so that an endpoint can parse what the router
    // parsed.
    const auto wrong = first_fault(examples, 1'000, [](const std::string& bytes, byte_mutator&) {
        const auto read = read_chat(bytes);
        const auto* const chat = std::get_if<chat_body>(&read);
        return chat == nullptr ||
               std::holds_alternative<chat_body>(read_chat(R"({"model":"m",)" + chat->rest));
    });
    CHECK_EQUAL(std::string(), wrong);
}

TEST(router_parser_fuzz, engine_events)
{
    const std::vector<std::string> examples = {
        R"({"id":"r","index":0,"model":"m","choices":[{"delta":{"content":"x"},"finish_reason":null}]})",
        R"({"id":"r","index":1,"choices":[{"delta":{},"finish_reason":"stop"}],
            "usage":{"prompt_tokens":3,"completion_tokens":1}})",
        R"({"error":{"code":"draining"}})", R"({"running":2,"queued":1,"capacity":8,"age_ms":20,
            "incarnation":3})"};
    CHECK_TRUE(read_engine_event(examples[0])->content == "x");
    CHECK_TRUE(read_engine_event(examples[1])->closes);
    CHECK_TRUE(is_draining_error(examples[2]));
    CHECK_TRUE(read_load(examples[3], 1).has_value());
    const auto wrong = first_fault(examples, 1'000, [](const std::string& bytes, byte_mutator&) {
        engine_run run("r", "m");
        std::vector<std::string> for_caller;
        const bool taken = run.take(bytes, for_caller);
        static_cast<void>(is_draining_error(bytes));
        const auto load = read_load(bytes, 1);
        return (taken || for_caller.empty()) && (!load || load->running >= 0.0);
    });
    CHECK_EQUAL(std::string(), wrong);
}

// A flag sets a process-wide variable, which is restored after the test.
TEST(router_parser_fuzz, settings_on_the_command_line)
{
    IGNORE_ALL_LEAKS_IN_TEST();
    const gflags::FlagSaver kept;
    const std::string valid = "--zone=osu\n--key_value_url=http://127.0.0.1:7000\n"
                              "--host_list_url=http://127.0.0.1:7001\n--caller_threads\n64\n"
                              "--peers=127.0.0.1:9000,127.0.0.1:9001\n--log-format=json\n"
                              "--caller_port=8081\n--member_lease_ms=10000";
    const auto wrong = first_fault({valid}, 200, [](const std::string& bytes, byte_mutator&) {
        auto arguments = lines_of("pearhavend\n" + bytes);
        std::vector<char*> pointers;
        pointers.reserve(arguments.size());
        for (auto& argument : arguments) {
            pointers.push_back(argument.data());
        }
        const auto read = read_settings(static_cast<int>(pointers.size()), pointers.data());
        return read.help_requested || !read.faults.empty() || check_settings(read.settings).empty();
    });
    CHECK_EQUAL(std::string(), wrong);
}
