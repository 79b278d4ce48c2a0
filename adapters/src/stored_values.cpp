#include "pearhaven/adapters/stored_values.hpp"

#include "stored_values_json.hpp"

#include <array>

namespace pearhaven::adapters {

namespace {

using coordination::bill;
using coordination::config_change;
using coordination::config_head;
using coordination::config_object;
using coordination::member;
using coordination::member_state;
using nlohmann::json;

json write_object(const config_object& object)
{
    return {{"kind", object.kind}, {"name", object.name}, {"body", object.body}};
}

config_object read_object(const json& value)
{
    return {text_field(value, "kind"), text_field(value, "name"), text_field(value, "body")};
}

std::vector<config_object> read_objects(const json& value)
{
    return read_list(value, read_object);
}

json write_change(const config_change& change)
{
    return {{"revision", change.revision},
            {"write_id", change.write_id},
            {"author", change.author},
            {"unix_ms", change.unix_ms},
            {"objects", to_list(change.objects, write_object)}};
}

config_change read_change(const json& value)
{
    return {count_field(value, "revision"), text_field(value, "write_id"),
            text_field(value, "author"), count_field(value, "unix_ms"),
            read_objects(field(value, "objects"))};
}

std::string read_page_key(const json& value)
{
    if (!value.is_string()) {
        throw malformed_value();
    }
    return value.get<std::string>();
}

config_head read_head_value(const json& value)
{
    return {count_field(value, "revision"), text_field(value, "write_id"),
            read_list(field(value, "changes"), read_change),
            read_list(field(value, "pages"), read_page_key),
            count_field(value, "snapshot_revision")};
}

class json_head_codec : public coordination::config_head_codec {
public:
    [[nodiscard]] std::string write_head(const config_head& head) const override
    {
        return to_stored_text({{"revision", head.revision},
                               {"write_id", head.write_id},
                               {"changes", to_list(head.changes, write_change)},
                               {"pages", head.pages},
                               {"snapshot_revision", head.snapshot_revision}});
    }

    [[nodiscard]] std::optional<config_head> read_head(std::string_view text) const override
    {
        return read_stored_text(text, read_head_value);
    }

    [[nodiscard]] std::string write_page(const std::vector<config_object>& objects) const override
    {
        return to_stored_text(to_list(objects, write_object));
    }

    [[nodiscard]] std::optional<std::vector<config_object>>
    read_page(std::string_view text) const override
    {
        return read_stored_text(text, read_objects);
    }
};

json write_bill(const bill& record)
{
    return {{"request", record.request},
            {"team", record.team},
            {"version", record.version},
            {"endpoint", record.endpoint},
            {"prompt_tokens", record.prompt_tokens},
            {"completion_tokens", record.completion_tokens},
            {"spent_tokens", record.spent_tokens},
            {"cost", record.cost}};
}

bill read_bill(const json& value)
{
    return {text_field(value, "request"),        text_field(value, "team"),
            text_field(value, "version"),        text_field(value, "endpoint"),
            count_field(value, "prompt_tokens"), count_field(value, "completion_tokens"),
            count_field(value, "spent_tokens"),  number_field(value, "cost")};
}

std::vector<bill> read_bill_list(const json& value)
{
    return read_list(value, read_bill);
}

class json_bill_codec : public coordination::bill_page_codec {
public:
    [[nodiscard]] std::string write_bills(const std::vector<bill>& bills) const override
    {
        return to_stored_text(to_list(bills, write_bill));
    }

    [[nodiscard]] std::optional<std::vector<bill>> read_bills(std::string_view text) const override
    {
        return read_stored_text(text, read_bill_list);
    }
};

constexpr std::array<stored_name<member_state>, 4> state_names = {
    {{member_state::alive, "alive"},
     {member_state::suspect, "suspect"},
     {member_state::leaving, "leaving"},
     {member_state::dead, "dead"}}};

std::uint16_t port_field(const json& value, const char* name)
{
    return static_cast<std::uint16_t>(
        count_field(value, name, std::numeric_limits<std::uint16_t>::max()));
}

member read_member_value(const json& value)
{
    return {text_field(value, "id"),
            text_field(value, "host"),
            port_field(value, "peer_port"),
            port_field(value, "operator_port"),
            text_field(value, "zone"),
            count_field(value, "sequence"),
            read_name(state_names, text_field(value, "state")),
            count_field(value, "config_revision")};
}

class json_member_codec : public coordination::member_codec {
public:
    [[nodiscard]] std::string write_member(const member& record) const override
    {
        return to_stored_text({{"id", record.id},
                               {"host", record.host},
                               {"peer_port", record.peer_port},
                               {"operator_port", record.operator_port},
                               {"zone", record.zone},
                               {"sequence", record.sequence},
                               {"state", write_name(state_names, record.state)},
                               {"config_revision", record.config_revision}});
    }

    [[nodiscard]] std::optional<member> read_member(std::string_view text) const override
    {
        return read_stored_text(text, read_member_value);
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

std::unique_ptr<coordination::member_codec> make_member_codec()
{
    return std::make_unique<json_member_codec>();
}

} // namespace pearhaven::adapters
