#include "engine_attempt.hpp"
#include "engine_event.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;
using pearhaven::adapters::http_error;
using pearhaven::adapters::http_result;
using pearhaven::decision::attempt_end;
using pearhaven::decision::attempt_result;

namespace {

class recording_sink : public routing_sink {
public:
    bool submit(routing_event event) override
    {
        this->events.push_back(std::move(event));
        return true;
    }

    bool offer(routing_event& event) override { return this->submit(std::move(event)); }

    [[nodiscard]] attempt_end only_end() const
    {
        return std::get<attempt_ended>(this->events.at(0)).end;
    }

    std::vector<routing_event> events;
};

std::string token(int index)
{
    return R"({"id":"run-1","index":)" + std::to_string(index) +
           R"(,"choices":[{"delta":{"content":"x "},"finish_reason":null}]})";
}

std::string closing(int index)
{
    return R"({"id":"run-1","index":)" + std::to_string(index) +
           R"(,"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":)" +
           std::to_string(index) + "}}";
}

std::string events(const std::vector<std::string>& data)
{
    std::string text;
    for (const auto& one : data) {
        text += "data: " + one + "\n\n";
    }
    return text;
}

} // namespace

TEST_GROUP(engine_attempt_test)
{
    recording_sink sink;
    exchange_ptr caller{new exchange};
    engine_run_ptr run{new engine_run("run-1", "adjudicator-1")};

    boost::intrusive_ptr<engine_attempt> begin(bool resumed = false)
    {
        boost::intrusive_ptr<engine_attempt> attempt(
            new engine_attempt(sink, caller, run, 1, resumed));
        attempt->on_head(200, {});
        return attempt;
    }

    std::size_t tokens_for_caller()
    {
        std::size_t count = 0;
        while (auto event = caller->events.pop_for(std::chrono::seconds(0))) {
            if (const auto* piece = std::get_if<answer_piece>(&*event)) {
                count += piece->events.size();
            }
        }
        return count;
    }
};

TEST(engine_attempt_test, a_stream_with_all_tokens_and_its_end_marker_is_finished)
{
    const auto attempt = this->begin();
    CHECK_TRUE(attempt->on_body(events({token(0), token(1), closing(2), "[DONE]"})));
    attempt->on_end({});
    CHECK_TRUE(sink.only_end().result == attempt_result::finished);
    LONGS_EQUAL(2, this->tokens_for_caller());
}

// The connection is closed cleanly after some tokens. Without the end marker the answer is
// incomplete.
TEST(engine_attempt_test, a_stream_that_ends_early_is_not_finished)
{
    const auto attempt = this->begin();
    CHECK_TRUE(attempt->on_body(events({token(0), token(1)})));
    attempt->on_end({});
    CHECK_TRUE(sink.only_end().result == attempt_result::failed);
    LONGS_EQUAL(2, sink.only_end().tokens);
}

TEST(engine_attempt_test, a_gap_in_the_tokens_fails_the_run)
{
    const auto attempt = this->begin();
    CHECK_TRUE(attempt->on_body(events({token(0), token(2), closing(3), "[DONE]"})));
    attempt->on_end({});
    CHECK_TRUE(sink.only_end().result == attempt_result::failed);
    CHECK_TRUE(sink.only_end().answered_error);
}

TEST(engine_attempt_test, the_answer_of_another_run_is_rejected)
{
    const auto attempt = this->begin();
    auto other = token(0);
    other.replace(other.find("run-1"), 5, "run-2");
    CHECK_TRUE(attempt->on_body(events({other})));
    attempt->on_end({});
    CHECK_TRUE(sink.only_end().answered_error);
    LONGS_EQUAL(0, this->tokens_for_caller());
}

TEST(engine_attempt_test, tokens_repeated_by_a_resumed_stream_reach_the_caller_once)
{
    CHECK_TRUE(this->begin()->on_body(events({token(0), token(1)})));
    const auto resumed = this->begin(true);
    CHECK_TRUE(resumed->on_body(events({token(1), token(2), closing(3), "[DONE]"})));
    resumed->on_end({});
    CHECK_TRUE(sink.only_end().result == attempt_result::finished);
    LONGS_EQUAL(3, this->tokens_for_caller());
}

