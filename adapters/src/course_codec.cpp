#include "pearhaven/adapters/course_codec.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace pearhaven::adapters {

namespace {

using coordination::course_state;
using nlohmann::json;

constexpr std::array<std::pair<course_state, const char*>, 4> states = {
    {{course_state::staged, "staged"},
     {course_state::whole, "whole"},
     {course_state::finished, "finished"},
     {course_state::bad, "bad"}}};

} // namespace

std::string write_course_record(const coordination::course_record& record)
{
    const char* state = "";
    for (const auto& [known, name] : states) {
        state = known == record.state ? name : state;
    }
    return json{{"run", record.run},
                {"step", record.step},
                {"routers", record.routers},
                {"session_ppm", record.session_ppm},
                {"state", state}}
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
        const auto state = body.at("state").get<std::string>();
        for (const auto& [known, name] : states) {
            if (state == name) {
                record.state = known;
                return record;
            }
        }
    } catch (const json::exception&) {
        // Told to the caller by the empty result, which is logged there with the key.
    }
    return std::nullopt;
}

std::string write_course_evidence(const coordination::course_evidence& evidence)
{
    return json{{"run", evidence.run},        {"good", evidence.seen.good},
                {"bad", evidence.seen.bad},   {"quick", evidence.speed.good},
                {"slow", evidence.speed.bad}, {"whole", evidence.whole}}
        .dump();
}

std::optional<coordination::course_evidence> read_course_evidence(std::string_view text)
{
    const auto body = json::parse(text, nullptr, false);
    try {
        coordination::course_evidence evidence;
        evidence.run = body.at("run").get<std::uint64_t>();
        evidence.seen.good = body.at("good").get<std::uint64_t>();
        evidence.seen.bad = body.at("bad").get<std::uint64_t>();
        evidence.speed.good = body.at("quick").get<std::uint64_t>();
        evidence.speed.bad = body.at("slow").get<std::uint64_t>();
        evidence.whole = body.at("whole").get<bool>();
        return evidence;
    } catch (const json::exception&) {
        return std::nullopt; // the caller logs it with the key
    }
}

} // namespace pearhaven::adapters
