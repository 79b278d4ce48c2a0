#ifndef PEARHAVEN_ROUTER_EXCHANGE_HPP
#define PEARHAVEN_ROUTER_EXCHANGE_HPP

#include "pearhaven/adapters/bounded_ring.hpp"
#include "pearhaven/adapters/http_client.hpp"
#include "pearhaven/coordination/once_claims.hpp"
#include "pearhaven/decision/dispatcher.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pearhaven::router {

// Tokens used by a completed run.
struct usage {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;

    friend bool operator==(const usage&, const usage&) = default;
};

// A run of the request was started. Results of earlier runs are void.
struct run_started {
    std::string version;
};

// Status and header fields of a plain service's answer.
struct service_head {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
};

// Part of the answer: complete server-sent events of an engine, or bytes of a plain service.
struct answer_piece {
    std::vector<std::string> events;
    std::string bytes;
};

// The answer is complete and billed.
struct answer_complete {
    usage used;
    std::string last_event; // the engine's closing event, sent only after the bill is safe
};

struct answer_failed {
    decision::failure why;
};

// Result of claiming a request that must run at most once.
struct claim_answer {
    std::optional<coordination::claim_number> granted;
    decision::failure why; // set if the claim was not granted
};

using exchange_event = std::variant<run_started, service_head, answer_piece, answer_complete,
                                    answer_failed, claim_answer>;

// One request shared by the router's threads: the caller's thread waits on its ring, and the others
// push events into it. Reference-counted, since a late event may outlive the caller.
class exchange : public boost::intrusive_ref_counter<exchange> {
public:
    // Slots of the ring that are reserved for events other than pieces of the answer. The few
    // events that end an exchange must always find a free slot: their senders may not block, and
    // without them a caller would hang.
    static constexpr std::size_t ring_size = 64;
    static constexpr std::size_t reserved = 8;

    [[nodiscard]] bool has_room() const { return this->events.size() + reserved < ring_size; }

    // Whether the next piece of the answer fits. If not, `paused` is set, and the caller's thread
    // resumes the transfer after it has taken an event.
    [[nodiscard]] bool has_room_or_pauses()
    {
        if (this->has_room()) {
            return true;
        }
        // The flag is set before the second check. Otherwise the caller's thread could empty the
        // ring in between without seeing the flag, and the transfer would stay paused forever.
        this->paused.store(true);
        if (!this->has_room()) {
            return false;
        }
        this->paused.store(false);
        return true;
    }

    void push(exchange_event event)
    {
        // The ring is full only if the caller has disconnected.
        static_cast<void>(this->events.try_push(event));
    }

    // Set by the caller's thread when it stops waiting for its claim.
    std::atomic<bool> claim_abandoned{false};

    // Set by the HTTP client's thread when the transfer has to wait for the caller.
    std::atomic<bool> paused{false};
    std::atomic<adapters::exchange_number> transfer{0};

    // Set before the request is passed to the dispatcher; read-only afterwards.
    decision::ticket_number ticket = 0;
    std::string request_id;
    std::string team;
    bool is_service = false;
    bool streamed = false;
    bool idempotent = true;
    std::string method; // of a call to a plain service
    std::string path;
    std::string body; // of a chat request: the JSON object after its `model` field
    std::string content_type;
    std::uint32_t priority = 0;
    std::chrono::steady_clock::time_point arrived_at;

    adapters::bounded_ring<exchange_event> events{ring_size};
};

using exchange_ptr = boost::intrusive_ptr<exchange>;

} // namespace pearhaven::router

#endif
