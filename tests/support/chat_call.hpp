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

// What one caller sends.
struct chat_request {
    std::string team_key = "key-of-deposits";
    std::string model = "adjudicator";
    std::string prompt = "How much of the deposit is due?";
    std::uint32_t max_tokens = 8;
    bool streamed = true;
    header_map headers;
};

// What that caller saw.
struct chat_answer {
    int status = 0; // 0: no answer at all
    header_map headers;
    std::string body;                // as it came
    std::vector<std::string> tokens; // contents, in the order of arrival
    bool marked_whole = false; // a closing event and the end marker came, and nothing after them
    std::string error_code;    // of a failure, also in the middle of a stream
    std::string run;           // not_run, ran or unknown
    bool resend = false;

    // Whether it is the whole right answer of the engine stand-in's model for this request.
    [[nodiscard]] bool is_whole_answer_to(const chat_request& request) const;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string to_text() const; // for messages of failing tests
};

// One call of a chat completion, running beside the test.
class chat_call {
public:
    chat_call(adapters::http_client& client, const std::string& router,
              const chat_request& request);
    ~chat_call();
    chat_call(const chat_call&) = delete;
    chat_call& operator=(const chat_call&) = delete;

    // Waits for the answer's end. Throws when it has not come within `patience`.
    chat_answer wait(std::chrono::seconds patience = std::chrono::seconds(60));

    // Waits until so many tokens have come; false when the answer ended before.
    bool wait_for_tokens(std::size_t count,
                         std::chrono::seconds patience = std::chrono::seconds(60));

    // The caller hangs up.
    void hang_up();

private:
    class listener;

    adapters::http_client& http;
    boost::intrusive_ptr<listener> heard;
    adapters::exchange_number exchange = 0;
};

} // namespace pearhaven::tests

#endif
