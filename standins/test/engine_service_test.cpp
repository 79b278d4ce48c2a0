#include "answer_text.hpp"
#include "engine_service.hpp"
#include "test_sockets.hpp"
#include "web_client.hpp"

#include <optional>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;
using std::chrono::milliseconds;

namespace {

constexpr unsigned threads = 8;
constexpr const char* chat_path = "/v1/chat/completions";

engine_settings quick_engine()
{
    engine_settings settings;
    settings.batch.step = milliseconds(1);
    settings.versions = {"v"};
    return settings;
}

web_settings few_threads()
{
    web_settings settings;
    settings.threads = threads;
    return settings;
}

// The text in a stream's events from the offset on; an `index` out of order gives an empty text.
std::string text_of(const std::string& stream, std::uint64_t offset)
{
    std::string text;
    std::istringstream lines(stream);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: {", 0) != 0) {
            continue;
        }
        const auto event = nlohmann::json::parse(line.substr(6));
        if (event.at("index") != offset) {
            return {};
        }
        text += event.at("choices").at(0).at("delta").value("content", "");
        ++offset;
    }
    return text;
}

// Makes one call and reads the raw bytes of the answer until the connection ends, because
// CivetWeb's client returns nothing when a stream is cut off. The chunk headers stay in the text.
std::string raw_call(const std::string& address, const std::string& method, const std::string& path,
                     const std::string& head, const std::string& body)
{
    constexpr std::size_t everything = 1'000'000;
    const auto socket = connect_to(address);
    send_text(socket, method + " " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" +
                          head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                          body);
    return receive(socket, everything, generous_ms);
}

bool ends_whole(const std::string& stream)
{
    return stream.find("\"finish_reason\":\"stop\"") != std::string::npos &&
           stream.find("data: [DONE]\n\n") != std::string::npos;
}

} // namespace

TEST_GROUP(engine_service)
{
    engine served{quick_engine()};
    engine_service service{served, threads};
    std::optional<web_server> server;
    std::string address;
    const std::string prompt = chat_prompt({{"user", "hi"}});

    void setup() override
    {
        this->server.emplace(few_threads());
        this->service.add_routes(*this->server);
        this->address = this->server->start();
    }

    void teardown() override
    {
        stop_server(this->server, this->address);
    }

    static std::string chat_body(std::uint64_t tokens, bool stream, const std::string& version)
    {
        const nlohmann::json message = {{"role", "user"}, {"content", "hi"}};
        const nlohmann::json body = {{"model", version},
                                     {"max_tokens", tokens},
                                     {"stream", stream},
                                     {"messages", nlohmann::json::array({message})}};
        return body.dump();
    }

    web_answer chat(const std::string& run, std::uint64_t tokens, const std::string& version = "v")
    {
        const auto body = chat_body(tokens, false, version);
        return call(this->address, {"POST", chat_path, body, {{"X-Run-Id", run}}});
    }

    std::string stream(const std::string& run, std::uint64_t tokens)
    {
        return raw_call(this->address, "POST", chat_path, "X-Run-Id: " + run + "\r\n",
                        chat_body(tokens, true, "v"));
    }

    std::string resume(const std::string& run, std::uint64_t offset)
    {
        const auto path = "/v1/runs/" + run + "/resume?offset=" + std::to_string(offset);
        return raw_call(this->address, "GET", path, "", "");
    }

    void behave(const nlohmann::json& behaviours)
    {
        const auto answer = call(this->address, {"POST", "/control/behave", behaviours.dump(), {}});
        LONGS_EQUAL(200, answer.status);
    }
};

TEST(engine_service, streams_the_whole_right_answer)
{
    const auto answer = stream("r1", 20);
    CHECK_EQUAL(answer_text(prompt, "v", 20), text_of(answer, 0));
    CHECK_TRUE(ends_whole(answer));
}

TEST(engine_service, answers_the_same_text_without_a_stream)
{
    const auto answer = nlohmann::json::parse(chat("r1", 20).body);
    CHECK_EQUAL(answer_text(prompt, "v", 20),
                answer.at("choices").at(0).at("message").at("content").get<std::string>());
    LONGS_EQUAL(20, answer.at("usage").at("completion_tokens").get<int>());
}

// The caller's stream is cut off midway while the engine's run continues. A resumed stream must
// deliver the rest, without duplicate or missing tokens.
TEST(engine_service, resumes_a_truncated_stream_at_its_offset)
{
    behave({{"truncate_after", 7}});
    const auto first = stream("r1", 20);
    CHECK_FALSE(ends_whole(first));
    const auto rest = resume("r1", 7);
    CHECK_TRUE(ends_whole(rest));
    CHECK_EQUAL(answer_text(prompt, "v", 7), text_of(first, 0));
    CHECK_EQUAL(answer_text(prompt, "v", 20), text_of(first, 0) + text_of(rest, 7));
    LONGS_EQUAL(1, served.show_runs(0).size());
}

TEST(engine_service, truncates_one_stream_only)
{
    behave({{"truncate_after", 7}});
    stream("r1", 20);
    CHECK_TRUE(ends_whole(stream("r2", 20)));
}

TEST(engine_service, answers_not_found_for_an_unknown_run)
{
    LONGS_EQUAL(404, call(address, {"GET", "/v1/runs/r1/resume?offset=0", "", {}}).status);
}

TEST(engine_service, sends_not_run_when_it_refuses)
{
    const auto answer = chat("r1", 1, "w");
    LONGS_EQUAL(404, answer.status);
    CHECK_TRUE(answer.not_run);
    LONGS_EQUAL(0, served.show_runs(0).size());
}

TEST(engine_service, omits_not_run_when_a_run_fails)
{
    behave({{"fail_rate", 1.0}});
    const auto answer = chat("r1", 1);
    LONGS_EQUAL(500, answer.status);
    CHECK_FALSE(answer.not_run);
    LONGS_EQUAL(1, served.show_runs(0).size());
}

TEST(engine_service, refuses_an_unknown_behaviour)
{
    LONGS_EQUAL(400, call(address, {"POST", "/control/behave", "{\"nope\":1}", {}}).status);
}
