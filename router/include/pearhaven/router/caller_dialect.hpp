#ifndef PEARHAVEN_ROUTER_CALLER_DIALECT_HPP
#define PEARHAVEN_ROUTER_CALLER_DIALECT_HPP

#include "pearhaven/adapters/http_inbound.hpp"
#include "pearhaven/adapters/http_outbound.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/decision/traffic_route.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::router {

// A request that the configuration allows, as its dialect understands it.
struct routed_request {
    decision::arrival work; // its ticket is given by the relay
    std::string id;         // as the caller named it; endpoints echo it
    std::string route;      // name
    decision::work_kind kind = decision::work_kind::at_most_once;
    std::uint64_t last_event = 0;       // of a stream, the last event that the caller has; 0: none
    std::vector<std::string> models;    // smallest first; empty: the request names its own
    decision::duration longest_pause{}; // between two events of a stream; zero: no bound

    friend bool operator==(const routed_request&, const routed_request&) = default;
};

// An answer that this router gives by itself.
struct local_answer {
    int status = 0;
    adapters::http_fields fields;
    std::string body;

    friend bool operator==(const local_answer&, const local_answer&) = default;
};

// What the relay knows of one attempt beyond the request itself.
struct attempt_terms {
    decision::endpoint_host endpoint;
    std::string model;              // empty: as the request says
    decision::duration time_left{}; // until the request's deadline
    std::uint64_t last_event = 0;   // the stream is to go on after this event; 0: from its start

    friend bool operator==(const attempt_terms&, const attempt_terms&) = default;
};

enum class answer_meaning : std::uint8_t {
    success,
    endpoint_error,        // it ran and failed, or may have run
    refused,               // it has not run: no room
    refused_leaving,       // it has not run: the endpoint takes no more work
    refused_other_process, // it has not run: another process has the address now
    of_other_request,      // an answer to an earlier request on the connection
};

struct answer_facts {
    answer_meaning meaning = answer_meaning::endpoint_error;
    double confidence = 100.0; // the model's opinion of its answer, 0 to 100

    friend bool operator==(const answer_facts&, const answer_facts&) = default;
};

// How callers and endpoints of one installation speak: names of fields, statuses, who may call
// what. All that decides, waits or repeats is the relay's and the dispatcher's. Functions are pure
// but for what they are given.
class caller_dialect {
public:
    virtual ~caller_dialect() = default;

    // `current` is null while no configuration is known.
    [[nodiscard]] virtual std::variant<routed_request, local_answer>
    read(const adapters::inbound_exchange& caller,
         const decision::configuration* current) const = 0;

    // The request's id as the caller named it, for the log; empty where it names none.
    [[nodiscard]] virtual std::string name_of(const adapters::inbound_exchange& caller) const = 0;

    [[nodiscard]] virtual adapters::outbound_request write(const adapters::inbound_exchange& caller,
                                                           const routed_request& request,
                                                           const attempt_terms& terms) const = 0;

    [[nodiscard]] virtual answer_facts judge(const routed_request& request,
                                             const adapters::http_response_head& head) const = 0;

    // The fields of an endpoint's answer that its caller gets.
    [[nodiscard]] virtual adapters::http_fields
    pass_on(const adapters::http_response_head& head) const = 0;

    [[nodiscard]] virtual local_answer refuse(const routed_request& request,
                                              const decision::failure& why) const = 0;
};

} // namespace pearhaven::router

#endif
