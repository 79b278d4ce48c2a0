#ifndef PEARHAVEN_DECISION_ENDPOINT_STATE_HPP
#define PEARHAVEN_DECISION_ENDPOINT_STATE_HPP

#include "cold_start.hpp"
#include "concurrency_limit.hpp"
#include "endpoint_health.hpp"
#include "load_estimate.hpp"
#include "prompt_map.hpp"
#include "refusal_budget.hpp"
#include "request_limit.hpp"

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace pearhaven::decision {

// Moving average of the first-token latency in one class, in microseconds.
struct first_token_mean {
    double mean = 0.0;
    std::uint32_t samples = 0;

    void add(double sample)
    {
        constexpr double recent_weight = 0.2;
        const double weight = this->samples == 0 ? 1.0 : recent_weight;
        this->mean += weight * (sample - this->mean);
        ++this->samples;
    }
};

// A version or service as the target of requests.
struct route_key {
    bool is_service = false;
    std::string name;

    friend bool operator==(const route_key&, const route_key&) = default;
    friend bool operator<(const route_key& left, const route_key& right)
    {
        return std::tie(left.is_service, left.name) < std::tie(right.is_service, right.name);
    }
};

// The state of one endpoint.
struct endpoint {
    explicit endpoint(endpoint_host listed_host)
        : host(std::move(listed_host)),
          identity(XXH64(this->host.address.data(), this->host.address.size(), 0))
    {}

    endpoint_host host;
    std::uint64_t identity;
    bool listed = true;
    std::string group; // pool or service whose endpoints are compared with each other
    double long_share = 1.0;
    std::vector<route_key> routes; // routes that contain it

    std::uint32_t outstanding = 0;
    std::uint32_t readings = 0;       // of the outstanding requests
    std::uint32_t writing = 0;        // outstanding requests whose answers have begun
    double work = 0.0;                // of the outstanding requests
    std::vector<std::uint64_t> parts; // of their prompts; one key per request

    duration cold_time{};             // as its pool declares
    double cold_requests_per_s = 0.0; // likewise
    cold_start cold;
    request_limit stated_limit;
    refusal_budget refusals;
    instant rests_until{}; // until then it wants no request from this router
    concurrency_limit limit{1.0};
    load_estimate load;
    endpoint_health health;
    std::array<first_token_mean, 2> first_tokens{};
    instant next_slowness_check{};

    // Another process has taken over the address. It has no requests in flight: those sent to the
    // earlier process fail with its connections, and counting them would keep work away from an
    // idle process.
    void replace(const endpoint_host& newer)
    {
        this->host = newer;
        this->outstanding = 0;
        this->readings = 0;
        this->writing = 0;
        this->work = 0.0;
        this->parts.clear();
        this->cold = {};
        this->stated_limit = {};
        this->refusals = {};
        this->rests_until = {};
        this->limit = concurrency_limit(this->limit.ceiling());
        this->load = {};
        this->health = {};
        this->first_tokens = {};
        this->next_slowness_check = {};
    }

    void add(const std::vector<prompt_part>& shared)
    {
        for (const auto& part : shared) {
            this->parts.push_back(part.key);
        }
    }

    void remove(const std::vector<prompt_part>& shared)
    {
        for (const auto& part : shared) {
            const auto found = std::find(this->parts.begin(), this->parts.end(), part.key);
            if (found != this->parts.end()) {
                this->parts.erase(found);
            }
        }
    }

    [[nodiscard]] std::vector<std::uint64_t> distinct_parts() const
    {
        auto keys = this->parts;
        std::sort(keys.begin(), keys.end());
        keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
        return keys;
    }

    // When the endpoint accepts the next request from this router, by its own statements: now or
    // later.
    [[nodiscard]] instant opens_at(instant now) const
    {
        return this->stated_limit.opens_at(std::max(now, this->rests_until));
    }

    [[nodiscard]] endpoint_incarnation current_incarnation() const
    {
        return {this->identity, this->host.incarnation};
    }

    first_token_mean& first_token(work_class kind)
    {
        return this->first_tokens.at(static_cast<std::size_t>(kind));
    }

    // Concurrent requests it can run: as reported, otherwise as configured.
    [[nodiscard]] double capacity() const
    {
        return this->load.capacity() > 0.0 ? this->load.capacity() : this->limit.ceiling();
    }

    // Requests at the endpoint: of all routers if there is a fresh report, otherwise of this
    // router.
    [[nodiscard]] double held(instant now, const endpoint_table_settings& settings) const
    {
        const double own = this->outstanding;
        return std::max(own, this->load.held(now, settings.report_lifetime).value_or(own));
    }
};

} // namespace pearhaven::decision

#endif
