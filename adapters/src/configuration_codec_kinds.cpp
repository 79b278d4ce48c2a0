#include "configuration_codec_kinds.hpp"

#include <algorithm>
#include <iterator>

namespace pearhaven::adapters {

namespace {

using nlohmann::json;

constexpr std::uint64_t max_requests = 1'000'000;
constexpr std::uint64_t max_traffic = 1'000'000;
constexpr std::uint64_t max_callers = 1'000'000'000;
constexpr std::uint64_t max_steps = 1'000'000;
constexpr std::uint64_t max_runs = 1ULL
                                   << 53U; // revisions; JSON readers keep integers exact up to here
constexpr std::uint64_t max_routers = 1'000'000;
constexpr std::uint64_t week_seconds = 604'800;
constexpr std::uint64_t max_unix_ms = max_runs; // the same limit of JSON readers
constexpr std::uint64_t max_key_number = 0xffff'ffff;
constexpr double max_weight = 1e6;
constexpr double max_cost = 1e12;

constexpr bool required = true;

// Copies the field to the member, which keeps its default if the field is absent.
template <class Value>
void read(const json& spec, const char* field, Value& member)
{
    const auto found = spec.find(field);
    if (found != spec.end()) {
        member = found->get<Value>();
    }
}

void read(const json& spec, const char* field, decision::selector& member)
{
    const auto found = spec.find(field);
    if (found == spec.end()) {
        return;
    }
    decision::selector parsed;
    if (found->is_object()) {
        for (const auto& [label, values] : found->items()) {
            parsed = parsed.require(label, values.get<std::vector<std::string>>());
        }
    }
    member = std::move(parsed);
}

void no_consistency_check(const object_parts& /*object*/, fault_collector& /*faults*/) {}

void add_team(decision::configuration_builder& builder, const object_parts& object)
{
    decision::team result;
    result.name = object.name;
    result.tags = object.tags;
    read(object.spec, "key_sha256", result.key_sha256);
    read(object.spec, "weight", result.weight);
    read(object.spec, "max_in_flight", result.max_in_flight);
    read(object.spec, "versions", result.versions);
    builder.add(std::move(result));
}

kind_schema team_schema()
{
    return {"team",
            {{"key_sha256", list_of(sha256_digest(), 0)},
             {"weight", number_above(0, max_weight)},
             {"max_in_flight", whole_number(1, max_requests)},
             {"versions", selector_map()}},
            no_consistency_check,
            add_team};
}

// The router sets these two labels itself, so that selectors can rely on them.
void check_version(const object_parts& object, fault_collector& faults)
{
    for (const char* reserved : {"model", "version"}) {
        if (object.tags.count(reserved) > 0) {
            faults.add_at_key(member_path("labels", reserved), "a reserved label",
                              "no such label on a version: it always has its own name and model");
        }
    }
}

void add_version(decision::configuration_builder& builder, const object_parts& object)
{
    decision::version result;
    result.name = object.name;
    result.tags = object.tags;
    read(object.spec, "model", result.model);
    read(object.spec, "fallback", result.fallback);
    read(object.spec, "withdrawn", result.withdrawn);
    read(object.spec, "cost_per_token", result.cost_per_token);
    read(object.spec, "traffic", result.traffic);
    builder.add(std::move(result));
}

kind_schema version_schema()
{
    return {"version",
            {{"model", object_name(), required},
             {"fallback", optional_object_name()},
             {"withdrawn", flag()},
             {"cost_per_token", number_at_least(0, max_cost)},
             {"traffic", whole_number(0, max_traffic)}},
            check_version,
            add_version};
}

void add_pool(decision::configuration_builder& builder, const object_parts& object)
{
    decision::pool result;
    result.name = object.name;
    result.tags = object.tags;
    read(object.spec, "hosts", result.hosts);
    read(object.spec, "versions", result.versions);
    read(object.spec, "slots_per_host", result.slots_per_host);
    read(object.spec, "long_share", result.long_share);
    read(object.spec, "checks_fencing", result.checks_fencing);
    builder.add(std::move(result));
}

kind_schema pool_schema()
{
    return {"pool",
            {{"hosts", selector_map()},
             {"versions", selector_map()},
             {"slots_per_host", whole_number(1, max_requests)},
             {"long_share", number_at_least(0, 1)},
             {"checks_fencing", flag()}},
            no_consistency_check,
            add_pool};
}

void add_service(decision::configuration_builder& builder, const object_parts& object)
{
    decision::service result;
    result.name = object.name;
    result.tags = object.tags;
    read(object.spec, "hosts", result.hosts);
    read(object.spec, "teams", result.teams);
    read(object.spec, "idempotent", result.idempotent);
    read(object.spec, "idempotent_methods", result.idempotent_methods);
    builder.add(std::move(result));
}

kind_schema service_schema()
{
    return {"service",
            {{"hosts", selector_map()},
             {"teams", selector_map()},
             {"idempotent", flag()},
             {"idempotent_methods", list_of(http_method(), 0)}},
            no_consistency_check,
            add_service};
}

struct named_state {
    const char* name;
    decision::rollout_state state;
};

constexpr named_state rollout_states[] = {{"running", decision::rollout_state::running},
                                          {"done", decision::rollout_state::done},
                                          {"rolled_back", decision::rollout_state::rolled_back}};

// Null for an unknown name.
const named_state* find_rollout_state(const std::string& name)
{
    const auto* const found =
        std::find_if(std::begin(rollout_states), std::end(rollout_states),
                     [&name](const named_state& candidate) { return candidate.name == name; });
    return found == std::end(rollout_states) ? nullptr : found;
}

// `running`, `done` or `rolled_back`.
class rollout_state_rule : public value_rule {
public:
    [[nodiscard]] std::string allowed() const override
    {
        return "one of running, done, rolled_back";
    }

