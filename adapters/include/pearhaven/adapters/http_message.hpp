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

// Header fields in the order received, with names in their original spelling.
using http_fields = std::vector<std::pair<std::string, std::string>>;

// Returns the first field with the name, ignoring case; null if there is none.
[[nodiscard]] const std::string* find_field(const http_fields& fields, std::string_view name);

// Compares two field names, ignoring case.
[[nodiscard]] bool same_field_name(std::string_view left, std::string_view right);

// Whether a field can carry the text unchanged: it is not empty, does not begin or end with blanks,
// and has no control characters.
[[nodiscard]] bool is_sendable_value(std::string_view text);

// Whether a field applies to a single connection or frames the message, so that a router must not
// forward it. `connection` is the value of the message's own Connection field, which may name more.
[[nodiscard]] bool is_hop_by_hop(std::string_view name, std::string_view connection);

struct http_request_head {
    std::string method;
    std::string target; // path and query as received
    http_fields fields;
    bool keep_alive = true;

    friend bool operator==(const http_request_head&, const http_request_head&) = default;
};

// Memory that the head, or the fields, take, beside the object itself.
[[nodiscard]] std::size_t allocated_bytes(const http_request_head& head);
[[nodiscard]] std::size_t allocated_bytes(const http_fields& fields);

struct http_response_head {
    int status = 0;
    http_fields fields;
    bool keep_alive = true;
    bool ends_with_connection = false; // no length, no chunks: the body ends with the close

    friend bool operator==(const http_response_head&, const http_response_head&) = default;
};

// Whether the status is that of an answer, or of an interim answer before it. No request asks for
// another protocol, so 101 is neither.
[[nodiscard]] bool is_answer_status(int status);

// Why received bytes are not a valid message.
enum class framing_fault : std::uint8_t {
    none,
    malformed,        // not HTTP, ambiguous framing, or an invalid status
    head_too_long,    // more header bytes, or fields, than allowed
    truncated,        // the connection ended inside a message
    unexpected_bytes, // bytes where no message was expected
};

// Receives the messages of a reader. Functions are called in message order.
class http_message_listener {
public:
    virtual ~http_message_listener() = default;

    // Called with the head of a request or of a response, depending on the reader's kind.
    // `on_response` returns whether the response has no body regardless of its head, as for HEAD.
    virtual void on_request(http_request_head head) = 0;
    [[nodiscard]] virtual bool on_response(http_response_head head) = 0;

    virtual void on_body(std::string_view piece) = 0;
    virtual void on_message_end() = 0;
};

// Most fields that a head may have by default. A field takes many times the memory of its bytes
// when these are few.
inline constexpr std::size_t default_max_head_fields = 256;

enum class http_reader_kind : std::uint8_t { requests, responses };

// Splits the bytes of one connection into messages, using http-parser. It is strict where two
// parsers could disagree on where a message ends, because a request smuggled through such a
// difference would reach an endpoint without being routed: bare line feeds, folded lines, spaces
// before a colon, two lengths, and a length together with chunks are malformed.
class http_reader {
public:
    // The listener must outlive the reader.
    http_reader(http_reader_kind kind, http_message_listener& listener, std::size_t max_head);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    // Applies from the next message on; must not be called inside a message.
    void set_max_head(std::size_t max_head, std::size_t max_fields = default_max_head_fields);

    // Memory of the reader and of the bytes that it holds.
    [[nodiscard]] std::size_t allocated_bytes() const;

    // Memory of an incomplete head.
    [[nodiscard]] std::size_t held_head_bytes() const;

    // Consumes bytes up to the end of at most one message and returns how many. Nothing is consumed
    // after a fault.
    std::size_t feed(std::string_view bytes);

    // The other end closed the connection in an orderly way. This ends a response without a length;
    // within any other message it is a fault.
    void feed_end();

    [[nodiscard]] framing_fault fault() const;

    // Whether a message has begun and not ended.
    [[nodiscard]] bool inside_message() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

// Returns the bytes of a message head, including the blank line. Fields that contain line ends or
// other control characters are omitted.
[[nodiscard]] std::string write_request_head(std::string_view method, std::string_view target,
                                             const http_fields& fields);
[[nodiscard]] std::string write_response_head(int status, const http_fields& fields);

// Returns one chunk of a chunked body; empty for an empty piece.
[[nodiscard]] std::string write_chunk(std::string_view piece);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace pearhaven::adapters

#endif
