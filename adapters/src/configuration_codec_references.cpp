#include "pearhaven/adapters/configuration_codec.hpp"

#include <map>

namespace pearhaven::adapters {

namespace {

// Collects the references of objects to other objects that are missing or do not match.
class reference_check {
public:
    explicit reference_check(const decision::configuration& all) : current(all) {}

    std::vector<configuration_fault> run()
    {
        this->check_team_keys();
        for (const auto& [name, object] : this->current.versions()) {
            this->check_fallback(object);
        }
        for (const auto& [name, object] : this->current.rollouts()) {
            this->check_rollout(object);
        }
        for (const auto& [name, object] : this->current.cascades()) {
            this->check_version("cascade/" + name, "spec.cheap", object.cheap);
            this->check_version("cascade/" + name, "spec.costly", object.costly);
        }
        return std::move(this->faults);
    }

private:
    // If two teams shared a key, one team would be billed for the requests of the other.
    void check_team_keys()
    {
        std::map<std::string, std::string> team_by_key;
        for (const auto& [name, object] : this->current.teams()) {
            for (const auto& digest : object.key_sha256) {
                const auto [first, inserted] = team_by_key.emplace(digest, name);
                if (!inserted) {
                    this->add("team/" + name, "spec.key_sha256",
                              "\"" + digest + "\", which team " + first->second + " holds",
                              "each key once");
                }
            }
        }
    }

    void check_fallback(const decision::version& object)
    {
        if (object.fallback.empty()) {
            return;
        }
        const std::string location = "version/" + object.name;
        if (object.fallback == object.name) {
            this->add(location, "spec.fallback", "the version itself", "another version");
            return;
        }
        this->check_same_model(location, "spec.fallback", object.fallback, object.model);
    }

    void check_rollout(const decision::rollout& object)
    {
        const std::string location = "rollout/" + object.name;
        const decision::version* const from =
            this->check_version(location, "spec.from", object.from);
        if (from == nullptr) {
            this->check_version(location, "spec.to", object.to);
            return;
        }
        this->check_same_model(location, "spec.to", object.to, from->model);
    }

    void check_same_model(const std::string& location, const std::string& field,
                          const std::string& name, const std::string& model)
    {
        const decision::version* const found = this->check_version(location, field, name);
        if (found != nullptr && found->model != model) {
            this->add(location, field, "\"" + name + "\" of model " + found->model,
                      "a version of model " + model);
        }
    }

    const decision::version* check_version(const std::string& location, const std::string& field,
                                           const std::string& name)
    {
        const decision::version* const found = this->current.find_version(name);
        if (found == nullptr) {
            this->add(location, field, "\"" + name + "\"", "the name of a version that is there");
        }
        return found;
    }

    void add(std::string location, std::string field, std::string found, std::string allowed)
    {
        this->faults.push_back(
            {std::move(location), 0, std::move(field), std::move(found), std::move(allowed)});
    }

    const decision::configuration& current;
    std::vector<configuration_fault> faults;
};

} // namespace

std::vector<configuration_fault>
check_references(const std::vector<coordination::config_object>& objects)
{
    const auto built = build_configuration(0, objects);
    return reference_check(*built.configuration).run();
}

} // namespace pearhaven::adapters
