#ifndef PEARHAVEN_ROUTER_ENGINE_ATTEMPT_HPP
#define PEARHAVEN_ROUTER_ENGINE_ATTEMPT_HPP

#include "exchange.hpp"
#include "routing_event.hpp"
#include "sse_reader.hpp"

#include "pearhaven/adapters/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::router {

// One run of a request on an engine, over all connections that are used to read its answer. Once
// its first connection was started, only the HTTP client's thread accesses it. Connections follow
// each other and never overlap.
class engine_run : public boost::intrusive_ref_counter<engine_run> {
public:
    engine_run(std::string run_id, std::string version_name);

    // Processes one event of the stream. Returns false if the event is malformed, out of order or
    // of another run; the answer cannot be complete then.
    [[nodiscard]] bool take(const std::string& event, std::vector<std::string>& for_caller);

    // Whether all tokens, the closing event and the end marker have been received.
    [[nodiscard]] bool is_whole() const;

    [[nodiscard]] const std::string& id() const { return this->run_id; }
    [[nodiscard]] const std::string& version() const { return this->version_name; }
    [[nodiscard]] std::uint64_t tokens() const { return this->next_index; }
    [[nodiscard]] const usage& used() const { return this->token_usage; }
    [[nodiscard]] const std::string& last_event() const { return this->closing_event; }
    [[nodiscard]] decision::duration first_token() const { return this->first_token_after; }

private:
    std::string run_id;
    std::string version_name;
    std::uint64_t next_index = 0;
    usage token_usage;
    std::string closing_event;
    bool end_marked = false;
    std::chrono::steady_clock::time_point started_at;
    decision::duration first_token_after{};
};

using engine_run_ptr = boost::intrusive_ptr<engine_run>;

// Receives the part of a run that arrives on one connection and passes the tokens to the caller's
// thread.
class engine_attempt : public adapters::http_listener {
public:
    engine_attempt(routing_sink& events, exchange_ptr to_caller, engine_run_ptr of_run,
                   decision::attempt_number attempt_of, bool resumes_run);

    void on_head(int status,
                 const std::vector<std::pair<std::string, std::string>>& headers) override;
    [[nodiscard]] bool on_body(std::string_view piece) override;
    void on_end(const adapters::http_result& result) override;

private:
    [[nodiscard]] decision::attempt_end judge(const adapters::http_result& result) const;

    routing_sink& sink;
    exchange_ptr caller;
    engine_run_ptr run;
    decision::attempt_number attempt;
    bool resumed;
    int status_code = 0;
    bool not_run = false;
    bool malformed = false;
    sse_reader reader;
    std::string error_body;
};

} // namespace pearhaven::router

#endif
