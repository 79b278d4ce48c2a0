#ifndef PEARHAVEN_ADAPTERS_SRC_HTTP_EXCHANGE_HPP
#define PEARHAVEN_ADAPTERS_SRC_HTTP_EXCHANGE_HPP

#include "deadline_index.hpp"
#include "delivery_monitor.hpp"
#include "pearhaven/adapters/http_client.hpp"

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <optional>

namespace pearhaven::adapters {

struct curl_easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using curl_easy = std::unique_ptr<CURL, curl_easy_deleter>;

struct curl_list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

// One request and its answer on one libcurl handle. Used only on the client's thread.
class http_exchange : public with_deadline {
public:
    http_exchange(exchange_number number, http_request request,
                  boost::intrusive_ptr<http_listener> listener, deadline_index& deadlines);

    // Configures the handle. Returns false when the request is invalid.
    [[nodiscard]] bool prepare(curl_easy handle, const http_client_settings& settings);

    [[nodiscard]] exchange_number number() const { return this->own_number; }
    [[nodiscard]] CURL* handle() const { return this->easy.get(); }
    [[nodiscard]] curl_easy release_handle() { return std::move(this->easy); }

    // The exchange's connection, as long as libcurl waits for it.
    void set_socket(curl_socket_t connected) { this->socket = connected; }
    void forget_socket(curl_socket_t closed)
    {
        this->socket = this->socket == closed ? CURL_SOCKET_BAD : this->socket;
    }

    // Keeps the connection to a server that reads the request slowly. Must be called at each
    // `next_check`.
    void check_delivery();

    // Earliest time at which the exchange times out if nothing happens before.
    [[nodiscard]] std::optional<monotonic_time> deadline() const;

    // The deadline, or the next check of a request that is being delivered.
    [[nodiscard]] std::optional<monotonic_time> next_check() const;

    // Returns the error for an expired deadline.
    [[nodiscard]] http_error timeout_error(monotonic_time now) const;

    // Resumes a paused body. Returns false when libcurl refuses, in which case the exchange is
    // lost.
    [[nodiscard]] bool resume();

    // Converts libcurl's result to an error for the caller.
    [[nodiscard]] http_error to_http_error(CURLcode code) const;

    // Whether the system has taken all of the request's body.
    [[nodiscard]] bool is_sent() const;

    // Makes the listener's last call.
    void end(http_error error);

private:
    enum class phase { connecting, awaiting_head, in_body };

    static int on_sending(void* self, char* peer_ip, char* local_ip, int peer_port, int local_port);
    static std::size_t on_header_line(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body_piece(char* data, std::size_t size, std::size_t count, void* self);
    static int on_socket_open(void* self, curl_socket_t socket, curlsocktype purpose);

    [[nodiscard]] bool set_method();
    [[nodiscard]] bool set_headers();
    void set_connection(const http_client_settings& settings);
    void set_callbacks();
    void enter(phase next);
    [[nodiscard]] bool process_header_line(std::string_view line);
    void add_field(std::string_view line);
    void finish_head();

    template <class Value>
    void set(CURLoption option, Value value)
    {
        this->setup_failed |= curl_easy_setopt(this->easy.get(), option, value) != CURLE_OK;
    }

    exchange_number own_number;
    http_request request;
    boost::intrusive_ptr<http_listener> listener;
    deadline_index& deadlines;
    curl_easy easy;
    curl_list header_list;
    std::chrono::milliseconds unacknowledged_timeout{};
    std::optional<delivery_monitor> delivery; // of the request, once it is being sent
    curl_socket_t socket = CURL_SOCKET_BAD;
    bool setup_failed = false;

    phase current = phase::connecting;
    monotonic_time started;
    monotonic_time last_progress;
    unsigned send_count = 0;
    bool paused = false;
    bool head_finished = false;
    bool has_framing = false; // the answer has a length or chunks
    bool malformed = false;   // too large, or with an invalid status
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> answer_headers;
};

} // namespace pearhaven::adapters

#endif
