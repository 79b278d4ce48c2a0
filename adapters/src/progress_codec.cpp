#include "pearhaven/adapters/progress_codec.hpp"

#include "stored_values_json.hpp"

#include <array>
#include <limits>

namespace pearhaven::adapters {

namespace {

using coordination::progress_record;
using coordination::progress_state;
using coordination::router_evidence;
using nlohmann::json;

constexpr std::array<stored_name<progress_state>, 5> state_names = {
    {{progress_state::staged, "staged"},
     {progress_state::load_trial, "loaded"},
     {progress_state::full_traffic, "whole"},
     {progress_state::finished, "finished"},
     {progress_state::bad, "bad"}}};

// Upper bounds for values that another writer may have stored. Steps are iterated one by one on
// each lookup, and rates are summed.
constexpr std::uint64_t max_steps = 1000;
constexpr std::uint64_t max_routers = 100'000;
constexpr std::uint64_t million = 1'000'000;
constexpr std::uint64_t max_answers = 1'000'000'000'000;
constexpr double max_rate = 1e9;

std::uint32_t short_count_field(const json& value, const char* name, std::uint64_t max)
{
    return static_cast<std::uint32_t>(count_field(value, name, max));
}

std::uint64_t answers_field(const json& value, const char* name)
{
    return count_field(value, name, max_answers);
}

progress_record read_record_value(const json& value)
{
    progress_record record;
    record.run = count_field(value, "run");
    record.step = short_count_field(value, "step", max_steps);
    record.routers = short_count_field(value, "routers", max_routers);
    if (record.routers == 0) {
        throw malformed_value();
    }
    record.session_ppm = short_count_field(value, "session_ppm", million);
    record.state = read_name(state_names, text_field(value, "state"));
    // Routers of an earlier release fill an endpoint with all eligible requests.
    if (value.contains("fill_ppm")) {
        record.fill_ppm = short_count_field(value, "fill_ppm", million);
    }
    return record;
}

// Routers of an earlier release do not report runs by load.
decision::load_counts read_load_counts(const json& value)
{
    decision::load_counts counts{};
    const auto field = value.find("under_load");
    if (field == value.end()) {
        return counts;
    }
    if (!field->is_array() || field->size() != counts.size()) {
        throw malformed_value();
    }
    for (std::size_t level = 0; level < counts.size(); ++level) {
        counts.at(level).good = answers_field(field->at(level), "good");
        counts.at(level).bad = answers_field(field->at(level), "bad");
    }
    return counts;
}

json write_load_counts(const decision::load_counts& counts)
{
    json levels = json::array();
    for (const auto& level : counts) {
        levels.push_back({{"good", level.good}, {"bad", level.bad}});
    }
    return levels;
}

router_evidence read_evidence_value(const json& value)
{
    router_evidence evidence;
    evidence.run = count_field(value, "run");
    evidence.state = read_name(state_names, text_field(value, "part"));
    evidence.seen.good = answers_field(value, "good");
    evidence.seen.bad = answers_field(value, "bad");
    evidence.speed.good = answers_field(value, "quick");
    evidence.speed.bad = answers_field(value, "slow");
    evidence.earlier.good = answers_field(value, "earlier_good");
    evidence.earlier.bad = answers_field(value, "earlier_bad");
    evidence.long_answer_rate = number_field(value, "long_rate");
    if (evidence.long_answer_rate < 0.0 || evidence.long_answer_rate > max_rate) {
        throw malformed_value();
    }
    evidence.under_load = read_load_counts(value);
    return evidence;
}

} // namespace

std::string write_progress_record(const progress_record& record)
{
    return to_stored_text({{"run", record.run},
                           {"step", record.step},
                           {"routers", record.routers},
                           {"session_ppm", record.session_ppm},
                           {"fill_ppm", record.fill_ppm},
                           {"state", write_name(state_names, record.state)}});
}

std::optional<progress_record> read_progress_record(std::string_view text)
{
    return read_stored_text(text, read_record_value);
}

std::string write_router_evidence(const router_evidence& evidence)
{
    return to_stored_text({{"run", evidence.run},
                           {"part", write_name(state_names, evidence.state)},
                           {"good", evidence.seen.good},
                           {"bad", evidence.seen.bad},
                           {"quick", evidence.speed.good},
                           {"slow", evidence.speed.bad},
                           {"earlier_good", evidence.earlier.good},
                           {"earlier_bad", evidence.earlier.bad},
                           {"long_rate", evidence.long_answer_rate},
                           {"under_load", write_load_counts(evidence.under_load)}});
}

std::optional<router_evidence> read_router_evidence(std::string_view text)
{
    return read_stored_text(text, read_evidence_value);
}

} // namespace pearhaven::adapters
