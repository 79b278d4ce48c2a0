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

// Why an outgoing exchange ended without a whole answer.
enum class http_error {
    none = 0,
    connect_failed,     // no connection within its time: nothing was offered to the other end
    first_byte_timeout, // connected and sent, but no answer began in time
    progress_timeout,   // the answer began, then went silent: the connection is to blame first
    total_timeout,
    connection_lost, // closed by the other end before the answer was whole
    cancelled,
    malformed_answer,
    client_stopped,
    invalid_request, // cannot be sent as it stands: bad method, URL or header field
};

std::error_code make_error_code(http_error error);

// Fields that frame the message or belong to one connection (Content-Length, Transfer-Encoding,
// Connection, Expect) are set by the client itself and ignored among `headers`. A timeout of 0
// means none.
struct http_request {
    std::string method = "GET";
    std::string url; // http only, with an IP number as host
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds first_byte_timeout{30000}; // from when sending the request begins
    std::chrono::milliseconds progress_timeout{10000}; // longest silence once the answer has begun;
                                                       // a paused exchange is not silent
    std::chrono::milliseconds total_timeout{0};
    bool fresh_connection = false; // do not reuse a pooled connection, and do not pool this one

    // Whether the request may be sent a second time when the pooled connection that carried it
    // closes before any byte of an answer. The other end may have run it by then: false for
    // whatever must not run twice. Such a request ends with `connection_lost` instead.
    bool may_resend = true;

    std::size_t max_body = std::numeric_limits<std::size_t>::max(); // longer answers are malformed

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_result {
    std::error_code error;     // empty when the answer came whole, whatever its status
    int status = 0;            // 0 until a status line came
    bool request_sent = false; // false only when not one byte of the request left this process
};

// Receives one exchange on the client's thread. Its functions must neither block nor throw.
class http_listener : public boost::intrusive_ref_counter<http_listener> {
public:
    virtual ~http_listener() = default;

    // Status and header fields (names in lower case), once, before the body.
    virtual void on_head(int status,
                         const std::vector<std::pair<std::string, std::string>>& headers) = 0;

    // A piece of the body. False when there is no room: the same piece comes again after `resume`.
    [[nodiscard]] virtual bool on_body(std::string_view piece) = 0;

    // Called exactly once, last.
    virtual void on_end(const http_result& result) = 0;
};

using exchange_number = std::uint64_t;

// Every outgoing HTTP call of the process, on one thread that multiplexes all of them and pools
// connections. All functions may be called from any thread and do not block.
class http_client {
public:
    virtual ~http_client() = default;
    virtual exchange_number start(http_request request,
                                  boost::intrusive_ptr<http_listener> listener) = 0;
    virtual void cancel(exchange_number exchange) = 0;
    virtual void resume(exchange_number exchange) = 0;

    // Ends all exchanges with `client_stopped` and joins the thread; the destructor does so too.
    // Not for the client's own thread. An exchange started later ends at once, on the starting
    // thread.
    virtual void stop() = 0;
};

struct http_client_settings {
    std::size_t pooled_connections = 512;    // idle ones, beside those in use
    std::chrono::seconds keepalive_probe{5}; // TCP keepalive on idle connections

    // Longest time that sent bytes may wait for the other host's acknowledgement. A connection that
    // something in between has lost track of ends after it with `connection_lost`, long before a
    // slow answer would be given up. A busy or frozen process does not trip it: its host still
    // acknowledges.
    std::chrono::milliseconds unacknowledged_timeout{3000};
};

std::unique_ptr<http_client> make_http_client(const http_client_settings& settings);

// A whole answer, for short calls that need no streaming.
struct http_answer {
    http_result result;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// Calls back on the client's thread with the whole answer; bodies over `max_body` bytes end the
// exchange with `malformed_answer`.
exchange_number fetch(http_client& client, http_request request, std::size_t max_body,
                      std::function<void(const http_answer&)> done);

// Blocks the calling thread until the answer is there. Not for the client's own thread.
http_answer fetch_and_wait(http_client& client, http_request request, std::size_t max_body);

} // namespace pearhaven::adapters

template <>
struct std::is_error_code_enum<pearhaven::adapters::http_error> : std::true_type {};

#endif
