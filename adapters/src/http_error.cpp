#include "pearhaven/adapters/http_client.hpp"

namespace pearhaven::adapters {

namespace {

class http_error_category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "http client"; }

    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<http_error>(value)) {
        case http_error::none:
            return "no error";
        case http_error::connect_failed:
            return "connection could not be established";
        case http_error::first_byte_timeout:
            return "no answer began before the first-byte timeout";
        case http_error::progress_timeout:
            return "the answer stalled";
        case http_error::total_timeout:
            return "exchange exceeded its total timeout";
        case http_error::connection_lost:
            return "connection closed before the answer was complete";
        case http_error::cancelled:
            return "cancelled";
        case http_error::malformed_answer:
            return "malformed answer";
        case http_error::client_stopped:
            return "client stopped";
        case http_error::invalid_request:
            return "request has an invalid method, URL or header field";
        }
        return "unknown error";
    }
};

} // namespace

std::error_code make_error_code(http_error error)
{
    static const http_error_category category;
    return {static_cast<int>(error), category};
}

} // namespace pearhaven::adapters
