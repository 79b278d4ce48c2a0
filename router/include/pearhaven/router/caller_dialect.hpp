#ifndef PEARHAVEN_ROUTER_CALLER_DIALECT_HPP
#define PEARHAVEN_ROUTER_CALLER_DIALECT_HPP

#include "pearhaven/adapters/http_inbound.hpp"
#include "pearhaven/adapters/http_outbound.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/decision/traffic_route.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::router {

// A request that the configuration allows, as parsed by the dialect.
struct routed_request {
    decision::arrival work; // the relay assigns its ticket
    std::string id;         // as sent by the caller; endpoints echo it
    std::string route;      // name
    decision::work_kind kind = decision::work_kind::at_most_once;
    std::uint64_t configuration = 0; // revision of the configuration that allows it
    std::uint64_t last_event = 0;    // last event of the stream that the caller received; 0: none
    std::vector<std::string> models; // smallest first; empty: the request names its own model
    bool names_model = false;        // the caller chose one, rather than leave it to the router
    decision::duration longest_pause{}; // maximum gap between events of a stream; zero: no limit

    friend bool operator==(const routed_request&, const routed_request&) = default;
};

// An answer that the router generates itself, without asking an endpoint.
struct local_answer {
    int status = 0;
    adapters::http_fields fields;
    std::string body;

    friend bool operator==(const local_answer&, const local_answer&) = default;
};

// Parameters of one attempt that are not part of the request itself.
struct attempt_terms {
    decision::endpoint_host endpoint;
    std::string model;              // empty: as named in the request
    decision::duration time_left{}; // until the request's deadline
    std::uint64_t last_event = 0;   // resume the stream after this event; 0: from its start

    // The request goes to another router, at the endpoint's address, which handles it as if the
    // caller had sent it there.
    bool forwarded = false;
    bool only_at_once = false; // with `forwarded`: that router refuses it unless it can start it

    // How the endpoint orders its queue, 0 for the first to 9 for the last; if it is not set, by
    // the request's priority.
    std::optional<std::uint32_t> urgency;

    friend bool operator==(const attempt_terms&, const attempt_terms&) = default;
};

enum class answer_meaning : std::uint8_t {
    success,
    endpoint_error,        // the request ran and failed, or may have run
    unproven,              // not shown to be an endpoint's answer; the request may have run
    refused,               // not run: the endpoint has no capacity
    refused_leaving,       // not run: the endpoint is draining
    refused_other_process, // not run: another process has taken over the address
    refused_model,         // not run: the endpoint does not have the model that the caller named
    of_other_request,      // a stale answer to an earlier request on the connection
};

struct answer_facts {
    answer_meaning meaning = answer_meaning::endpoint_error;
    double confidence = 100.0; // the model's confidence in its answer, 0 to 100

    // The process that answers, as it states; empty if it does not.
    std::string process;

    // What the endpoint states about itself; nothing if the answer is not known to be its own.
    std::optional<decision::endpoint_notice> notice;

    // Revision of the configuration by which another router allowed the request; 0 if it is not
    // stated.
    std::uint64_t configuration = 0;

    friend bool operator==(const answer_facts&, const answer_facts&) = default;
};

// The HTTP conventions of one installation: names of fields, statuses, and who may call what.
// Deadlines, waiting and retries are up to the relay and the dispatcher. Functions depend on their
// arguments only and have no side effects.
class caller_dialect {
public:
    virtual ~caller_dialect() = default;

    // `current` is null while no configuration is known.
    [[nodiscard]] virtual std::variant<routed_request, local_answer>
    read(const adapters::inbound_exchange& caller,
         const decision::configuration* current) const = 0;

    // Whether another router has handed the request on.
    [[nodiscard]] virtual bool is_forwarded(const adapters::inbound_exchange& caller) const = 0;

    // The request's id as sent by the caller, for the log; empty if there is none.
    [[nodiscard]] virtual std::string name_of(const adapters::inbound_exchange& caller) const = 0;

    [[nodiscard]] virtual adapters::outbound_request write(const adapters::inbound_exchange& caller,
                                                           const routed_request& request,
                                                           const attempt_terms& terms) const = 0;

    [[nodiscard]] virtual answer_facts judge(const routed_request& request,
                                             const adapters::http_response_head& head) const = 0;

    // Like `judge`, for an answer of the router that a request was forwarded to.
    [[nodiscard]] virtual answer_facts
    judge_forwarded(const routed_request& request,
                    const adapters::http_response_head& head) const = 0;

    // The header fields of an endpoint's answer that are forwarded to the caller. If that is
    // another router, they state the configuration that allowed the request.
    [[nodiscard]] virtual adapters::http_fields
    forwarded_fields(const routed_request& request,
                     const adapters::http_response_head& head) const = 0;

    [[nodiscard]] virtual local_answer refuse(const routed_request& request,
                                              const decision::failure& why) const = 0;
};

} // namespace pearhaven::router

#endif
