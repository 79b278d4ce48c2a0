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

// Client of the platform's key-value service at `base_url` (such as http://127.0.0.1:7000). When no
// answer arrives within the timeout, a write ends as `unknown` and a read as `unavailable`; a watch
// may take its own wait in addition. A write ends as `unavailable` only when it was not sent, or
// was refused with 503 or 413. Values over 1 MiB and text that is not UTF-8 are not sent. A write
// is never sent twice. `client` must outlive the store; completions run on the client's thread.
std::unique_ptr<coordination::key_value_store>
make_key_value_store(http_client& client, std::string base_url, std::chrono::milliseconds timeout);

// Submits the request and blocks the calling thread until the reply arrives. Must not be called on
// the HTTP client's own thread.
coordination::kv_reply call_and_wait(coordination::key_value_store& store,
                                     const coordination::kv_request& request);

// One endpoint host as listed by the platform. The list may be stale.
struct listed_host {
    std::string name;
    std::string address; // IP:port
    std::string zone;
    std::uint64_t incarnation = 0; // increases each time the host is replaced
    bool leaving = false;
    decision::labels tags;

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

// Fetches the host list once. Calls back on the client's thread, with nothing when no list is
// received within 2 s. Entries without a name, an IP address with a port, or an incarnation are
// skipped, so that one invalid entry does not hide the others. Any state other than "live" counts
// as leaving.
void fetch_host_list(http_client& client, const std::string& base_url,
                     std::function<void(const std::optional<std::vector<listed_host>>&)> done);

} // namespace pearhaven::adapters

#endif
