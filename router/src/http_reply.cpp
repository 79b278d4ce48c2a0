#include "http_reply.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <chrono>

namespace pearhaven::router {

namespace {

using decision::failure_code;
using decision::run_state;

struct code_mapping {
    const char* name;
    int status;
};

code_mapping mapping_of(failure_code code)
{
    switch (code) {
    case failure_code::unknown_model:
    case failure_code::model_refused:
        return {"unknown_model", status_not_found};
    case failure_code::not_allowed:
        return {"not_allowed", status_forbidden};
    case failure_code::version_withdrawn:
        return {"version_withdrawn", status_forbidden};
    case failure_code::session_ended:
        return {"session_ended", status_conflict};
    case failure_code::team_limit:
        return {"team_limit", status_too_many};
    case failure_code::overloaded:
    case failure_code::shed:
        return {"overloaded", status_unavailable};
    case failure_code::deadline_passed:
        return {"deadline_passed", status_gateway_timeout};
    case failure_code::no_endpoint:
        return {"no_endpoint", status_unavailable};
    case failure_code::config_unconfirmed:
        return {"not_in_touch", status_unavailable};
    case failure_code::request_quarantined:
        return {"request_quarantined", status_conflict};
    case failure_code::endpoint_failed:
        return {"endpoint_failed", status_bad_gateway};
    case failure_code::answer_broken:
        return {"answer_broken", status_bad_gateway};
    case failure_code::stopping:
        return {"stopping", status_unavailable};
    case failure_code::already_ran:
        return {"already_ran", status_conflict};
    case failure_code::in_progress:
        return {"in_progress", status_conflict};
    case failure_code::outcome_unknown:
        return {"outcome_unknown", status_conflict};
    }
    return {"failed", status_unavailable};
}

const char* name_of(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string error_body(std::string_view code, std::string_view message, std::string_view run,
                       bool resend)
{
    const nlohmann::json body = {
        {"error", {{"code", code}, {"message", message}, {"run", run}, {"resend", resend}}}};
    constexpr int compact = -1;
    return body.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string head(int status, const std::string& content_type, const header_list& headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                       mg_get_response_code_text(nullptr, status) +
                       "\r\nContent-Type: " + content_type + "\r\n";
    for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

bool write_all(mg_connection* connection, std::string_view text)
{
    return mg_write(connection, text.data(), text.size()) == static_cast<int>(text.size());
}

} // namespace

bool send_answer(mg_connection* connection, int status, const std::string& content_type,
                 const header_list& headers, std::string_view body)
{
    auto text = head(status, content_type, headers);
    text.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n")
        .append(body);
    return write_all(connection, text);
}

bool begin_stream(mg_connection* connection, int status, const std::string& content_type,
                  const header_list& headers)
{
    auto text = head(status, content_type, headers);
    text.append("Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n");
    return write_all(connection, text);
}

bool send_piece(mg_connection* connection, std::string_view piece)
{
    if (piece.empty()) {
        return true; // an empty chunk would end the stream
    }
    constexpr int hexadecimal = 16;
    std::array<char, 20> size{};
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), piece.size(), hexadecimal).ptr;
    std::string chunk(size.data(), end);
    chunk.append("\r\n").append(piece).append("\r\n");
    return write_all(connection, chunk);
}

bool end_stream(mg_connection* connection)
{
    return write_all(connection, "0\r\n\r\n");
}

error_response to_error_response(const decision::failure& why)
{
    const auto mapping = mapping_of(why.code);
    error_response response;
    response.status = mapping.status;
    response.body = error_body(mapping.name, why.detail, name_of(why.run), why.resend);
    if (why.resend && why.retry_after > decision::duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(why.retry_after).count();
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

error_response make_rejection(int status, std::string_view code, std::string_view message)
{
    error_response response;
    response.status = status;
    response.body = error_body(code, message, "not_run", false);
    return response;
}

bool send_failure(mg_connection* connection, const error_response& response,
                  const header_list& more)
{
    header_list headers = response.headers;
    headers.insert(headers.end(), more.begin(), more.end());
    return send_answer(connection, response.status, "application/json", headers, response.body);
}

} // namespace pearhaven::router
