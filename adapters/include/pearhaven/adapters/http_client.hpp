#ifndef PEARHAVEN_ADAPTERS_HTTP_CLIENT_HPP
#define PEARHAVEN_ADAPTERS_HTTP_CLIENT_HPP

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

// Why an outgoing exchange ended without a complete answer.
enum class http_error {
    none = 0,
    connect_failed,     // no connection within the timeout; nothing was sent
    first_byte_timeout, // the request was sent, but no answer began in time
    progress_timeout,   // the answer began, then stalled: a connection fault is most likely
    total_timeout,
    connection_lost, // closed by the other end before the answer was complete
    cancelled,
    malformed_answer,
    client_stopped,
    invalid_request, // invalid method, URL or header field
};

std::error_code make_error_code(http_error error);

// The client sets the fields that frame the message or apply to one connection (Content-Length,
// Transfer-Encoding, Connection, Expect) and ignores them in `headers`. A timeout of 0 means none.
struct http_request {
    std::string method = "GET";
    std::string url; // http only, with an IP number as host
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds first_byte_timeout{30000}; // from the start of sending
    std::chrono::milliseconds progress_timeout{10000};   // longest gap after the answer began;
                                                         // not applied while paused
    std::chrono::milliseconds total_timeout{0};
    bool fresh_connection = false; // use a new connection and do not pool it

    // Whether the request may be sent again when the pooled connection that carried it closes
    // before any byte of the answer. The other end may already have executed it, so this must be
    // false for requests that must not run twice. Such a request ends with `connection_lost`
    // instead.
    bool may_resend = true;

    std::size_t max_body = std::numeric_limits<std::size_t>::max(); // longer answers are malformed

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_result {
    std::error_code error;     // empty when the answer is complete, whatever its status
    int status = 0;            // 0 until a status line was received
    bool request_sent = false; // false only when no byte of the request was sent
};

// Receives the events of one exchange on the client's thread. Its functions must neither block nor
// throw.
class http_listener : public boost::intrusive_ref_counter<http_listener> {
public:
    virtual ~http_listener() = default;

    // Called once with the status and header fields (names in lower case), before the body.
    virtual void on_head(int status,
                         const std::vector<std::pair<std::string, std::string>>& headers) = 0;

    // Receives a piece of the body. Returns false when the listener has no space; the same piece is
    // delivered again after `resume`.
    [[nodiscard]] virtual bool on_body(std::string_view piece) = 0;

    // Called exactly once, as the last function.
    virtual void on_end(const http_result& result) = 0;
};

using exchange_number = std::uint64_t;

// An HTTP client that multiplexes all its exchanges on one thread and pools connections. All
// functions may be called from any thread and do not block.
class http_client {
public:
    virtual ~http_client() = default;
    virtual exchange_number start(http_request request,
                                  boost::intrusive_ptr<http_listener> listener) = 0;
    virtual void cancel(exchange_number exchange) = 0;
    virtual void resume(exchange_number exchange) = 0;

    // Ends all exchanges with `client_stopped` and joins the thread; the destructor does the same.
    // Must not be called on the client's own thread. An exchange started later ends immediately, on
    // the thread that starts it.
    virtual void stop() = 0;
};

struct http_client_settings {
    std::size_t pooled_connections = 512; // maximum of idle connections, besides those in use

    // Longest time that sent bytes may remain unacknowledged by the other host. When a device on
    // the path has lost the state of a connection, the exchange ends with `connection_lost` after
    // this time, long before the timeout of a slow answer. A busy or stopped process does not
    // trigger it, because its host still acknowledges.
    std::chrono::milliseconds unacknowledged_timeout{3000};
};

std::unique_ptr<http_client> make_http_client(const http_client_settings& settings);

// A complete answer, for short calls that need no streaming.
struct http_answer {
    http_result result;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// Calls `done` on the client's thread with the complete answer. Bodies over `max_body` bytes end
// the exchange with `malformed_answer`.
exchange_number fetch(http_client& client, http_request request, std::size_t max_body,
                      std::function<void(const http_answer&)> done);

// Blocks the calling thread until the answer is complete. Must not be called on the client's own
// thread.
http_answer fetch_and_wait(http_client& client, http_request request, std::size_t max_body);

} // namespace pearhaven::adapters

template <>
struct std::is_error_code_enum<pearhaven::adapters::http_error> : std::true_type {};

#endif
