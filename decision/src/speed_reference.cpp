#include "pearhaven/decision/speed_reference.hpp"

namespace pearhaven::decision {

namespace {

// Relative change of the estimate by one answer; it then follows the load within some tens of
// answers.
constexpr double gain = 0.1;

constexpr std::uint32_t min_samples = 8;

} // namespace

// Stochastic approximation of a quantile: the steps up and down cancel out when the configured
// share of answers is below the estimate.
void speed_reference::learn(const std::string& model, std::uint32_t size, duration seen)
{
    const auto time = static_cast<double>(seen.count());
    auto& known = this->estimates[{model, size}];
    ++known.samples;
    if (known.time <= 0.0) {
        known.time = time;
        return;
    }
    known.time *= 1.0 + gain * (time > known.time ? this->settings.share_within
                                                  : this->settings.share_within - 1.0);
}

std::optional<bool> speed_reference::is_slow(const std::string& model, std::uint32_t size,
                                             duration seen) const
{
    const auto known = this->estimates.find({model, size});
    if (known == this->estimates.end() || known->second.samples < min_samples) {
        return std::nullopt;
    }
    const auto noise = static_cast<double>(this->settings.noise.count());
    const double limit = known->second.time * this->settings.factor + noise;
    return static_cast<double>(seen.count()) > limit;
}

} // namespace pearhaven::decision
