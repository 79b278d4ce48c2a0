#ifndef PEARHAVEN_ADAPTERS_HTTP_MESSAGE_HPP
#define PEARHAVEN_ADAPTERS_HTTP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

// Header fields in the order in which they came, names as they were spelled.
using http_fields = std::vector<std::pair<std::string, std::string>>;

// The first field of the name, compared without regard to case; null where there is none.
[[nodiscard]] const std::string* find_field(const http_fields& fields, std::string_view name);

// Compares two field names without regard to case.
[[nodiscard]] bool same_field_name(std::string_view left, std::string_view right);

// Whether a field concerns a single connection, or frames the message: a router never passes it
// on. `connection` is the value of the message's own Connection field, which may name more.
[[nodiscard]] bool is_hop_by_hop(std::string_view name, std::string_view connection);

struct http_request_head {
    std::string method;
    std::string target; // path and query as they came
    http_fields fields;
    bool keep_alive = true;

    friend bool operator==(const http_request_head&, const http_request_head&) = default;
};

struct http_response_head {
    int status = 0;
    http_fields fields;
    bool keep_alive = true;
    bool ends_with_connection = false; // neither a length nor chunks: the close is the end

    friend bool operator==(const http_response_head&, const http_response_head&) = default;
};

// Why bytes are not a message that may be passed on.
enum class framing_fault : std::uint8_t {
    none,
    malformed,        // not HTTP, or a form that two readers could take for different messages
    head_too_long,    // more header bytes than allowed
    truncated,        // the connection ended inside a message
    unexpected_bytes, // bytes where no message was due
};

// What a reader found. Functions are called in the order of the message.
class http_message_listener {
public:
    virtual ~http_message_listener() = default;

    // One of the two, by the reader's kind. `on_response` returns whether the answer has no body
    // whatever its head says, as after HEAD.
    virtual void on_request(http_request_head head) = 0;
    [[nodiscard]] virtual bool on_response(http_response_head head) = 0;

    virtual void on_body(std::string_view piece) = 0;
    virtual void on_message_end() = 0;
};

enum class http_reader_kind : std::uint8_t { requests, responses };

// Splits the bytes of one connection into messages, with http-parser below. It is strict where two
// readers could disagree on where a message ends, because a request hidden in such a gap would
// reach an endpoint without ever having been routed: bare line feeds, folded lines, spaces before a
// colon, two lengths, and a length beside chunks are malformed.
class http_reader {
public:
    // The listener must outlive the reader.
    http_reader(http_reader_kind kind, http_message_listener& listener, std::size_t max_head);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    // Holds from the next message on; not to be called inside one.
    void set_max_head(std::size_t max_head);

    // Takes bytes up to the end of one message at most, and returns how many it took. After a
    // fault nothing more is taken.
    std::size_t feed(std::string_view bytes);

    // The other end closed in an orderly way. This ends a response that has no length; within any
    // other message it is a fault.
    void feed_end();

    [[nodiscard]] framing_fault fault() const;

    // Whether a part of a message has come whose end has not.
    [[nodiscard]] bool inside_message() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

// The bytes of a message's head, with the blank line. Fields must hold no line ends: those with
// such bytes are left out.
[[nodiscard]] std::string write_request_head(std::string_view method, std::string_view target,
                                             const http_fields& fields);
[[nodiscard]] std::string write_response_head(int status, const http_fields& fields);

// One chunk of a chunked body; empty for an empty piece.
[[nodiscard]] std::string write_chunk(std::string_view piece);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace pearhaven::adapters

#endif
