#ifndef PEARHAVEN_STANDINS_BEHAVIOURS_HPP
#define PEARHAVEN_STANDINS_BEHAVIOURS_HPP

#include "web_server.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace pearhaven::standins {

// Table of the members of a settings struct that `POST /control/behave` may set. The text for
// --help is generated from the same table, so the two cannot differ.
template <class settings>
class behaviour_table {
public:
    // The member is a bool, an integer, a floating-point number or a string.
    template <class value_type>
    behaviour_table& add(const std::string& name, value_type settings::*target,
                         const std::string& meaning)
    {
        entry added;
        added.name = name;
        added.meaning = meaning;
        added.set = [target](const nlohmann::json& value, settings& changed) {
            if (!fits<value_type>(value)) {
                return false;
            }
            changed.*target = value.get<value_type>();
            return true;
        };
        added.show = [target](const settings& current) { return nlohmann::json(current.*target); };
        this->entries.push_back(std::move(added));
        return *this;
    }

    // The check returns what is wrong with the combination of new settings, if anything.
    behaviour_table& check(std::function<std::optional<std::string>(const settings&)> wanted)
    {
        this->checker = std::move(wanted);
        return *this;
    }

    // Sets all the named members, or sets none and returns the reason.
    std::optional<std::string> apply(const nlohmann::json& wanted, settings& current) const
    {
        if (!wanted.is_object()) {
            return "expected an object of behaviours";
        }
        settings changed = current;
        for (const auto& [name, value] : wanted.items()) {
            const auto* found = this->find(name);
            if (found == nullptr) {
                return "unknown behaviour: " + name;
            }
            if (!found->set(value, changed)) {
                return "wrong type for behaviour " + name + ": " + value.dump();
            }
        }
        if (auto problem = this->checker ? this->checker(changed) : std::nullopt) {
            return problem;
        }
        current = std::move(changed);
        return std::nullopt;
    }

    [[nodiscard]] nlohmann::json show(const settings& current) const
    {
        auto shown = nlohmann::json::object();
        for (const auto& each : this->entries) {
            shown[each.name] = each.show(current);
        }
        return shown;
    }

    [[nodiscard]] std::string help() const
    {
        std::string text = "Behaviours for POST /control/behave:\n";
        for (const auto& each : this->entries) {
            text += "  " + each.name + ": " + each.meaning + "\n";
        }
        return text;
    }

private:
    struct entry {
        std::string name;
        std::string meaning;
        std::function<bool(const nlohmann::json&, settings&)> set;
        std::function<nlohmann::json(const settings&)> show;
    };

    template <class value_type>
    static bool fits(const nlohmann::json& value)
    {
        if constexpr (std::is_same_v<value_type, bool>) {
            return value.is_boolean();
        } else if constexpr (std::is_same_v<value_type, std::string>) {
            return value.is_string();
        } else if constexpr (std::is_unsigned_v<value_type>) {
            return value.is_number_integer() && value >= 0;
        } else {
            return value.is_number();
        }
    }

    [[nodiscard]] const entry* find(const std::string& name) const
    {
        for (const auto& each : this->entries) {
            if (each.name == name) {
                return &each;
            }
        }
        return nullptr;
    }

    std::vector<entry> entries;
    std::function<std::optional<std::string>(const settings&)> checker;
};

// The current behaviours, shared by the handler threads.
template <class settings>
class behaviour_control {
public:
    explicit behaviour_control(behaviour_table<settings> named) : table(std::move(named)) {}

    [[nodiscard]] settings get() const
    {
        const std::lock_guard guard(this->mutex);
        return this->current;
    }

    // Changes the behaviours in place, for countdowns and one-time settings.
    template <class change>
    auto update(change action)
    {
        const std::lock_guard guard(this->mutex);
        return action(this->current);
    }

    // Adds `POST /control/behave`, which answers with all behaviours, and `GET /control/behave`.
    void add_routes(web_server& server, std::function<void(const settings&)> changed = {})
    {
        server.route("POST", "/control/behave", [this, changed](web_exchange& exchange) {
            const auto wanted = exchange.json_body();
            const auto problem =
                this->update([&](settings& present) { return this->table.apply(wanted, present); });
            if (problem) {
                exchange.answer(400, {{"error", *problem}});
                return;
            }
            if (changed) {
                changed(this->get());
            }
            exchange.answer(200, this->table.show(this->get()));
        });
        server.route("GET", "/control/behave", [this](web_exchange& exchange) {
            exchange.answer(200, this->table.show(this->get()));
        });
    }

private:
    behaviour_table<settings> table;
    mutable std::mutex mutex;
    settings current;
};

} // namespace pearhaven::standins

#endif
