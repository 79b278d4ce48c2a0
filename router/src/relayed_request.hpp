#ifndef PEARHAVEN_ROUTER_SRC_RELAYED_REQUEST_HPP
#define PEARHAVEN_ROUTER_SRC_RELAYED_REQUEST_HPP

#include "event_splitter.hpp"
#include "pace_meter.hpp"

#include "pearhaven/router/caller_dialect.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pearhaven::router {

// How the answer to an attempt is handled.
enum class answer_use : std::uint8_t {
    awaited,   // no head received yet
    discarded, // a refusal, whose body is not needed
    buffered,  // collected, and delivered once complete
    forwarded, // delivered as it arrives
};

// The relay's state of one attempt.
struct relayed_attempt {
    decision::attempt_number number = 0; // 0: no attempt in flight
    adapters::outbound_number exchange = 0;
    decision::endpoint_host endpoint;
    bool forwarded = false;   // to another router, at the endpoint's address
    std::string target_label; // version and model size index, for the log
    std::uint32_t size = 0;   // model size index
    decision::instant started;
    decision::duration first_token{};
    adapters::http_response_head head;
    std::size_t head_bytes = 0; // memory that its fields take
    answer_facts facts;
    answer_use use = answer_use::awaited;
    std::string buffered;
    std::size_t discarded_bytes = 0; // of a refusal
    event_splitter events;
    std::uint64_t tokens = 0; // events forwarded
    pace_meter pace;
    std::uint32_t silences = 0; // consecutive timeouts without a piece
    bool invalid = false;       // an event was out of sequence or too large
};

// The relay's state of one request.
struct relayed_request {
    adapters::inbound_exchange_ptr caller;
    routed_request request;
    relayed_attempt attempt;
    bool began = false;            // part of the answer was sent to the caller
    decision::instant first_piece; // when the answer began
    decision::instant last_piece;
    decision::duration longest_pause{};        // between two pieces, for the log
    std::uint64_t last_event = 0;              // last event sent to the caller
    std::optional<local_answer> failed_answer; // an endpoint's, used if no attempt succeeds
    adapters::byte_charge failed_answer_charge;
    std::string history; // attempts so far, for the log
};

} // namespace pearhaven::router

#endif
