#include "pearhaven/decision/endpoint_filling_kinds.hpp"

#include <cstddef>

namespace pearhaven::decision {

namespace {

constexpr std::uint32_t min_requests = 8;

// Both counts of a kind are halved at this number of requests, so that older requests count less.
constexpr std::uint32_t max_requests = 64;

// A kind fills endpoints if at least one in this many of its requests does.
constexpr std::uint32_t requests_per_filling = 4;

// Kinds come and go with the routes of each configuration for as long as the process runs.
constexpr std::size_t max_kinds = 1024;

} // namespace

void endpoint_filling_kinds::record(const std::string& kind, bool request_fills)
{
    if (this->kinds.size() >= max_kinds && this->kinds.count(kind) == 0) {
        this->kinds.clear();
    }
    auto& known = this->kinds[kind];
    ++known.requests;
    known.filling += request_fills ? 1 : 0;
    if (known.requests >= max_requests) {
        known.requests /= 2;
        known.filling /= 2;
    }
}

bool endpoint_filling_kinds::fills(const std::string& kind, bool request_fills) const
{
    const auto found = this->kinds.find(kind);
    if (found == this->kinds.end() || found->second.requests < min_requests) {
        return request_fills;
    }
    return found->second.filling * requests_per_filling >= found->second.requests;
}

} // namespace pearhaven::decision
