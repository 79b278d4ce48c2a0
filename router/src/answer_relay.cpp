#include "answer_relay.hpp"

#include "engine_event.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

namespace pearhaven::router {

namespace {

using nlohmann::json;

// While an answer is slow, a comment is sent at this interval to detect a disconnected caller.
constexpr std::chrono::milliseconds keep_alive_period{1000};

constexpr std::string_view end_marker = "data: [DONE]\n\n";

std::string to_event(const std::string& data)
{
    std::string event;
    event.reserve(data.size() + 8);
    event.append("data: ").append(data).append("\n\n");
    return event;
}

void append_delta(const std::string& event, std::string& content, std::string& model)
{
    const auto read = read_engine_event(event);
    if (read && !read->model.empty()) {
        model = read->model;
    }
    if (read) {
        content.append(read->content);
    }
}

// False for fields that apply to one connection only or that this router writes itself.
bool is_forwarded(const std::string& name)
{
    constexpr std::array<std::string_view, 6> own = {
        "connection", "transfer-encoding", "keep-alive", "content-length", "content-type", "date"};
    return std::find(own.begin(), own.end(), name) == own.end();
}

} // namespace

answer_relay::answer_relay(mg_connection* caller_connection, exchange_ptr of_request,
                           adapters::http_client& http_client)
    : caller(caller_connection), source(std::move(of_request)), client(http_client)
{}

relay_end answer_relay::run(const version_headers& headers_of)
{
    relay_end end;
    while (true) {
        auto event = this->source->events.pop_for(keep_alive_period);
        if (this->source->paused.exchange(false)) {
            this->client.resume(this->source->transfer);
        }
        if (!event) {
            if (this->begun && !this->keep_alive()) {
                end.caller_gone = true;
                return end;
            }
            continue;
        }
        if (this->take(*event, headers_of, end)) {
            end.status = this->status;
            return end;
        }
    }
}

// Returns true if this was the last event.
bool answer_relay::take(exchange_event& event, const version_headers& headers_of, relay_end& end)
{
    const auto visitor = [this, &headers_of, &end](auto& what) {
        using event_type = std::decay_t<decltype(what)>;
        if constexpr (std::is_same_v<event_type, run_started>) {
            end.version = what.version;
            this->answer_headers = headers_of(what.version);
            this->on_restart();
            return false;
        } else if constexpr (std::is_same_v<event_type, service_head>) {
            this->status = what.status;
            this->on_head(what);
            return false;
        } else if constexpr (std::is_same_v<event_type, answer_piece>) {
            if (end.first_piece.count() == 0) {
                const auto elapsed = std::chrono::steady_clock::now() - this->source->arrived_at;
                end.first_piece = std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
            }
            end.caller_gone = !this->on_piece(what);
            return end.caller_gone;
        } else if constexpr (std::is_same_v<event_type, answer_complete>) {
            // The answer is complete and billed, even if its last bytes do not reach the caller.
            end.completed = true;
            end.outcome = this->outcome();
            static_cast<void>(this->on_complete(what));
            return true;
        } else if constexpr (std::is_same_v<event_type, answer_failed>) {
            return this->take_failure(what, end);
        } else {
            return false;
        }
    };
    return std::visit(visitor, event);
}

bool answer_relay::take_failure(const answer_failed& failed, relay_end& end)
{
    end.why = failed.why;
    const auto response = to_error_response(failed.why);
    if (this->begun) {
        static_cast<void>(this->on_failure_midway(response));
        return true;
    }
    this->status = response.status;
    static_cast<void>(send_failure(this->caller, response, this->answer_headers));
    return true;
}

bool streamed_chat::begin()
{
    if (this->begun) {
        return true;
    }
    this->begun = true;
    return begin_stream(this->connection(), status_ok, "text/event-stream", this->headers());
}

bool streamed_chat::on_piece(answer_piece& piece)
{
    if (!this->begin()) {
        return false;
    }
    std::string text;
    for (const auto& event : piece.events) {
        text.append(to_event(event));
    }
    return send_piece(this->connection(), text);
}

bool streamed_chat::on_complete(const answer_complete& ending)
{
    if (!this->begin()) {
        return false;
    }
    auto text = to_event(ending.last_event);
    text.append(end_marker);
    return send_piece(this->connection(), text) && end_stream(this->connection());
}

bool streamed_chat::on_failure_midway(const error_response& response)
{
    return send_piece(this->connection(), "event: error\n" + to_event(response.body)) &&
           end_stream(this->connection());
}

bool streamed_chat::keep_alive()
{
    return send_piece(this->connection(), ": waiting\n\n");
}

void collected_chat::on_restart()
{
    this->content.clear();
}

bool collected_chat::on_piece(answer_piece& piece)
{
    for (const auto& event : piece.events) {
        append_delta(event, this->content, this->model);
    }
    return true;
}

bool collected_chat::on_complete(const answer_complete& ending)
{
    const json message = {{"role", "assistant"}, {"content", this->content}};
    const json choice = {{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    const json used = {{"prompt_tokens", ending.used.prompt_tokens},
                       {"completion_tokens", ending.used.completion_tokens},
                       {"total_tokens", ending.used.prompt_tokens + ending.used.completion_tokens}};
    const json answer = {{"id", this->request().request_id},
                         {"object", "chat.completion"},
                         {"model", this->model},
                         {"choices", json::array({choice})},
                         {"usage", used}};
    return send_answer(this->connection(), status_ok, "application/json", this->headers(),
                       answer.dump());
}

bool collected_chat::on_failure_midway(const error_response& response)
{
    return send_failure(this->connection(), response, this->headers());
}

std::string service_answer::outcome() const
{
    constexpr std::size_t max_outcome_size = 1024;
    return "status " + std::to_string(this->head.status) + ": " +
           this->buffered.substr(0, max_outcome_size);
}

void service_answer::on_restart()
{
    this->head = {};
    this->buffered.clear();
}

void service_answer::on_head(service_head& received)
{
    this->head = std::move(received);
}

// The router's own fields and the service's. `type` is set to the service's content type, if any.
header_list service_answer::forwarded_fields(std::string& type) const
{
    header_list fields = this->headers();
    for (const auto& [name, value] : this->head.headers) {
        type = name == "content-type" ? value : type;
        if (is_forwarded(name)) {
            fields.emplace_back(name, value);
        }
    }
    return fields;
}

bool service_answer::on_piece(answer_piece& piece)
{
    constexpr std::size_t max_buffered = 64U << 10U;
    this->buffered.append(piece.bytes);
    if (!this->begun && this->buffered.size() < max_buffered) {
        return true;
    }
    if (!this->begun) {
        this->begun = true;
        std::string type;
        const auto fields = this->forwarded_fields(type);
        if (!begin_stream(this->connection(), this->head.status, type, fields)) {
            return false;
        }
    }
    const auto text = std::exchange(this->buffered, {});
    return send_piece(this->connection(), text);
}

bool service_answer::on_complete(const answer_complete& /*ending*/)
{
    if (this->begun) {
        return send_piece(this->connection(), this->buffered) && end_stream(this->connection());
    }
    std::string type = "application/octet-stream";
    const auto fields = this->forwarded_fields(type);
    return send_answer(this->connection(), this->head.status, type, fields, this->buffered);
}

// The head of the service's answer has been sent and the rest will not come. Closing the connection
// in the middle of a chunked answer shows the caller that it is incomplete.
bool service_answer::on_failure_midway(const error_response& /*response*/)
{
    return false;
}

} // namespace pearhaven::router