TEST(engine_attempt_test, a_run_unknown_to_the_engine_is_lost)
{
    boost::intrusive_ptr<engine_attempt> resumed(new engine_attempt(sink, caller, run, 1, true));
    resumed->on_head(404, {{"x-not-run", "true"}});
    resumed->on_end({});
    CHECK_TRUE(sink.only_end().result == attempt_result::failed);
    CHECK_TRUE(sink.only_end().run_lost);
}

TEST(engine_attempt_test, a_refusal_with_code_draining_marks_the_endpoint_as_leaving)
{
    boost::intrusive_ptr<engine_attempt> attempt(new engine_attempt(sink, caller, run, 1, false));
    attempt->on_head(503, {{"x-not-run", "true"}});
    CHECK_TRUE(attempt->on_body(R"({"error":{"code":"draining","message":""}})"));
    attempt->on_end({});
    CHECK_TRUE(sink.only_end().result == attempt_result::refused);
    CHECK_TRUE(sink.only_end().endpoint_leaving);
}

TEST(engine_attempt_test, silence_is_distinguished_from_a_lost_connection)
{
    this->begin()->on_end({http_error::progress_timeout, 200, true});
    CHECK_TRUE(sink.only_end().result == attempt_result::went_silent);
}

TEST(engine_attempt_test, a_full_ring_pauses_the_transfer_and_sets_its_flag)
{
    const auto attempt = this->begin();
    int index = 0;
    while (attempt->on_body(events({token(index)}))) {
        ++index;
    }
    CHECK_TRUE(caller->paused.load());
    LONGS_EQUAL(index, this->tokens_for_caller());
}

// An endpoint sends JSON with fields of unexpected types. The run fails; the router and its other
// streams continue.
TEST(engine_attempt_test, an_event_with_fields_of_wrong_types_fails_only_its_run)
{
    const std::vector<std::string> odd = {
        R"({"id":5,"index":0})", R"({"id":"run-1","index":-1})", R"({"id":"run-1","index":1e300})",
        R"({"id":"run-1","index":0,"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":"x"}})",
        R"({"id":"run-1","index":0,"choices":[5],"usage":{"completion_tokens":1e300}})"};
    for (const auto& event : odd) {
        this->sink.events.clear();
        const auto attempt = this->begin();
        CHECK_TRUE(attempt->on_body(events({event})));
        attempt->on_end({});
        CHECK_TRUE(sink.only_end().result == attempt_result::failed);
    }
}

TEST(engine_attempt_test, an_error_code_of_the_wrong_type_does_not_mean_draining)
{
    for (const auto* const body : {R"({"error":{"code":5}})", R"({"error":[]})", "[", "5"}) {
        this->sink.events.clear();
        boost::intrusive_ptr<engine_attempt> attempt(
            new engine_attempt(sink, caller, run, 1, false));
        attempt->on_head(503, {{"x-not-run", "true"}});
        CHECK_TRUE(attempt->on_body(body));
        attempt->on_end({});
        CHECK_TRUE(sink.only_end().result == attempt_result::refused);
        CHECK_FALSE(sink.only_end().endpoint_leaving);
    }
}

TEST(engine_attempt_test, a_load_report_with_a_field_out_of_range_is_rejected)
{
    const auto load = read_load(R"({"running":2,"queued":1.5,"age_ms":20,"draining":true})", 0);
    CHECK_TRUE(load.has_value());
    DOUBLES_EQUAL(1.5, load->queued, 0.0);
    CHECK_TRUE(load->age == std::chrono::milliseconds(20));
    CHECK_TRUE(load->draining);
    for (const auto* const body :
         {"", "[]", R"({"running":"2"})", R"({"capacity":-1})", R"({"age_ms":1e300})",
          R"({"age_ms":9223372036854775807})", R"({"draining":1})", R"({"queued":null})",
          R"({"incarnation":-1})", R"({"incarnation":1.5})", R"({"incarnation":"7"})"}) {
        CHECK_FALSE(read_load(body, 0).has_value());
    }
}

// After an engine restarts, a late report of its previous incarnation may arrive, or the host list
// may show the new incarnation only after its first report. A report without an incarnation could
// be attributed to either.
TEST(engine_attempt_test, a_load_report_without_an_incarnation_is_attributed_to_the_expected_one)
{
    CHECK_EQUAL(7U, read_load(R"({"running":2,"incarnation":7})", 8)->incarnation);
    CHECK_EQUAL(8U, read_load(R"({"running":2})", 8)->incarnation);
}
