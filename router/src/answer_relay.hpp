#ifndef PEARHAVEN_ROUTER_ANSWER_RELAY_HPP
#define PEARHAVEN_ROUTER_ANSWER_RELAY_HPP

#include "exchange.hpp"
#include "http_reply.hpp"

#include "pearhaven/adapters/http_client.hpp"

#include <functional>
#include <string>

struct mg_connection;

namespace pearhaven::router {

// How an exchange ended on the caller's side.
struct relay_end {
    bool caller_gone = false;
    bool completed = false;
    decision::failure why; // set if neither of the two above
    int status = 0;
    std::string version;
    std::chrono::microseconds first_piece{}; // since arrival; zero if none came
    std::string outcome;                     // reported to later resends of a claimed request
};

// Processes the events of one exchange and writes the answer to its caller, until the exchange ends
// or the caller disconnects. Subclasses define the format of the answer.
class answer_relay {
public:
    answer_relay(mg_connection* caller_connection, exchange_ptr of_request,
                 adapters::http_client& http_client);
    virtual ~answer_relay() = default;
    answer_relay(const answer_relay&) = delete;
    answer_relay& operator=(const answer_relay&) = delete;

    // Header fields of the answer, given the version that runs.
    using version_headers = std::function<header_list(const std::string& version)>;
    relay_end run(const version_headers& headers_of);

protected:
    // Each returns false if the caller has disconnected.
    virtual bool on_piece(answer_piece& piece) = 0;
    virtual bool on_complete(const answer_complete& ending) = 0;
    virtual bool on_failure_midway(const error_response& response) = 0;
    virtual void on_restart() {}
    virtual void on_head(service_head& /*head*/) {}

    // The outcome that is reported to a resend of a claimed request.
    [[nodiscard]] virtual std::string outcome() const { return "it was answered"; }
    virtual bool keep_alive() { return true; } // false if the caller has disconnected

    [[nodiscard]] mg_connection* connection() const { return this->caller; }
    [[nodiscard]] const exchange& request() const { return *this->source; }
    [[nodiscard]] const header_list& headers() const { return this->answer_headers; }

    bool begun = false; // the head of the answer was sent
    int status = status_ok;

private:
    bool take(exchange_event& event, const version_headers& headers_of, relay_end& end);
    bool take_failure(const answer_failed& failed, relay_end& end);

    mg_connection* caller;
    exchange_ptr source;
    adapters::http_client& client;
    header_list answer_headers;
};

// Streams an engine's answer as server-sent events.
class streamed_chat : public answer_relay {
public:
    using answer_relay::answer_relay;

protected:
    bool on_piece(answer_piece& piece) override;
    bool on_complete(const answer_complete& ending) override;
    bool on_failure_midway(const error_response& response) override;
    bool keep_alive() override;

private:
    bool begin();
};

// Collects an engine's answer into one JSON object.
class collected_chat : public answer_relay {
public:
    using answer_relay::answer_relay;

protected:
    bool on_piece(answer_piece& piece) override;
    bool on_complete(const answer_complete& ending) override;
    bool on_failure_midway(const error_response& response) override;
    void on_restart() override;

private:
    std::string content;
    std::string model;
};

// Forwards a plain service's answer unchanged.
class service_answer : public answer_relay {
public:
    using answer_relay::answer_relay;

protected:
    bool on_piece(answer_piece& piece) override;
    bool on_complete(const answer_complete& ending) override;
    bool on_failure_midway(const error_response& response) override;
    void on_head(service_head& head) override;
    [[nodiscard]] std::string outcome() const override;
    void on_restart() override;

private:
    [[nodiscard]] header_list forwarded_fields(std::string& type) const;

    service_head head;
    std::string buffered; // a small body is sent with its head in one write
};

} // namespace pearhaven::router

#endif
