#include "caller_request.hpp"

#include <rapidcheck.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;

TEST_GROUP(caller_request_test){
    static std::string fault_of(const std::string& body){const auto read = read_chat(body);
const auto* fault = std::get_if<error_response>(&read);
return fault == nullptr ? "" : fault->body;
}

static bool names(const std::string& body, const std::string& field)
{
    return fault_of(body).find(field) != std::string::npos;
}
}
;

TEST(caller_request_test, parses_the_fields_of_a_chat_request_that_routing_needs)
{
    const auto read = read_chat(R"({"model":"m","stream":true,"max_tokens":9,"temperature":0.5,
        "messages":[{"role":"user","content":"hello"}]})");
    const auto& chat = std::get<chat_body>(read);
    CHECK_EQUAL(std::string("m"), chat.requested_model);
    CHECK_TRUE(chat.streamed);
    LONGS_EQUAL(9, chat.max_tokens);
    CHECK_EQUAL(std::string("hello\n"), chat.prompt);
    CHECK_TRUE(chat.rest.find("\"model\"") == std::string::npos);
    CHECK_TRUE(chat.rest.find("\"temperature\":0.5") != std::string::npos);
}

TEST(caller_request_test, errors_name_the_invalid_field)
{
    CHECK_TRUE(names("{", "not JSON"));
    CHECK_TRUE(names("[]", "JSON object"));
    CHECK_TRUE(names(R"({"messages":[{"role":"user","content":"x"}]})", "model:"));
    CHECK_TRUE(names(R"({"model":"m"})", "messages:"));
    CHECK_TRUE(names(R"({"model":"m","messages":[{"role":"user"}]})", "messages:"));
    CHECK_TRUE(
        names(R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":1})", "stream:"));
    CHECK_TRUE(names(R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1})",
                     "max_tokens:"));
}

TEST(caller_request_test, resends_with_the_same_key_get_the_same_request_id)
{
    CHECK_EQUAL(request_id_of("team", "key"), request_id_of("team", "key"));
    CHECK_TRUE(request_id_of("team", "key") != request_id_of("other", "key"));
    CHECK_TRUE(request_id_of("team", "") != request_id_of("team", ""));
}

TEST(caller_request_test, arbitrary_bytes_do_not_crash_the_parser)
{
    const bool holds = rc::check("random bodies", [] {
        const auto body = *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("{}[]\":,modelsag1e-\\u")));
        const auto read = read_chat(body);
        RC_ASSERT(read.index() < 2U);
    });
    CHECK_TRUE(holds);
}

// Serializing a value takes stack for each nesting level, and a caller thread has little. A short
// body that consists of brackets only must not crash the router with all its streams.
TEST(caller_request_test, a_body_nested_too_deeply_is_rejected)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    for (const std::string field : {"extra", "stream", "max_tokens", "n"}) {
        std::string body = R"({"model":"m","messages":[{"role":"user","content":"x"}],")";
        body.append(field).append("\":").append(deep).append("}");
        CHECK_TRUE(names(body, "nested"));
    }
    CHECK_TRUE(names(deep, "nested"));
}

TEST(caller_request_test, brackets_in_strings_do_not_count_as_nesting)
{
    const std::string text(1000, '[');
    CHECK_EQUAL(
        std::string(),
        fault_of(R"({"model":"m","messages":[{"role":"user","content":"\"{)" + text + "\"}]}"));
}
