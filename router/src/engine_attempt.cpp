#include "engine_attempt.hpp"

#include "engine_event.hpp"

#include <utility>

namespace pearhaven::router {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr std::size_t max_error_body = 4096;

} // namespace

engine_run::engine_run(std::string identifier, std::string version_of)
    : run_id(std::move(identifier)), version_name(std::move(version_of)),
      started_at(std::chrono::steady_clock::now())
{}

bool engine_run::take(const std::string& event, std::vector<std::string>& for_caller)
{
    if (event == "[DONE]") {
        this->end_marked = true;
        return true;
    }
    const auto read = read_engine_event(event);
    if (!read || read->run != this->run_id || !read->index) {
        return false;
    }
    const auto position = *read->index;
    if (read->closes) {
        this->token_usage = read->used;
        this->closing_event = event;
        return position == this->next_index;
    }
    // A resumed stream may repeat events; a gap can never be filled.
    if (position < this->next_index) {
        return true;
    }
    if (position > this->next_index) {
        return false;
    }
    if (this->next_index == 0) {
        const auto elapsed = std::chrono::steady_clock::now() - this->started_at;
        this->first_token_after = std::chrono::duration_cast<decision::duration>(elapsed);
    }
    ++this->next_index;
    for_caller.push_back(event);
    return true;
}

bool engine_run::is_whole() const
{
    return this->end_marked && !this->closing_event.empty() &&
           this->token_usage.completion_tokens == this->next_index;
}

engine_attempt::engine_attempt(routing_sink& events, exchange_ptr to_caller, engine_run_ptr of_run,
                               decision::attempt_number attempt_of, bool resumes_run)
    : sink(events), caller(std::move(to_caller)), run(std::move(of_run)), attempt(attempt_of),
      resumed(resumes_run)
{}

void engine_attempt::on_head(int status,
                             const std::vector<std::pair<std::string, std::string>>& headers)
{
    this->status_code = status;
    for (const auto& [name, value] : headers) {
        if (name == "x-not-run" && value == "true") {
            this->not_run = true;
        }
    }
}

bool engine_attempt::on_body(std::string_view piece)
{
    if (this->status_code != status_ok) {
        if (this->error_body.size() + piece.size() <= max_error_body) {
            this->error_body.append(piece);
        }
        return true;
    }
    if (!this->caller->has_room_or_pauses()) {
        return false;
    }
    answer_piece tokens;
    for (const auto& event : this->reader.feed(piece)) {
        this->malformed = this->malformed || !this->run->take(event, tokens.events);
    }
    this->malformed = this->malformed || this->reader.is_overflowing();
    if (!tokens.events.empty()) {
        this->caller->push(std::move(tokens));
    }
    return true;
}

decision::attempt_end engine_attempt::judge(const adapters::http_result& result) const
{
    using adapters::http_error;
    using decision::attempt_result;
    decision::attempt_end end;
    end.ticket = this->caller->ticket;
    end.attempt = this->attempt;
    end.tokens = this->run->tokens();
    end.first_token = this->run->first_token();
    end.answer_began = this->status_code == status_ok;
    if (this->run->is_whole() && !this->malformed) {
        end.result = attempt_result::finished;
    } else if (this->not_run && !this->resumed) {
        end.result = attempt_result::refused;
        end.endpoint_leaving = is_draining_error(this->error_body);
    } else if (result.error == http_error::connect_failed) {
        end.result = attempt_result::unreachable;
    } else if (result.error == http_error::first_byte_timeout ||
               result.error == http_error::progress_timeout) {
        end.result = attempt_result::went_silent;
    } else if (result.error == http_error::cancelled) {
        end.result = attempt_result::cancelled;
    } else {
        end.result = attempt_result::failed;
        end.run_lost = this->resumed && this->status_code == status_not_found;
        const bool other_status = this->status_code != 0 && this->status_code != status_ok;
        end.answered_error = this->malformed || (other_status && !end.run_lost);
    }
    return end;
}

void engine_attempt::on_end(const adapters::http_result& result)
{
    this->sink.submit(
        attempt_ended{this->judge(result), this->run->used(), this->run->last_event()});
}

} // namespace pearhaven::router
