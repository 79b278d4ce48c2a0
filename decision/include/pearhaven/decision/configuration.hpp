#ifndef PEARHAVEN_DECISION_CONFIGURATION_HPP
#define PEARHAVEN_DECISION_CONFIGURATION_HPP

#include "pearhaven/decision/traffic_route.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// Name/value pairs that operators attach to objects and that selectors match.
using labels = std::map<std::string, std::string>;

// Selects objects by their labels. Every required label must be present with one of its listed
// values. A selector without requirements matches every object; `nothing()` matches none.
class selector {
public:
    selector() = default;

    static selector nothing();

    // Returns a copy that also requires the label to have one of the values.
    [[nodiscard]] selector require(std::string label, std::vector<std::string> values) const;

    [[nodiscard]] bool matches(const labels& candidate) const;
    [[nodiscard]] const std::map<std::string, std::vector<std::string>>& requirements() const
    {
        return this->requirements_map;
    }

    friend bool operator==(const selector&, const selector&) = default;

private:
    std::map<std::string, std::vector<std::string>> requirements_map;
    bool matches_nothing = false;
};

// A team that calls models and services: its share of the engines and the versions it may use.
struct team {
    std::string name;
    labels tags;

    // Lower-case hexadecimal digests of the accepted bearer keys.
    std::vector<std::string> key_sha256;
    double weight = 1.0; // share under contention, relative to the other teams
    selector versions = selector::nothing();
    std::uint32_t max_in_flight = 256; // concurrent requests of the team that one router admits

    friend bool operator==(const team&, const team&) = default;
};

// Whether callers have to identify their team by a key. It is stated apart from the teams: keys are
// still needed once the last team is removed, and none is valid then.
enum class key_policy : std::uint8_t {
    needed,
    none, // the operators have declared no teams
};

// All teams, indexed by name and by key. Immutable once built, and shared by reference count among
// configurations that declare the same teams.
class team_table : public boost::intrusive_ref_counter<team_table> {
public:
    team_table() = default;

    // Of teams with the same name the last one is kept. A key that several teams list belongs to
    // the last of them.
    explicit team_table(std::vector<team> all, key_policy policy = key_policy::needed);

    [[nodiscard]] const std::map<std::string, team>& by_name() const { return this->teams; }

    // Returns null if no team holds the key.
    [[nodiscard]] const team* find_by_key(std::string_view key_sha256) const;

    [[nodiscard]] bool needs_keys() const { return this->keys == key_policy::needed; }

    friend bool operator==(const team_table& left, const team_table& right)
    {
        return left.keys == right.keys && left.teams == right.teams &&
               left.name_by_key == right.name_by_key;
    }

private:
    friend class configuration_builder;

    void add(team object);

    std::map<std::string, team> teams;
    std::map<std::string, std::string, std::less<>> name_by_key;
    key_policy keys = key_policy::needed;
};

using team_table_ptr = boost::intrusive_ptr<const team_table>;

// One version of a model. Its tags always hold `model` and `version` in addition to the operators'
// labels.
struct version {
    std::string name;
    labels tags;
    std::string model;
    std::string fallback;   // version that takes over after an automatic rollback; may be empty
    bool withdrawn = false; // a withdrawn version receives no new work
    double cost_per_token = 1.0; // in the operators' unit of cost
    std::uint32_t traffic = 100; // relative share of new sessions among the allowed versions

    friend bool operator==(const version&, const version&) = default;
};

// Engines that serve the selected versions. The hosts come from the platform's host list.
struct pool {
    std::string name;
    labels tags;
    selector hosts = selector::nothing();
    selector versions = selector::nothing();
    std::uint32_t slots_per_host = 16; // max concurrent requests per endpoint
    double long_share = 0.5; // max share of an endpoint's slots that long requests may hold

    // Whether the endpoints refuse orders with an outdated fencing number.
    bool checks_fencing = true;

    // An endpoint is cold for `cold_time` after its process has started. Until then all routers
    // together send it at most `cold_requests_per_s`; 0: no limit.
    duration cold_time{};
    double cold_requests_per_s = 0.0;

    friend bool operator==(const pool&, const pool&) = default;
};

// A plain service next to the engines, reached at /services/NAME/.
struct service {
    std::string name;
    labels tags;
    selector hosts = selector::nothing();
    selector teams; // teams that may call it; all by default
    bool idempotent = false;

    // Methods that may be repeated even if `idempotent` is false.
    std::vector<std::string> idempotent_methods;

    friend bool operator==(const service&, const service&) = default;
};

enum class rollout_state : std::uint8_t {
    running,
    done,        // new work goes to the new version
    rolled_back, // no new work goes to the new version
};

// A staged move of a model's traffic from one version to another. The routers maintain the members
// from `state` on: an operator who submits a rollout leaves them out, which restarts it.
struct rollout {
    std::string name;
    std::string from;
    std::string to;

    // Callers granted at each step; all traffic moves after the last one.
    std::vector<std::uint32_t> step_callers;
    std::uint32_t step_seconds = 60; // min time on each step
    double max_error_rate = 0.05;    // guard: error rate that counts as bad
    double base_error_rate = 0.01;   // guard: error rate of a good version
    bool paused = false;
    rollout_state state = rollout_state::running;
    std::uint32_t step = 0;    // past the last step, each further one grants the last number again
    std::uint64_t run = 0;     // identifies this attempt and its evidence; 0 until it begins
    std::uint32_t routers = 0; // fleet size among which the step's grant is divided

