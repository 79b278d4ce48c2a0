#include "pearhaven/adapters/progress_codec.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;
using namespace pearhaven::coordination;

TEST_GROUP(progress_codec){};

TEST(progress_codec, a_record_round_trips)
{
    for (const auto state :
         {progress_state::staged, progress_state::load_trial, progress_state::full_traffic,
          progress_state::finished, progress_state::bad}) {
        const progress_record written{28, 3, 9, 40'000, state, 250'000};
        const auto read = read_progress_record(write_progress_record(written));
        CHECK_TRUE(read.has_value());
        CHECK_TRUE(written == *read);
    }
}

// Guards against a load trial that receives no requests while routers of two releases run.
TEST(progress_codec, a_record_of_an_earlier_release_fills_an_endpoint_with_all_requests)
{
    const auto read =
        read_progress_record(R"({"run":28,"step":3,"routers":9,"session_ppm":4,"state":"loaded"})");
    CHECK_TRUE(read.has_value());
    CHECK_EQUAL(1'000'000U, read->fill_ppm);
}

TEST(progress_codec, a_record_with_an_invalid_share_is_rejected)
{
    for (const auto* const share : {"-1", "1000001", "0.5", "null"}) {
        const auto text = R"({"run":28,"step":3,"routers":9,"session_ppm":4,"state":"loaded",)"
                          R"("fill_ppm":)" +
                          std::string(share) + "}";
        CHECK_FALSE(read_progress_record(text).has_value());
    }
}

// Guards against a step number that wraps around or is so large that iterating over the steps
// stalls the router, and against a division by zero routers.
TEST(progress_codec, a_record_with_an_invalid_number_is_rejected)
{
    const auto written =
        write_progress_record({28, 3, 9, 40'000, pearhaven::coordination::progress_state::staged});
    for (const auto* const other : {R"("step":-1)", R"("step":4000000000)", R"("step":2.5)",
                                    R"("step":"3")", R"("step":null)"}) {
        auto text = written;
        text.replace(text.find(R"("step":3)"), 8, other);
        CHECK_FALSE(read_progress_record(text).has_value());
    }
    for (const auto* const other : {R"("routers":0)", R"("routers":-9)"}) {
        auto text = written;
        text.replace(text.find(R"("routers":9)"), 11, other);
        CHECK_FALSE(read_progress_record(text).has_value());
    }
}

TEST(progress_codec, evidence_with_an_invalid_number_is_rejected)
{
    const auto written = write_router_evidence(
        {28, pearhaven::coordination::progress_state::load_trial, {31, 2}, {20, 7}, {11, 1}, 3.5});
    for (const auto* const other : {R"("bad":-2)", R"("bad":1e300)", R"("bad":[2])"}) {
        auto text = written;
        text.replace(text.find(R"("bad":2)"), 7, other);
        CHECK_FALSE(read_router_evidence(text).has_value());
    }
    for (const auto* const other : {R"("long_rate":-1.0)", R"("long_rate":1e308)"}) {
        auto text = written;
        text.replace(text.find(R"("long_rate":3.5)"), 15, other);
        CHECK_FALSE(read_router_evidence(text).has_value());
    }
}

TEST(progress_codec, evidence_round_trips)
{
    router_evidence written{28, progress_state::load_trial, {31, 2}, {20, 7}, {11, 1}, 3.5};
    written.under_load = {{{4, 0}, {9, 1}, {0, 0}, {3, 2}, {0, 5}, {0, 0}, {0, 0}, {1, 0}}};
    const auto read = read_router_evidence(write_router_evidence(written));
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(written == *read);
}

// Guards against a rollout without evidence while routers of two releases run.
TEST(progress_codec, evidence_of_an_earlier_release_has_no_runs_under_load)
{
    const auto read = read_router_evidence(
        R"({"run":28,"part":"loaded","good":31,"bad":2,"quick":20,"slow":7,"earlier_good":11,)"
        R"("earlier_bad":1,"long_rate":3.5})");
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read->under_load == pearhaven::decision::load_counts{});
}

TEST(progress_codec, evidence_with_malformed_runs_under_load_is_rejected)
{
    router_evidence evidence{28, progress_state::load_trial, {31, 2}, {20, 7}, {11, 1}, 3.5};
    evidence.under_load.at(0) = {77, 0};
    const auto written = write_router_evidence(evidence);
    const std::string level = R"({"bad":0,"good":77})";
    for (const auto* const other : {R"({"bad":0,"good":77},{"bad":0,"good":1})", "[]",
                                    R"({"bad":-1,"good":77})", R"({"good":77})"}) {
        auto text = written;
        text.replace(text.find(level), level.size(), other);
        CHECK_FALSE(read_router_evidence(text).has_value());
    }
}

TEST(progress_codec, malformed_text_is_rejected)
{
    for (const auto* const text : {"", "{}", "[1]", "{\"run\":1,\"state\":\"lost\"}",
                                   "{\"run\":\"x\",\"part\":\"loaded\"}"}) {
        CHECK_FALSE(read_progress_record(text).has_value());
        CHECK_FALSE(read_router_evidence(text).has_value());
    }
}

// Guards against a number out of range that is read as another number: a router would take a
// rollout step that nobody ordered.
TEST(progress_codec, numbers_out_of_range_are_rejected)
{
    const auto record = write_progress_record({28, 3, 9, 40'000, progress_state::load_trial});
    const auto evidence =
        write_router_evidence({28, progress_state::load_trial, {31, 2}, {20, 7}, {11, 1}, 3.5});
    const auto with = [](std::string text, const std::string& old, const std::string& number) {
        return text.replace(text.find(old), old.size(), number);
    };
    // Few enough levels for a test that counts allocations.
    constexpr std::size_t levels = 20'000;
    const auto deep = std::string(levels, '[') + std::string(levels, ']');
    for (const auto& number : std::vector<std::string>{"1e300", "1e999", "-1", "2.5",
                                                       "18446744073709551616", "true", deep}) {
        CHECK_FALSE(read_progress_record(with(record, "28", number)).has_value());
        CHECK_FALSE(read_progress_record(with(record, "40000", number)).has_value());
        CHECK_FALSE(read_router_evidence(with(evidence, "31", number)).has_value());
    }
    CHECK_FALSE(read_progress_record(with(record, "40000", "4294967296")).has_value());
}
