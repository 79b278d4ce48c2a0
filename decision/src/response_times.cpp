#include "pearhaven/decision/response_times.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

constexpr std::size_t least_known = 8;

// Routes come and go with each configuration, for as long as the process runs. What is dropped is
// known again after eight answers.
constexpr std::size_t most_kinds = 1024;

} // namespace

void answer_lengths::learn(const std::string& kind, duration length)
{
    if (this->kinds.size() >= most_kinds && this->kinds.count(kind) == 0) {
        this->kinds.clear();
    }
    auto& known = this->kinds[kind];
    known.lengths[known.learned % most_kept] = length;
    ++known.learned;
}

std::optional<duration> answer_lengths::usual(const std::string& kind) const
{
    const auto known = this->kinds.find(kind);
    if (known == this->kinds.end() || known->second.learned < least_known) {
        return std::nullopt;
    }
    auto lengths = known->second.lengths;
    const auto count = std::min(known->second.learned, most_kept);
    const auto place = count * 9 / 10;
    const auto end = lengths.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(lengths.begin(), lengths.begin() + static_cast<std::ptrdiff_t>(place), end);
    return lengths[place];
}

} // namespace pearhaven::decision
