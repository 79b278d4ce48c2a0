#ifndef PEARHAVEN_DECISION_ENDPOINT_CHOICE_HPP
#define PEARHAVEN_DECISION_ENDPOINT_CHOICE_HPP

#include "endpoint_directory.hpp"
#include "peer_loads.hpp"
#include "prompt_map.hpp"
#include "refusal_budget.hpp"

#include "pearhaven/decision/fleet_place.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// This router's requests in flight, at all endpoints together.
struct own_load {
    std::uint32_t outstanding = 0;
    std::uint32_t readings = 0;
};

[[nodiscard]] turn_place turn_place_of(const endpoint& where, const fleet_place& place);

// Reports of the others are extrapolated if only a part of them reports to this router.
[[nodiscard]] known_requests known_requests_at(const endpoint& where, const peer_loads& peers,
                                               const fleet_place& place);

// What is known of the brittle endpoints of each group.
using brittle_groups = std::map<std::string, brittle_group>;

[[nodiscard]] const brittle_group& group_of(const endpoint& where, const brittle_groups& groups);

// When the endpoint accepts the next request from this router, by its own statements: now or later.
[[nodiscard]] instant opens_at(const endpoint& where, const fleet_place& place,
                               const brittle_groups& groups, instant now);

[[nodiscard]] cold_share cold_share_of(const endpoint& where, const fleet_place& place);

// This router's subset of a target's endpoints: the first healthy ones that need not be avoided,
// most of them in its own zone; all of them if there are few.
[[nodiscard]] std::vector<endpoint*> subset_of(const route& from,
                                               const std::vector<std::string>& avoid, instant now,
                                               const endpoint_table_settings& settings);

// Work of those parts that are not in the endpoint's cache. `cached_probability` applies to parts
// of which nothing is known.
[[nodiscard]] double cold_work(const std::vector<prompt_part>& parts, const prompt_map& prompts,
                               const endpoint& where, double cached_probability, instant now);

// One choice among the endpoints of a route.
class endpoint_choice {
public:
    // All arguments passed by reference must outlive the choice.
    endpoint_choice(const endpoint_table_settings& chosen, const placement& request,
                    const own_load& load, const peer_loads& peers, const prompt_map& read,
                    const endpoint_directory& all, const brittle_groups& groups,
                    const fleet_place& in_fleet, instant at)
        : settings(chosen), wanted(request), own(load), others(peers), prompts(read),
          directory(all), brittle(groups), place(in_fleet), now(at)
    {}

    // Returns null if none has room.
    [[nodiscard]] const endpoint* choose(const route& from, std::uint64_t random);

    // Whether an endpoint has room and only this router's share of it is used up; see
    // `endpoint_table`.
    [[nodiscard]] bool has_room_for_others(const route& from, bool if_uncertain) const;

    // The endpoint for concentrated requests: of the permitted endpoints the one that is already
    // being filled, otherwise the one that all routers rank first, regardless of zone and subset;
    // null if none is permitted. By rank alone, an endpoint that was lost and comes back empty
    // would take over from its successor.
    [[nodiscard]] const endpoint* concentration_endpoint(const route& from) const;

private:
    struct candidate {
        const endpoint* where = nullptr;
        double score = 0.0;
    };

    [[nodiscard]] std::pair<bool, std::uint64_t> concentration_rank(const endpoint& where) const;
    // Why an endpoint takes no further request from this router.
    enum class obstacle : std::uint8_t {
        none,
        share,           // this router's part of the room is used up
        uncertain_share, // the same, and the others may have used up theirs
        other,
    };

    [[nodiscard]] bool has_room(const endpoint& where) const
    {
        return this->obstacle_at(where) == obstacle::none;
    }
    [[nodiscard]] obstacle obstacle_at(const endpoint& where) const;
    [[nodiscard]] obstacle obstacle_by_refusals(const endpoint& where) const;
    [[nodiscard]] bool is_full(const endpoint& where) const;
    [[nodiscard]] bool has_room_for_readings(const endpoint& where, double limit) const;
    [[nodiscard]] bool has_reported_room(const endpoint& where) const;
    [[nodiscard]] bool may_add_reading(const endpoint& where, double held) const;
    [[nodiscard]] double load_of(const endpoint& where) const;
    [[nodiscard]] const endpoint* cheapest(const std::vector<endpoint*>& subset,
                                           std::uint64_t random) const;
    [[nodiscard]] bool is_in_doubt(const endpoint& where) const;
    [[nodiscard]] double prefill_cost(const endpoint& where, double cold_work) const;
    [[nodiscard]] double requests_at(const endpoint& where) const;
    [[nodiscard]] double load_of_work(double work, const endpoint& where) const;
    [[nodiscard]] const endpoint* choose_warm(const std::vector<endpoint*>& subset) const;
    [[nodiscard]] double max_load_when_warm(const std::vector<endpoint*>& subset) const;
    [[nodiscard]] std::optional<candidate> better_of_two(const std::vector<endpoint*>& open,
                                                         std::uint64_t random) const;
    [[nodiscard]] candidate weigh(const endpoint& where) const;

    const endpoint_table_settings& settings;
    const placement& wanted;
    const own_load& own;
    const peer_loads& others;
    const prompt_map& prompts;
    const endpoint_directory& directory;
    const brittle_groups& brittle;
    fleet_place place;
    instant now;
    double own_share = 1.0; // of all requests at the endpoints
};

} // namespace pearhaven::decision

#endif
