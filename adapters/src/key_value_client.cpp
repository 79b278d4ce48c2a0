#include "key_value_wire.hpp"
#include "pearhaven/adapters/platform.hpp"

#include <future>

namespace pearhaven::adapters {

namespace {

// Maximum size of an accepted answer, large enough for a range of many pages that are close to the
// maximum value size.
constexpr std::size_t max_answer_bytes = 256U << 20U;

class http_key_value_store : public coordination::key_value_store {
public:
    http_key_value_store(http_client& owner, std::string url, std::chrono::milliseconds limit)
        : client(owner), base_url(std::move(url)), timeout(limit)
    {}

    void submit(const coordination::kv_request& request, completion done) override
    {
        std::optional<http_request> http = to_http(request, this->base_url, this->timeout);
        if (!http) {
            // The client fails a request without a URL without sending it, and does so on its own
            // thread, where all completions must run.
            http.emplace();
        }
        fetch(this->client, std::move(*http), max_answer_bytes,
              [request, callback = std::move(done)](const http_answer& answer) {
                  callback(to_reply(request, answer));
              });
    }

private:
    http_client& client;
    std::string base_url;
    std::chrono::milliseconds timeout;
};

} // namespace

std::unique_ptr<coordination::key_value_store>
make_key_value_store(http_client& client, std::string base_url, std::chrono::milliseconds timeout)
{
    return std::make_unique<http_key_value_store>(client, std::move(base_url), timeout);
}

coordination::kv_reply call_and_wait(coordination::key_value_store& store,
                                     const coordination::kv_request& request)
{
    std::promise<coordination::kv_reply> reply;
    store.submit(request,
                 [&reply](const coordination::kv_reply& value) { reply.set_value(value); });
    return reply.get_future().get();
}

} // namespace pearhaven::adapters
