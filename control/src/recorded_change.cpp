#include "recorded_change.hpp"

#include "object_difference.hpp"
#include "process_clock.hpp"

namespace pearhaven::control {

using coordination::config_change;
using nlohmann::json;

json recorded_change_json(const config_change& change)
{
    json objects = json::array();
    for (const auto& object : change.objects) {
        json value = object_json(object);
        value["deleted"] = object.body.empty();
        objects.push_back(std::move(value));
    }
    return {{"revision", change.revision},
            {"write_id", change.write_id},
            {"author", change.author},
            {"unix_ms", change.unix_ms},
            {"objects", std::move(objects)}};
}

std::vector<std::string> recorded_change_heading()
{
    return {"REVISION", "TIME", "AUTHOR", "WRITE", "OBJECTS"};
}

std::vector<std::string> recorded_change_row(const config_change& change)
{
    std::string objects;
    for (const auto& object : change.objects) {
        objects += (objects.empty() ? "" : " ") + object_text(object.kind, object.name) +
                   (object.body.empty() ? "(deleted)" : "");
    }
    return {std::to_string(change.revision), utc_text(change.unix_ms), change.author,
            change.write_id, objects};
}

} // namespace pearhaven::control
