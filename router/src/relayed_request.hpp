#ifndef PEARHAVEN_ROUTER_SRC_RELAYED_REQUEST_HPP
#define PEARHAVEN_ROUTER_SRC_RELAYED_REQUEST_HPP

#include "event_splitter.hpp"
#include "pace_meter.hpp"

#include "pearhaven/router/caller_dialect.hpp"

#include <optional>
#include <string>

namespace pearhaven::router {

// What is done with the answer that an attempt gets.
enum class answer_use : std::uint8_t {
    awaited,   // no head has come
    discarded, // a refusal, whose body says nothing more
    buffered,  // gathered, and delivered once it is whole
    forwarded, // delivered as it comes
};

// One attempt of a request, as the relay sees it.
struct relayed_attempt {
    decision::attempt_number number = 0; // 0: none is under way
    adapters::outbound_number exchange = 0;
    decision::endpoint_host endpoint;
    std::string target_label; // version, and size of the model where there is a choice, for the log
    decision::instant started;
    decision::duration first_token{};
    adapters::http_response_head head;
    answer_facts facts;
    answer_use use = answer_use::awaited;
    std::string buffered;
    event_splitter events;
    std::uint64_t tokens = 0; // events passed on
    pace_meter pace;
    std::uint32_t silences = 0; // waits in a row that brought nothing
    bool invalid = false;       // an event that does not follow the one before
};

// A request between its caller and the endpoints.
struct relayed_request {
    adapters::inbound_exchange_ptr caller;
    routed_request request;
    relayed_attempt attempt;
    bool began = false;            // a part of the answer has gone to the caller
    decision::instant first_piece; // when it did
    decision::instant last_piece;
    decision::duration longest_pause{};        // between two pieces, for the log
    std::uint64_t last_event = 0;              // that the caller has
    std::optional<local_answer> failed_answer; // an endpoint's own, should there be no better one
    std::string history;                       // of attempts, for the log
};

} // namespace pearhaven::router

#endif
