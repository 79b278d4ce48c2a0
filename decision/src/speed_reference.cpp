#include "pearhaven/decision/speed_reference.hpp"

namespace pearhaven::decision {

namespace {

// Of the answers that keep to the reference.
constexpr double share_within = 0.8;

// Part of the estimate that one answer may move it by; it then follows the load within some tens of
// answers.
constexpr double gain = 0.1;

constexpr std::uint32_t least_samples = 8;

// A new connection or a busy host adds so much to any answer, in microseconds. Without it versions
// that answer within a millisecond were told apart by noise, and a good one was rolled back.
constexpr double noise = 10'000.0;

} // namespace

// Stochastic approximation of a quantile: the steps up and down balance where the share holds.
void speed_reference::learn(const std::string& model, std::uint32_t size, duration first_token)
{
    const auto time = static_cast<double>(first_token.count());
    auto& known = this->estimates[{model, size}];
    ++known.samples;
    if (known.time <= 0.0) {
        known.time = time;
        return;
    }
    known.time *= 1.0 + gain * (time > known.time ? share_within : share_within - 1.0);
}

std::optional<bool> speed_reference::is_slow(const std::string& model, std::uint32_t size,
                                             duration first_token) const
{
    const auto known = this->estimates.find({model, size});
    if (known == this->estimates.end() || known->second.samples < least_samples) {
        return std::nullopt;
    }
    return static_cast<double>(first_token.count()) > known->second.time + noise;
}

} // namespace pearhaven::decision
