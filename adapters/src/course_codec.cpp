#include "pearhaven/adapters/course_codec.hpp"

#include <array>
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
        coordination::course_record record;
        record.run = body.at("run").get<std::uint64_t>();
        record.step = body.at("step").get<std::uint32_t>();
        record.routers = body.at("routers").get<std::uint32_t>();
        record.session_ppm = body.at("session_ppm").get<std::uint32_t>();
        const auto state = state_named(body.at("state").get<std::string>());
        if (state) {
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
        if (!part) {
            return std::nullopt;
        }
        coordination::course_evidence evidence;
        evidence.run = body.at("run").get<std::uint64_t>();
        evidence.part = *part;
        evidence.seen.good = body.at("good").get<std::uint64_t>();
        evidence.seen.bad = body.at("bad").get<std::uint64_t>();
        evidence.speed.good = body.at("quick").get<std::uint64_t>();
        evidence.speed.bad = body.at("slow").get<std::uint64_t>();
        evidence.earlier.good = body.at("earlier_good").get<std::uint64_t>();
        evidence.earlier.bad = body.at("earlier_bad").get<std::uint64_t>();
        evidence.long_rate = body.at("long_rate").get<double>();
        return evidence;
    } catch (const json::exception&) {
        return std::nullopt; // the caller logs it with the key
    }
}

} // namespace pearhaven::adapters
