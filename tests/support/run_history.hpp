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

// What one send of a request came to, as its caller saw it.
struct seen_answer {
    bool whole = false;
    int status = 0;  // 0: no answer at all
    std::string run; // of a failure: not_run, ran or unknown
    std::string code;
    std::string retry_after;

    static seen_answer of(const chat_answer& answer, const chat_request& request);
    static seen_answer of(const adapters::http_answer& answer); // of a plain service

    [[nodiscard]] std::string to_text() const; // for messages of failing tests
};

// Every answer that callers got, to be compared with the stand-ins' own record of what ran and with
// the bills. Requests are told apart by their idempotency keys, so each must have one. Safe from
// any thread.
class run_history {
public:
    // Identifier that routers give to the request of the team `deposits` with this key; runs and
    // bills carry it.
    static std::string request_of(const std::string& idempotency_key);

    // Every send must be noted, also one without any answer.
    void note(const std::string& idempotency_key, const seen_answer& answer);

    // Requests with this key must run at most once.
    void expect_at_most_one_run(const std::string& idempotency_key);

    // Sends the request, waits for its end and notes it. An answer that does not end in time counts
    // as none, so that callers on threads of their own need not handle exceptions.
    chat_answer ask(test_fleet& fleet, std::size_t router, const chat_request& request);

    // What contradicts the runs: a request that ran although each send of it was answered
    // `not_run`, a whole answer without a finished run, a second run of what must run once.
    [[nodiscard]] std::vector<std::string> check(const std::vector<nlohmann::json>& runs) const;

    // What contradicts the bills: a request billed twice, one without a finished run, one whose
    // bill is that of no finished run, and a whole answer that is not billed.
    [[nodiscard]] std::vector<std::string> check_bills(const std::vector<nlohmann::json>& runs,
                                                       const nlohmann::json& bills) const;

    // Requests with a whole answer.
    [[nodiscard]] std::size_t count_whole() const;

private:
    struct request_notes {
        std::vector<seen_answer> answers;
        bool at_most_one_run = false;

        [[nodiscard]] bool has_whole() const;
        [[nodiscard]] bool is_not_run_only() const;
    };

    mutable std::mutex mutex;
    std::map<std::string, request_notes> requests; // by their identifiers
};

// One line for each, for messages of failing tests.
std::string join(const std::vector<std::string>& lines);

} // namespace pearhaven::tests

#endif
