#include "pearhaven/adapters/stored_values.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

namespace {

using coordination::bill;
using coordination::config_change;
using coordination::config_head;
using coordination::config_object;
using nlohmann::json;

std::string dump(const json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, json::error_handler_t::replace);
}

// Runs the reader on the parsed text. Whatever is missing or of another type gives nothing: one
// unreadable value must not end the process.
template <class Value>
std::optional<Value> read(std::string_view text, const std::function<Value(const json&)>& reader)
{
    const auto parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        return std::nullopt;
    }
    try {
        return reader(parsed);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

json to_json(const config_object& object)
{
    return {{"kind", object.kind}, {"name", object.name}, {"body", object.body}};
}

config_object to_object(const json& value)
{
    return {value.at("kind").get<std::string>(), value.at("name").get<std::string>(),
            value.at("body").get<std::string>()};
}

json to_json(const std::vector<config_object>& objects)
{
    auto list = json::array();
    for (const auto& object : objects) {
        list.push_back(to_json(object));
    }
    return list;
}

std::vector<config_object> to_objects(const json& list)
{
    std::vector<config_object> objects;
    for (const auto& value : list) {
        objects.push_back(to_object(value));
    }
    return objects;
}

json to_json(const config_change& change)
{
    return {{"revision", change.revision},
            {"write_id", change.write_id},
            {"author", change.author},
            {"unix_ms", change.unix_ms},
            {"objects", to_json(change.objects)}};
}

config_change to_change(const json& value)
{
    return {value.at("revision").get<std::uint64_t>(), value.at("write_id").get<std::string>(),
            value.at("author").get<std::string>(), value.at("unix_ms").get<std::uint64_t>(),
            to_objects(value.at("objects"))};
}

class json_head_codec : public coordination::config_head_codec {
public:
    [[nodiscard]] std::string write_head(const config_head& head) const override
    {
        auto changes = json::array();
        for (const auto& change : head.changes) {
            changes.push_back(to_json(change));
        }
        return dump({{"revision", head.revision},
                     {"write_id", head.write_id},
                     {"changes", std::move(changes)},
                     {"pages", head.pages},
                     {"snapshot_revision", head.snapshot_revision}});
    }

    [[nodiscard]] std::optional<config_head> read_head(std::string_view text) const override
    {
        return read<config_head>(text, [](const json& value) {
            config_head head;
            head.revision = value.at("revision").get<std::uint64_t>();
            head.write_id = value.at("write_id").get<std::string>();
            for (const auto& change : value.at("changes")) {
                head.changes.push_back(to_change(change));
            }
            head.pages = value.at("pages").get<std::vector<std::string>>();
            head.snapshot_revision = value.at("snapshot_revision").get<std::uint64_t>();
            return head;
        });
    }

    [[nodiscard]] std::string write_page(const std::vector<config_object>& objects) const override
    {
        return dump(to_json(objects));
    }

    [[nodiscard]] std::optional<std::vector<config_object>>
    read_page(std::string_view text) const override
    {
        return read<std::vector<config_object>>(text, to_objects);
    }
};

json to_json(const bill& one)
{
    return {{"request", one.request},
            {"team", one.team},
            {"version", one.version},
            {"endpoint", one.endpoint},
            {"prompt_tokens", one.prompt_tokens},
            {"completion_tokens", one.completion_tokens},
            {"spent_tokens", one.spent_tokens},
            {"cost", one.cost}};
}

bill to_bill(const json& value)
{
    bill one;
    one.request = value.at("request").get<std::string>();
    one.team = value.at("team").get<std::string>();
    one.version = value.at("version").get<std::string>();
    one.endpoint = value.at("endpoint").get<std::string>();
    one.prompt_tokens = value.at("prompt_tokens").get<std::uint64_t>();
    one.completion_tokens = value.at("completion_tokens").get<std::uint64_t>();
    one.spent_tokens = value.at("spent_tokens").get<std::uint64_t>();
    one.cost = value.at("cost").get<double>();
    return one;
}

class json_bill_codec : public coordination::bill_page_codec {
public:
    [[nodiscard]] std::string write_bills(const std::vector<bill>& bills) const override
    {
        auto list = json::array();
        for (const auto& one : bills) {
            list.push_back(to_json(one));
        }
        return dump(list);
    }

    [[nodiscard]] std::optional<std::vector<bill>> read_bills(std::string_view text) const override
    {
        return read<std::vector<bill>>(text, [](const json& list) {
            std::vector<bill> bills;
            for (const auto& value : list) {
                bills.push_back(to_bill(value));
            }
            return bills;
        });
    }
};

} // namespace

std::unique_ptr<coordination::config_head_codec> make_config_head_codec()
{
    return std::make_unique<json_head_codec>();
}

std::unique_ptr<coordination::bill_page_codec> make_bill_page_codec()
{
    return std::make_unique<json_bill_codec>();
}

} // namespace pearhaven::adapters
