#ifndef PEARHAVEN_TESTS_RUN_HISTORY_HPP
#define PEARHAVEN_TESTS_RUN_HISTORY_HPP

#include "chat_call.hpp"
#include "test_fleet.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pearhaven::tests {

// The outcome of one send of a request, as its caller observed it.
struct observed_answer {
    bool whole = false;
    int status = 0;  // 0: no answer at all
    std::string run; // of a failure: not_run, ran or unknown
    std::string code;
    std::string retry_after;

    static observed_answer of(const chat_answer& answer, const chat_request& request);
    static observed_answer of(const adapters::http_answer& answer); // of a plain service

    [[nodiscard]] std::string to_text() const; // for messages of failing tests
};

// Records every answer to callers, to be compared with the bills and with the runs that the
// simulated engines recorded. Requests are identified by their idempotency keys, so each must have
// one. Thread-safe.
class run_history {
public:
    // The identifier of the request of the team `deposits` with this key in runs and bills.
    static std::string request_of(const std::string& idempotency_key);

    // Must be called for every send, also for one without any answer.
    void note(const std::string& idempotency_key, const observed_answer& answer);

    // Requests with this key must run at most once.
    void expect_at_most_one_run(const std::string& idempotency_key);

    // Sends the request, waits for the end of the answer and records it. An answer that does not
    // end in time counts as none, so that callers on other threads need not handle exceptions.
    chat_answer ask(test_fleet& fleet, std::size_t router, const chat_request& request);

    // Returns contradictions to the runs: a request that ran although each send of it was answered
    // `not_run`, a complete answer without a finished run, a second run of a request that must run
    // at most once.
    [[nodiscard]] std::vector<std::string> check(const std::vector<nlohmann::json>& runs) const;

    // Returns contradictions to the bills: a request billed twice, a bill without a finished run,
    // one that matches no finished run, and a complete answer that is not billed.
    [[nodiscard]] std::vector<std::string> check_bills(const std::vector<nlohmann::json>& runs,
                                                       const nlohmann::json& bills) const;

    // Number of requests with a complete answer.
    [[nodiscard]] std::size_t count_complete() const;

private:
    struct request_notes {
        std::vector<observed_answer> answers;
        bool at_most_one_run = false;

        [[nodiscard]] bool has_complete_answer() const;
        [[nodiscard]] bool is_only_not_run() const;
    };

    mutable std::mutex mutex;
    std::map<std::string, request_notes> requests; // by their identifiers
};

// Joins the lines, for messages of failing tests.
std::string join(const std::vector<std::string>& lines);

} // namespace pearhaven::tests

#endif