    json check(const json& value, const std::string& path, fault_collector& faults) const override
    {
        if (!value.is_string() || find_rollout_state(value.get<std::string>()) == nullptr) {
            faults.add(path, shown(value), this->allowed());
        }
        return value;
    }
};

void read(const json& spec, const char* field, decision::rollout_state& member)
{
    const auto found = spec.find(field);
    if (found != spec.end()) {
        member = find_rollout_state(found->get<std::string>())->state;
    }
}

decision::rollout make_rollout(const object_parts& object)
{
    decision::rollout result;
    result.name = object.name;
    read(object.spec, "from", result.from);
    read(object.spec, "to", result.to);
    read(object.spec, "step_callers", result.step_callers);
    read(object.spec, "step_seconds", result.step_seconds);
    read(object.spec, "max_error_rate", result.max_error_rate);
    read(object.spec, "base_error_rate", result.base_error_rate);
    read(object.spec, "paused", result.paused);
    read(object.spec, "state", result.state);
    read(object.spec, "step", result.step);
    read(object.spec, "run", result.run);
    read(object.spec, "routers", result.routers);
    return result;
}

void check_rollout(const object_parts& object, fault_collector& faults)
{
    const decision::rollout result = make_rollout(object);
    if (!std::is_sorted(result.step_callers.begin(), result.step_callers.end())) {
        faults.add("spec.step_callers", shown(object.spec["step_callers"]),
                   "numbers that do not decrease from one step to the next");
    }
    if (result.base_error_rate >= result.max_error_rate) {
        faults.add("spec.base_error_rate", shown(result.base_error_rate),
                   "a number below max_error_rate, which is " + shown(result.max_error_rate));
    }
    if (result.from == result.to) {
        faults.add("spec.to", shown(result.to), "another version than the one in from");
    }
}

void add_rollout(decision::configuration_builder& builder, const object_parts& object)
{
    builder.add(make_rollout(object));
}

kind_schema rollout_schema()
{
    return {"rollout",
            {{"from", object_name(), required},
             {"to", object_name(), required},
             {"step_callers", list_of(whole_number(1, max_callers), 1), required},
             {"step_seconds", whole_number(1, week_seconds)},
             {"max_error_rate", number_between(0, 1)},
             {"base_error_rate", number_between(0, 1)},
             {"paused", flag()},
             {"state", std::make_shared<rollout_state_rule>()},
             {"step", whole_number(0, max_steps)},
             {"run", whole_number(0, max_runs)},
             {"routers", whole_number(0, max_routers)}},
            check_rollout,
            add_rollout};
}

void check_cascade(const object_parts& object, fault_collector& faults)
{
    if (object.spec["cheap"] == object.spec["costly"]) {
        faults.add("spec.costly", shown(object.spec["costly"]),
                   "another version than the one in cheap");
    }
}

void add_cascade(decision::configuration_builder& builder, const object_parts& object)
{
    decision::cascade result;
    result.name = object.name;
    read(object.spec, "model", result.model);
    read(object.spec, "teams", result.teams);
    read(object.spec, "cheap", result.cheap);
    read(object.spec, "costly", result.costly);
    read(object.spec, "quality_target", result.quality_target);
    builder.add(std::move(result));
}

kind_schema cascade_schema()
{
    return {"cascade",
            {{"model", object_name(), required},
             {"teams", selector_map()},
             {"cheap", object_name(), required},
             {"costly", object_name(), required},
             {"quality_target", number_between(0, 1)}},
            check_cascade,
            add_cascade};
}

// There is only one list of session keys; with a second object, it would be ambiguous which list
// applies.
void check_session_keys(const object_parts& object, fault_collector& faults)
{
    if (object.name != "default") {
        faults.add("name", shown(object.name), "default, the only object of this kind");
    }
    auto numbers = object.spec["numbers"].get<std::vector<std::uint32_t>>();
    std::sort(numbers.begin(), numbers.end());
    if (std::adjacent_find(numbers.begin(), numbers.end()) != numbers.end()) {
        faults.add("spec.numbers", shown(object.spec["numbers"]), "each number once");
    }
}

void add_session_keys(decision::configuration_builder& builder, const object_parts& object)
{
    builder.session_keys(object.spec["numbers"].get<std::vector<std::uint32_t>>());
}

kind_schema session_keys_schema()
{
    return {"session_keys",
            {{"numbers", list_of(whole_number(1, max_key_number), 1), required}},
            check_session_keys,
            add_session_keys};
}

void add_evacuation(decision::configuration_builder& builder, const object_parts& object)
{
    decision::evacuation result;
    result.zone = object.name;
    read(object.spec, "by", result.by);
    read(object.spec, "unix_ms", result.unix_ms);
    builder.add(std::move(result));
}

// The object's name is the zone's.
kind_schema evacuation_schema()
{
    return {"evacuation",
            {{"by", short_text()}, {"unix_ms", whole_number(0, max_unix_ms)}},
            no_consistency_check,
            add_evacuation};
}

std::string allowed_fields(const kind_schema& schema)
{
    std::string text = "one of";
    for (const auto& field : schema.fields) {
        text += (&field == &schema.fields.front() ? " " : ", ") + field.name;
    }
    return text;
}

void check_unknown_fields(const kind_schema& schema, const json& spec, fault_collector& faults)
{
    for (const auto& [name, value] : spec.items()) {
        const bool known =
            std::any_of(schema.fields.begin(), schema.fields.end(),
                        [&key = name](const field_schema& field) { return field.name == key; });
        if (!known) {
            faults.add_at_key(member_path("spec", name), "an unknown field",
                              allowed_fields(schema));
        }
    }
}

} // namespace

const std::vector<kind_schema>& kind_schemas()
{
    static const std::vector<kind_schema> schemas = {
        team_schema(),    version_schema(), pool_schema(),         service_schema(),
        rollout_schema(), cascade_schema(), session_keys_schema(), evacuation_schema()};
    return schemas;
}

const kind_schema* find_kind(std::string_view kind)
{
    for (const auto& schema : kind_schemas()) {
        if (schema.kind == kind) {
            return &schema;
        }
    }
    return nullptr;
}

std::string allowed_kinds()
{
    std::string text = "one of";
    for (const auto& schema : kind_schemas()) {
        text += (&schema == &kind_schemas().front() ? " " : ", ") + schema.kind;
    }
    return text;
}

json check_spec(const kind_schema& schema, const json& spec, fault_collector& faults)
{
    json canonical = json::object();
    if (!spec.is_object()) {
        faults.add("spec", shown(spec), "a map with " + allowed_fields(schema));
        return canonical;
    }
    check_unknown_fields(schema, spec, faults);
    for (const auto& field : schema.fields) {
        const std::string path = member_path("spec", field.name);
        const auto found = spec.find(field.name);
        if (found != spec.end()) {
            canonical[field.name] = field.rule->check(*found, path, faults);
        } else if (field.required) {
            faults.add(path, "nothing", field.rule->allowed());
        }
    }
    return canonical;
}

} // namespace pearhaven::adapters
