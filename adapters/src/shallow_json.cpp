#include "pearhaven/adapters/shallow_json.hpp"

#include <utility>

namespace pearhaven::adapters {

namespace {

using nlohmann::json;

json discarded_value()
{
    return json(json::value_t::discarded);
}

} // namespace

shallow_json parse_shallow_json(const std::string& text, int max_depth)
{
    bool too_deep = false;
    const auto check_depth = [&too_deep, max_depth](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    auto value = json::parse(text, check_depth, false);
    if (too_deep) {
        return {discarded_value(), json_fault::too_deep};
    }
    if (value.is_discarded()) {
        return {discarded_value(), json_fault::malformed};
    }
    return {std::move(value), json_fault::none};
}

} // namespace pearhaven::adapters
