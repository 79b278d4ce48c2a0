#include "engine_event.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace pearhaven::router {

namespace {

using nlohmann::json;

// Older reports are useless as a measure of the current load. A larger age would not fit a
// duration.
constexpr double max_load_age_ms = 3'600'000.0;

// Returns the member with this name; null if there is none or if `object` is not an object.
const json* member(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

std::string text_in(const json& object, const char* name)
{
    const auto* const value = member(object, name);
    return value != nullptr && value->is_string() ? value->get<std::string>() : std::string();
}

std::optional<std::uint64_t> count_in(const json& object, const char* name)
{
    const auto* const value = member(object, name);
    return value != nullptr && value->is_number_unsigned()
               ? std::make_optional(value->get<std::uint64_t>())
               : std::nullopt;
}

// Reads a non-negative number, if the member exists. Returns false for any other value.
bool read_amount(const json& object, const char* name, double& amount)
{
    const auto* const value = member(object, name);
    if (value == nullptr) {
        return true;
    }
    if (!value->is_number() || value->get<double>() < 0.0) {
        return false;
    }
    amount = value->get<double>();
    return true;
}

void read_choice(const json& choice, engine_event& event)
{
    const auto* const reason = member(choice, "finish_reason");
    event.closes = reason != nullptr && reason->is_string();
    if (const auto* const delta = member(choice, "delta")) {
        event.content = text_in(*delta, "content");
    }
}

} // namespace

std::optional<engine_event> read_engine_event(const std::string& text)
{
    const auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    engine_event event;
    event.run = text_in(parsed, "id");
    event.index = count_in(parsed, "index");
    event.model = text_in(parsed, "model");
    const auto* const choices = member(parsed, "choices");
    if (choices != nullptr && choices->is_array() && !choices->empty()) {
        read_choice(choices->front(), event);
    }
    if (const auto* const used = member(parsed, "usage")) {
        event.used = {count_in(*used, "prompt_tokens").value_or(0),
                      count_in(*used, "completion_tokens").value_or(0)};
    }
    return event;
}

bool is_draining_error(const std::string& error_body)
{
    const auto body = json::parse(error_body, nullptr, false);
    const auto* const error = member(body, "error");
    return error != nullptr && text_in(*error, "code") == "draining";
}

std::optional<decision::load_report> read_load(const std::string& body,
                                               std::uint64_t expected_incarnation)
{
    const auto report = json::parse(body, nullptr, false);
    if (!report.is_object()) {
        return std::nullopt;
    }
    decision::load_report load;
    double age_ms = 0.0;
    const bool valid = read_amount(report, "running", load.running) &&
                       read_amount(report, "queued", load.queued) &&
                       read_amount(report, "capacity", load.capacity) &&
                       read_amount(report, "age_ms", age_ms) && age_ms <= max_load_age_ms;
    const auto* const draining = member(report, "draining");
    if (!valid || (draining != nullptr && !draining->is_boolean())) {
        return std::nullopt;
    }
    load.age = std::chrono::milliseconds(static_cast<std::int64_t>(age_ms));
    load.draining = draining != nullptr && draining->get<bool>();
    load.incarnation = expected_incarnation;
    if (const auto* const incarnation = member(report, "incarnation")) {
        if (!incarnation->is_number_unsigned()) {
            return std::nullopt;
        }
        load.incarnation = incarnation->get<std::uint64_t>();
    }
    return load;
}

} // namespace pearhaven::router
