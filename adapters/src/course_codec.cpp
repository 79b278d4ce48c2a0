#include "pearhaven/adapters/course_codec.hpp"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace pearhaven::adapters {

namespace {

using coordination::course_state;
using nlohmann::json;

constexpr std::array<std::pair<course_state, const char*>, 5> states = {
    {{course_state::staged, "staged"},
     {course_state::loaded, "loaded"},
     {course_state::whole, "whole"},
     {course_state::finished, "finished"},
     {course_state::bad, "bad"}}};

const char* name_of(course_state wanted)
{
    const char* found = "";
    for (const auto& [state, name] : states) {
        found = state == wanted ? name : found;
    }
    return found;
}

std::optional<course_state> state_named(std::string_view wanted)
{
    for (const auto& [state, name] : states) {
        if (wanted == name) {
            return state;
        }
    }
    return std::nullopt;
}

// What another writer may have put in place of a count or a share. A step is counted through, one
// by one, whenever it is looked up; a rate is added to others.
constexpr std::uint64_t most_steps = 1000;
constexpr std::uint64_t most_routers = 100'000;
constexpr std::uint64_t million = 1'000'000;
constexpr std::uint64_t most_answers = 1'000'000'000'000;
constexpr std::uint64_t any_count = std::numeric_limits<std::uint64_t>::max();
constexpr double highest_rate = 1e9;

// Nothing for what is not a whole number in the bounds; a conversion would wrap it into one.
std::optional<std::uint64_t> count_at(const json& body, const char* name, std::uint64_t least,
                                      std::uint64_t most)
{
    const auto& value = body.at(name);
    if (!value.is_number_unsigned()) {
        return std::nullopt;
    }
    const auto count = value.get<std::uint64_t>();
    return count >= least && count <= most ? std::make_optional(count) : std::nullopt;
}

} // namespace

std::string write_course_record(const coordination::course_record& record)
{
    return json{{"run", record.run},
                {"step", record.step},
                {"routers", record.routers},
                {"session_ppm", record.session_ppm},
                {"state", name_of(record.state)}}
        .dump();
}

std::optional<coordination::course_record> read_course_record(std::string_view text)
{
    const auto body = json::parse(text, nullptr, false);
    try {
        const auto run = count_at(body, "run", 0, any_count);
        const auto step = count_at(body, "step", 0, most_steps);
        const auto routers = count_at(body, "routers", 1, most_routers);
        const auto session_ppm = count_at(body, "session_ppm", 0, million);
        const auto state = state_named(body.at("state").get<std::string>());
        if (run && step && routers && session_ppm && state) {
            coordination::course_record record;
            record.run = *run;
            record.step = static_cast<std::uint32_t>(*step);
            record.routers = static_cast<std::uint32_t>(*routers);
            record.session_ppm = static_cast<std::uint32_t>(*session_ppm);
            record.state = *state;
            return record;
        }
    } catch (const json::exception&) {
        // Told to the caller by the empty result, which is logged there with the key.
    }
    return std::nullopt;
}

std::string write_course_evidence(const coordination::course_evidence& evidence)
{
    return json{{"run", evidence.run},
                {"part", name_of(evidence.part)},
                {"good", evidence.seen.good},
                {"bad", evidence.seen.bad},
                {"quick", evidence.speed.good},
                {"slow", evidence.speed.bad},
                {"earlier_good", evidence.earlier.good},
                {"earlier_bad", evidence.earlier.bad},
                {"long_rate", evidence.long_rate}}
        .dump();
}

std::optional<coordination::course_evidence> read_course_evidence(std::string_view text)
{
    const auto body = json::parse(text, nullptr, false);
    try {
        const auto part = state_named(body.at("part").get<std::string>());
        const auto run = count_at(body, "run", 0, any_count);
        const auto good = count_at(body, "good", 0, most_answers);
        const auto bad = count_at(body, "bad", 0, most_answers);
        const auto quick = count_at(body, "quick", 0, most_answers);
        const auto slow = count_at(body, "slow", 0, most_answers);
        const auto earlier_good = count_at(body, "earlier_good", 0, most_answers);
        const auto earlier_bad = count_at(body, "earlier_bad", 0, most_answers);
        const auto long_rate = body.at("long_rate").get<double>();
        const bool is_whole = part && run && good && bad && quick && slow && earlier_good &&
                              earlier_bad && long_rate >= 0.0 && long_rate <= highest_rate;
        if (!is_whole) {
            return std::nullopt;
        }
        coordination::course_evidence evidence;
        evidence.run = *run;
        evidence.part = *part;
        evidence.seen = {*good, *bad};
        evidence.speed = {*quick, *slow};
        evidence.earlier = {*earlier_good, *earlier_bad};
        evidence.long_rate = long_rate;
        return evidence;
    } catch (const json::exception&) {
        return std::nullopt; // the caller logs it with the key
    }
}

} // namespace pearhaven::adapters
