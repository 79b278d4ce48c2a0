#include "peer_loads.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace pearhaven::decision {

namespace {

// A router counts once among those that doubt an endpoint.
void remove_repeated_doubts(std::vector<endpoint_load>& loads)
{
    std::set<std::string_view> doubted;
    for (auto& load : loads) {
        load.in_doubt = load.in_doubt && doubted.insert(load.address).second;
    }
}

} // namespace

void peer_loads::on_report(const std::string& router, std::vector<endpoint_load> loads, instant now)
{
    remove_repeated_doubts(loads);
    auto& report = this->reports[router];
    this->add(report, -1);
    report = {std::move(loads), now};
    for (const auto& load : report.loads) {
        report.requests += load.requests;
    }
    this->add(report, 1);
}

void peer_loads::drop(const std::string& router)
{
    const auto found = this->reports.find(router);
    if (found != this->reports.end()) {
        this->add(found->second, -1);
        this->reports.erase(found);
    }
}

double peer_loads::extrapolation_to(std::size_t routers) const
{
    if (!this->last_extrapolation || this->last_extrapolation->first != routers) {
        this->last_extrapolation = {routers, extrapolation(this->held_by_router(), routers)};
    }
    return this->last_extrapolation->second;
}

double peer_loads::extrapolation_with(std::int64_t own, std::size_t routers) const
{
    auto held = this->held_by_router();
    held.push_back(own);
    return extrapolation(std::move(held), routers);
}

std::vector<std::int64_t> peer_loads::held_by_router() const
{
    std::vector<std::int64_t> held;
    held.reserve(this->reports.size() + 1);
    for (const auto& [router, report] : this->reports) {
        held.push_back(report.requests);
    }
    return held;
}

double peer_loads::extrapolation(std::vector<std::int64_t> held, std::size_t routers)
{
    const auto all =
        static_cast<double>(std::accumulate(held.begin(), held.end(), std::int64_t{0}));
    if (routers <= held.size() || all <= 0.0) {
        return 1.0;
    }
    const auto middle = held.begin() + static_cast<std::ptrdiff_t>(held.size() / 2);
    std::nth_element(held.begin(), middle, held.end());
    const double usual =
        std::min(static_cast<double>(*middle), all / static_cast<double>(held.size()));
    return 1.0 + static_cast<double>(routers - held.size()) * usual / all;
}

void peer_loads::expire(instant now, duration lifetime)
{
    for (auto at = this->reports.begin(); at != this->reports.end();) {
        if (now - at->second.received <= lifetime || at->second.loads.empty()) {
            ++at;
            continue;
        }
        this->add(at->second, -1);
        at = this->reports.erase(at);
    }
}

void peer_loads::add(const peer_report& report, int sign)
{
    this->all_requests += sign * report.requests;
    this->last_extrapolation.reset();
    for (const auto& load : report.loads) {
        auto& incarnations = this->sums[load.address];
        const auto is_same = [&load](const incarnation_sum& one) {
            return one.incarnation == load.incarnation;
        };
        auto found_sum = std::find_if(incarnations.begin(), incarnations.end(), is_same);
        if (found_sum == incarnations.end()) {
            found_sum = incarnations.insert(found_sum, {load.incarnation, {}});
        }
        auto& total = found_sum->total;
        total.requests += sign * static_cast<std::int64_t>(load.requests);
        total.writing += sign * static_cast<std::int64_t>(load.writing);
        total.doubting += sign * static_cast<std::int64_t>(load.in_doubt ? 1 : 0);
        total.work = std::max(0.0, total.work + sign * load.work);
        if (total.requests <= 0 && total.doubting <= 0) {
            incarnations.erase(found_sum);
        }
        if (incarnations.empty()) {
            this->sums.erase(load.address);
        }
    }
}

peer_loads::sum peer_loads::of(const endpoint_host& where) const
{
    const auto found = this->sums.find(where.address);
    if (found == this->sums.end()) {
        return {};
    }
    const auto& incarnations = found->second;
    const auto found_sum = std::find_if(
        incarnations.begin(), incarnations.end(),
        [&where](const incarnation_sum& one) { return one.incarnation == where.incarnation; });
    return found_sum == incarnations.end() ? sum() : found_sum->total;
}

} // namespace pearhaven::decision
