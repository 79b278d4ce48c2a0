#include "pearhaven/decision/overload_policy.hpp"

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <ctime>

DEFINE_uint64(decisions, 1'000'000, "number of decisions that are timed");

// Mean CPU time of one decision of the overload policy, without the forecast's own cost.
int main(int argc, char** argv)
{
    using namespace pearhaven::decision;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    request_terms terms;
    terms.objective = std::chrono::seconds(2);
    terms.deadline = std::chrono::seconds(8);
    terms.sizes = 3;
    terms.work_ms = 200.0;
    terms.answer_ms = 100.0;
    run_forecast forecast;
    forecast.usual_work_ms = 150.0;
    std::uint64_t refused = 0;
    const auto start = std::clock();
    for (std::uint64_t i = 0; i < FLAGS_decisions; ++i) {
        constexpr std::uint64_t waits = 16; // of 0 to 15 s, so that about half are refused
        terms.fingerprint = i;
        forecast.first_piece = std::chrono::seconds(i % waits);
        forecast.backlog = *forecast.first_piece;
        refused += judge_load(terms, forecast).action == overload_action::refuse ? 1 : 0;
    }
    constexpr double us_per_second = 1e6;
    const double us = static_cast<double>(std::clock() - start) * us_per_second / CLOCKS_PER_SEC;
    fmt::print("decisions={} refused={} us_per_decision={:.4f}\n", FLAGS_decisions, refused,
               us / static_cast<double>(FLAGS_decisions));
    return 0;
}