    // Parts per million of sessions without tokens that move before the full move.
    std::uint32_t session_ppm = 0;
    bool fills_endpoint = false;        // requests that fill an endpoint move, all to the same one
    std::uint32_t fill_ppm = 1'000'000; // parts per million of those requests that move

    friend bool operator==(const rollout&, const rollout&) = default;
};

// Lets a cheap version answer in place of a costly one.
struct cascade {
    std::string name;
    std::string model; // the name that callers request
    selector teams;
    std::string cheap; // version names
    std::string costly;
    double quality_target = 0.9; // share of answers that must be rated good, 0 to 1

    friend bool operator==(const cascade&, const cascade&) = default;
};

// An availability zone whose endpoints get no new requests until it is restored.
struct evacuation {
    std::string zone;
    std::string by;            // operator who evacuated it; may be empty
    std::uint64_t unix_ms = 0; // when; 0: unknown

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

// Everything that the operators have declared, at one revision. Immutable once built, and shared by
// reference count.
class configuration : public boost::intrusive_ref_counter<configuration> {
public:
    [[nodiscard]] std::uint64_t revision() const { return this->revision_number; }
    [[nodiscard]] const std::map<std::string, team>& teams() const
    {
        return this->team_part->by_name();
    }
    [[nodiscard]] const std::map<std::string, version>& versions() const
    {
        return this->version_map;
    }
    [[nodiscard]] const std::map<std::string, pool>& pools() const { return this->pool_map; }
    [[nodiscard]] const std::map<std::string, service>& services() const
    {
        return this->service_map;
    }
    [[nodiscard]] const std::map<std::string, rollout>& rollouts() const
    {
        return this->rollout_map;
    }
    [[nodiscard]] const std::map<std::string, cascade>& cascades() const
    {
        return this->cascade_map;
    }
    [[nodiscard]] const std::map<std::string, evacuation>& evacuations() const
    {
        return this->evacuation_map;
    }
    [[nodiscard]] const route_table& routes() const { return *this->route_part; }

    // Parts that a later configuration with the same routes or teams can reuse. Never null.
    [[nodiscard]] const route_table_ptr& shared_routes() const { return this->route_part; }
    [[nodiscard]] const team_table_ptr& shared_teams() const { return this->team_part; }

    // Session key numbers, newest first. New tokens are sealed with the newest key; tokens sealed
    // with any of them can be opened.
    [[nodiscard]] const std::vector<std::uint32_t>& session_keys() const
    {
        return this->session_key_list;
    }

    [[nodiscard]] bool is_evacuated(const std::string& zone) const
    {
        return this->evacuation_map.count(zone) > 0;
    }

    // Returns null if no team holds the key.
    [[nodiscard]] const team* find_team_by_key(std::string_view key_sha256) const;

    // Whether callers have to identify their team by a key, except on public routes.
    [[nodiscard]] bool needs_keys() const { return this->team_part->needs_keys(); }
    [[nodiscard]] const version* find_version(std::string_view name) const;

    // Whether the team may send new work to the version: the team's selector matches it and it is
    // not withdrawn.
    [[nodiscard]] bool allows(const team& caller, const version& candidate) const;

private:
    friend class configuration_builder;

    std::uint64_t revision_number = 0;
    team_table_ptr team_part{new team_table};
    std::map<std::string, version> version_map;
    std::map<std::string, pool> pool_map;
    std::map<std::string, service> service_map;
    std::map<std::string, rollout> rollout_map;
    std::map<std::string, cascade> cascade_map;
    std::map<std::string, evacuation> evacuation_map; // by zone
    route_table_ptr route_part{new route_table};
    std::vector<std::uint32_t> session_key_list = {1};
};

using configuration_ptr = boost::intrusive_ptr<const configuration>;

// Collects objects and builds the immutable configuration. Prebuilt parts are shared with it, not
// copied. The builder must not be used after `build`.
class configuration_builder {
public:
    configuration_builder& revision(std::uint64_t number);
    configuration_builder& add(team object);
    configuration_builder& add(version object);
    configuration_builder& add(pool object);
    configuration_builder& add(service object);
    configuration_builder& add(rollout object);
    configuration_builder& add(cascade object);
    configuration_builder& add(evacuation object);
    configuration_builder& routes(std::vector<traffic_route> all);

    // Replaces all routes added so far. Must not be null.
    configuration_builder& routes(route_table_ptr ready);

    // Replaces all teams added so far. Adding a team afterwards copies the table first. Must not be
    // null.
    configuration_builder& teams(team_table_ptr ready);
    configuration_builder& session_keys(std::vector<std::uint32_t> newest_first);
    [[nodiscard]] configuration_ptr build();

private:
    boost::intrusive_ptr<configuration> product{new configuration};
    boost::intrusive_ptr<team_table> own_teams; // teams added one by one; null if there are none
};

} // namespace pearhaven::decision

#endif
