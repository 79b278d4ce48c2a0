#ifndef PEARHAVEN_TESTS_CHAT_CALL_HPP
#define PEARHAVEN_TESTS_CHAT_CALL_HPP

#include "pearhaven/adapters/http_client.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pearhaven::tests {

using header_map = std::map<std::string, std::string>; // names in lower case

// A chat request of one caller.
struct chat_request {
    std::string team_key = "key-of-deposits";
    std::string model = "adjudicator";
    std::string prompt = "How much of the deposit is due?";
    std::uint32_t max_tokens = 8;
    bool streamed = true;
    header_map headers;
};

// The answer as that caller received it.
struct chat_answer {
    int status = 0; // 0: no answer at all
    header_map headers;
    std::string body;                // unparsed
    std::vector<std::string> tokens; // contents, in the order of arrival
    bool marked_complete = false;    // a closing event and then the end marker came last
    std::string error_code;          // of a failure, also in the middle of a stream
    std::string run;                 // not_run, ran or unknown
    bool resend = false;

    // Whether it is the complete and correct answer of the simulated engine's model to this
    // request.
    [[nodiscard]] bool is_complete_answer_to(const chat_request& request) const;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string to_text() const; // for messages of failing tests
};

// One chat completion call, running concurrently with the test.
class chat_call {
public:
    chat_call(adapters::http_client& client, const std::string& router,
              const chat_request& request);
    ~chat_call();
    chat_call(const chat_call&) = delete;
    chat_call& operator=(const chat_call&) = delete;

    // Waits for the end of the answer. Throws when it has not come within `patience`.
    chat_answer wait(std::chrono::seconds patience = std::chrono::seconds(60));

    // Waits for this many tokens; false when the answer ended before.
    bool wait_for_tokens(std::size_t count,
                         std::chrono::seconds patience = std::chrono::seconds(60));

    // Cancels the call as the caller.
    void hang_up();

private:
    class listener;

    adapters::http_client& http;
    boost::intrusive_ptr<listener> received;
    adapters::exchange_number exchange = 0;
};

} // namespace pearhaven::tests

#endif
