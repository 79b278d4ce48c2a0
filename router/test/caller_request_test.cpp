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

TEST(caller_request_test, a_chat_is_taken_apart_as_far_as_routing_needs_it)
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

TEST(caller_request_test, a_fault_names_its_field)
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

TEST(caller_request_test, a_resend_under_the_same_key_is_the_same_request_on_every_router)
{
    CHECK_EQUAL(request_id_of("team", "key"), request_id_of("team", "key"));
    CHECK_TRUE(request_id_of("team", "key") != request_id_of("other", "key"));
    CHECK_TRUE(request_id_of("team", "") != request_id_of("team", ""));
}

TEST(caller_request_test, no_bytes_end_the_process)
{
    const bool holds = rc::check("random bodies", [] {
        const auto body = *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("{}[]\":,modelsag1e-\\u")));
        const auto read = read_chat(body);
        RC_ASSERT(read.index() < 2U);
    });
    CHECK_TRUE(holds);
}

// Printing a value takes stack for each level of it, and a caller's thread has little: a short body
// of nothing but brackets would end the router with all its streams.
TEST(caller_request_test, a_body_nested_deeper_than_a_stack_holds_is_refused)
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

TEST(caller_request_test, brackets_in_a_text_are_no_nesting)
{
    const std::string text(1000, '[');
    CHECK_EQUAL(
        std::string(),
        fault_of(R"({"model":"m","messages":[{"role":"user","content":"\"{)" + text + "\"}]}"));
}
