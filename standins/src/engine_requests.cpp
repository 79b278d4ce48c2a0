#include "engine_requests.hpp"

#include "answer_text.hpp"

#include <algorithm>
#include <atomic>

namespace pearhaven::standins {

namespace {

constexpr std::uint64_t default_priority = 5;
constexpr std::uint64_t max_answer_tokens = 1'000'000;

std::string new_run_name()
{
    static std::atomic<std::uint64_t> last{0};
    return "own-" + std::to_string(++last);
}

// A message's content is a string, or a list of parts of which those without a text are ignored.
std::string content_text(const nlohmann::json& content)
{
    if (!content.is_array()) {
        return content.get<std::string>();
    }
    std::string text;
    for (const auto& part : content) {
        text += part.value("text", "");
    }
    return text;
}

std::string read_prompt(const nlohmann::json& body)
{
    std::vector<chat_message> messages;
    for (const auto& each : body.at("messages")) {
        messages.push_back({each.at("role").get<std::string>(), content_text(each.at("content"))});
    }
    return chat_prompt(messages);
}

} // namespace

engine_request read_chat_completion(const web_exchange& exchange)
{
    const auto body = exchange.json_body();
    engine_request request;
    request.run = exchange.field("X-Run-Id");
    if (request.run.empty()) {
        request.run = new_run_name();
    }
    request.request = exchange.field("X-Request-Id");
    request.version = body.at("model").get<std::string>();
    request.prompt = read_prompt(body);
    const auto priority = to_number(exchange.field("X-Priority")).value_or(default_priority);
    request.priority = static_cast<std::uint32_t>(priority);
    const auto tokens = body.value("max_tokens", default_max_tokens);
    request.max_tokens = std::clamp<std::uint64_t>(tokens, 1, max_answer_tokens);
    request.stream = body.value("stream", false);
    return request;
}

} // namespace pearhaven::standins
