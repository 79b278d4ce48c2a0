#ifndef PEARHAVEN_DECISION_SRC_REQUEST_LIMIT_HPP
#define PEARHAVEN_DECISION_SRC_REQUEST_LIMIT_HPP

#include "pearhaven/decision/time.hpp"

#include <optional>

namespace pearhaven::decision {

// The rate of requests that an endpoint accepts from all routers together, as last stated.
class request_limit {
public:
    // An answer to a request that was sent at `sent` stated this rate in requests per second, or
    // none. Returns whether the known rate changed.
    bool on_answer(std::optional<double> stated, instant sent, instant now);

    [[nodiscard]] std::optional<double> rate() const { return this->current; }

private:
    std::optional<double> current;
    instant stated_at; // when the last answer with a rate arrived
};

} // namespace pearhaven::decision

#endif
