#include "chat_call.hpp"

#include "answer_text.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace pearhaven::tests {

namespace {

using nlohmann::json;

void read_error(const json& body, chat_answer& answer)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
        return;
    }
    const auto& error = body["error"];
    answer.error_code = error.value("code", "");
    answer.run = error.value("run", "");
    answer.resend = error.value("resend", false);
}

// Parses the events of a finished stream.
void read_events(chat_answer& answer)
{
    bool closed = false;
    std::size_t begin = 0;
    while (begin < answer.body.size()) {
        auto end = answer.body.find("\n\n", begin);
        end = end == std::string::npos ? answer.body.size() : end;
        const auto event = answer.body.substr(begin, end - begin);
        begin = end + 2;
        const auto data_at = event.find("data: ");
        if (data_at == std::string::npos) {
            continue;
        }
        const auto data = event.substr(data_at + 6);
        if (data == "[DONE]") {
            answer.marked_complete = closed && begin >= answer.body.size();
            continue;
        }
        const auto parsed = json::parse(data, nullptr, false);
        if (event.rfind("event: error", 0) == 0) {
            read_error(parsed, answer);
            continue;
        }
        if (!parsed.is_object() || !parsed.contains("choices")) {
            continue;
        }
        const auto& choice = parsed["choices"].at(0);
        if (choice.contains("delta") && choice["delta"].contains("content")) {
            answer.tokens.push_back(choice["delta"]["content"].get<std::string>());
        }
        closed =
            closed || (choice.contains("finish_reason") && choice["finish_reason"].is_string());
    }
}

void read_unstreamed_body(chat_answer& answer)
{
    const auto parsed = json::parse(answer.body, nullptr, false);
    read_error(parsed, answer);
    if (parsed.is_object() && parsed.contains("choices")) {
        answer.tokens.push_back(parsed["choices"].at(0)["message"]["content"].get<std::string>());
        answer.marked_complete = true;
    }
}

adapters::http_request to_http(const std::string& router, const chat_request& request)
{
    adapters::http_request call;
    call.method = "POST";
    call.url = "http://" + router + "/v1/chat/completions";
    call.headers = {{"Content-Type", "application/json"},
                    {"Authorization", "Bearer " + request.team_key}};
    for (const auto& [name, value] : request.headers) {
        call.headers.emplace_back(name, value);
    }
    const json message = {{"role", "user"}, {"content", request.prompt}};
    call.body = json({{"model", request.model},
                      {"stream", request.streamed},
                      {"max_tokens", request.max_tokens},
                      {"messages", json::array({message})}})
                    .dump();
    call.first_byte_timeout = std::chrono::seconds(120);
    call.progress_timeout = std::chrono::seconds(120);
    return call;
}

} // namespace

bool chat_answer::is_complete_answer_to(const chat_request& request) const
{
    std::string text;
    for (const auto& token : this->tokens) {
        text += token;
    }
    const auto prompt = standins::chat_prompt({{"user", request.prompt}});
    const auto right =
        standins::answer_text(prompt, this->header("pearhaven-version"), request.max_tokens);
    return this->status == 200 && this->marked_complete && this->error_code.empty() &&
           text == right;
}

std::string chat_answer::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

std::string chat_answer::to_text() const
{
    return "status " + std::to_string(this->status) + ", " + std::to_string(this->tokens.size()) +
           " tokens, " + (this->marked_complete ? "whole" : "not whole") + ", code \"" +
           this->error_code + "\", run \"" + this->run + "\", body: " + this->body.substr(0, 400);
}

class chat_call::listener : public adapters::http_listener {
public:
    void on_head(int status,
                 const std::vector<std::pair<std::string, std::string>>& headers) override
    {
        const std::lock_guard guard(this->mutex);
        this->answer.status = status;
        for (const auto& [name, value] : headers) {
            this->answer.headers[name] = value;
        }
    }

    [[nodiscard]] bool on_body(std::string_view piece) override
    {
        const std::lock_guard guard(this->mutex);
        this->answer.body.append(piece);
        this->changed.notify_all();
        return true;
    }

    void on_end(const adapters::http_result& result) override
    {
        const std::lock_guard guard(this->mutex);
        this->broken = static_cast<bool>(result.error);
        this->ended = true;
        this->changed.notify_all();
    }

    std::size_t count_tokens() const
    {
        std::size_t count = 0;
        constexpr std::string_view mark = "\"delta\":{\"content\"";
        for (auto at = this->answer.body.find(mark); at != std::string::npos;
             at = this->answer.body.find(mark, at + 1)) {
            ++count;
        }
        return count;
    }

    std::mutex mutex;
    std::condition_variable changed;
    chat_answer answer;
    bool broken = false;
    bool ended = false;
};

chat_call::chat_call(adapters::http_client& client, const std::string& router,
                     const chat_request& request)
    : http(client), received(new listener)
{
    this->exchange = this->http.start(to_http(router, request), this->received);
}

chat_call::~chat_call() = default;

chat_answer chat_call::wait(std::chrono::seconds patience)
{
    std::unique_lock guard(this->received->mutex);
    if (!this->received->changed.wait_for(guard, patience,
                                          [this] { return this->received->ended; })) {
        throw std::runtime_error("the answer did not end in time: " +
                                 this->received->answer.to_text());
    }
    auto answer = this->received->answer;
    if (answer.header("content-type").rfind("text/event-stream", 0) == 0) {
        read_events(answer);
    } else {
        read_unstreamed_body(answer);
    }
    answer.marked_complete = answer.marked_complete && !this->received->broken;
    return answer;
}

bool chat_call::wait_for_tokens(std::size_t count, std::chrono::seconds patience)
{
    std::unique_lock guard(this->received->mutex);
    this->received->changed.wait_for(guard, patience, [this, count] {
        return this->received->ended || this->received->count_tokens() >= count;
    });
    return this->received->count_tokens() >= count;
}

void chat_call::hang_up()
{
    this->http.cancel(this->exchange);
}

} // namespace pearhaven::tests
