#ifndef PEARHAVEN_ADAPTERS_PLATFORM_HPP
#define PEARHAVEN_ADAPTERS_PLATFORM_HPP

#include "pearhaven/adapters/http_client.hpp"
#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/decision/configuration.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::adapters {

// The platform's key-value service at `base_url` (like http://127.0.0.1:7000). An answer that takes
// longer than the timeout counts as `unknown` for writes and `unavailable` for reads; a watch may
// take its own wait on top. A write is `unavailable` only when it was not sent, or refused with 503
// or 413; a value over 1 MiB or a text that is not UTF-8 is not sent. No write is ever sent twice.
// `client` must outlive the store; completions run on its thread.
std::unique_ptr<coordination::key_value_store>
make_key_value_store(http_client& client, std::string base_url, std::chrono::milliseconds timeout);

// Blocks the calling thread until the reply is there. Not for the HTTP client's own thread.
coordination::kv_reply call_and_wait(coordination::key_value_store& store,
                                     const coordination::kv_request& request);

// One endpoint host as the platform's host list shows it. The list lags.
struct listed_host {
    std::string name;
    std::string address; // IP:port
    std::string zone;
    std::uint64_t incarnation = 0; // grows each time the host is replaced
    bool leaving = false;
    decision::labels tags;

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

// Fetches the host list once. Calls back on the client's thread, with nothing when the list cannot
// be had within 2 s. Entries without a name, an IP number with a port, or an incarnation are
// left out, so that one of them does not hide all others; a state other than "live" counts as
// leaving.
void fetch_host_list(http_client& client, const std::string& base_url,
                     std::function<void(const std::optional<std::vector<listed_host>>&)> done);

} // namespace pearhaven::adapters

#endif
