#include "pearhaven/adapters/shallow_json.hpp"

#include <utility>

namespace pearhaven::adapters {

namespace {

using nlohmann::json;

json nothing()
{
    return json(json::value_t::discarded);
}

} // namespace

shallow_json parse_shallow_json(const std::string& text, int deepest)
{
    bool too_deep = false;
    const auto watch_depth = [&too_deep, deepest](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > deepest;
        return !too_deep;
    };
    auto value = json::parse(text, watch_depth, false);
    if (too_deep) {
        return {nothing(), json_fault::too_deep};
    }
    if (value.is_discarded()) {
        return {nothing(), json_fault::malformed};
    }
    return {std::move(value), json_fault::none};
}

} // namespace pearhaven::adapters
