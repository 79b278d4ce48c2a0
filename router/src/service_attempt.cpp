#include "service_attempt.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::router {

service_attempt::service_attempt(routing_sink& events, exchange_ptr to_caller,
                                 decision::attempt_number attempt_of)
    : sink(events), caller(std::move(to_caller)), attempt(attempt_of)
{}

void service_attempt::on_head(int status,
                              const std::vector<std::pair<std::string, std::string>>& headers)
{
    this->not_run = std::any_of(headers.begin(), headers.end(), [](const auto& field) {
        return field.first == "x-not-run" && field.second == "true";
    });
    if (!this->not_run) {
        this->head_forwarded = true;
        this->caller->push(service_head{status, headers});
    }
}

bool service_attempt::on_body(std::string_view piece)
{
    if (this->not_run) {
        return true;
    }
    if (!this->caller->has_room_or_pauses()) {
        return false;
    }
    this->caller->push(answer_piece{{}, std::string(piece)});
    return true;
}

decision::attempt_result service_attempt::judge(const adapters::http_result& result) const
{
    using adapters::http_error;
    using decision::attempt_result;
    if (this->not_run) {
        return attempt_result::refused;
    }
    if (!result.error) {
        return attempt_result::finished;
    }
    if (result.error == http_error::connect_failed) {
        return attempt_result::unreachable;
    }
    if (result.error == http_error::cancelled) {
        return attempt_result::cancelled;
    }
    const bool silent = result.error == http_error::first_byte_timeout ||
                        result.error == http_error::progress_timeout;
    return silent ? attempt_result::went_silent : attempt_result::failed;
}

void service_attempt::on_end(const adapters::http_result& result)
{
    attempt_ended ended;
    ended.end.ticket = this->caller->ticket;
    ended.end.attempt = this->attempt;
    ended.end.result = this->judge(result);
    ended.end.tokens = this->head_forwarded ? 1 : 0;
    this->sink.submit(std::move(ended));
}

} // namespace pearhaven::router
