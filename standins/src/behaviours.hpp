#ifndef PEARHAVEN_STANDINS_BEHAVIOURS_HPP
#define PEARHAVEN_STANDINS_BEHAVIOURS_HPP

#include "web_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pearhaven::standins {

// Names the members of a settings struct that `POST /control/behave` may set. The same table gives
// the text for --help, so that the two cannot differ.
template <class settings>
class behaviour_table {
public:
    using member = std::variant<bool settings::*, std::uint64_t settings::*, double settings::*,
                                std::string settings::*>;

    behaviour_table& add(std::string name, member target, std::string meaning)
    {
        this->entries.push_back({std::move(name), target, std::move(meaning)});
        return *this;
    }

    // Sets all the named members, or none and says why not.
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
            if (!set(found->target, value, changed)) {
                return "wrong type for behaviour " + name + ": " + value.dump();
            }
        }
        current = std::move(changed);
        return std::nullopt;
    }

    [[nodiscard]] nlohmann::json show(const settings& current) const
    {
        auto shown = nlohmann::json::object();
        for (const auto& each : this->entries) {
            std::visit([&](auto target) { shown[each.name] = current.*target; }, each.target);
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
        member target;
        std::string meaning;
    };

    [[nodiscard]] const entry* find(const std::string& name) const
    {
        for (const auto& each : this->entries) {
            if (each.name == name) {
                return &each;
            }
        }
        return nullptr;
    }

    static bool set(const member& target, const nlohmann::json& value, settings& changed)
    {
        if (const auto* flag = std::get_if<bool settings::*>(&target)) {
            return value.is_boolean() && assign(changed.*(*flag), value);
        }
        if (const auto* count = std::get_if<std::uint64_t settings::*>(&target)) {
            return value.is_number_unsigned() && assign(changed.*(*count), value);
        }
        if (const auto* number = std::get_if<double settings::*>(&target)) {
            return value.is_number() && assign(changed.*(*number), value);
        }
        return value.is_string() &&
               assign(changed.*std::get<std::string settings::*>(target), value);
    }

    template <class value_type>
    static bool assign(value_type& target, const nlohmann::json& value)
    {
        target = value.get<value_type>();
        return true;
    }

    std::vector<entry> entries;
};

// The behaviours in force, shared by the handlers' threads.
template <class settings>
class behaviour_control {
public:
    explicit behaviour_control(behaviour_table<settings> named) : table(std::move(named)) {}

    [[nodiscard]] settings get() const
    {
        const std::lock_guard guard(this->mutex);
        return this->current;
    }

    // Changes the behaviours in place: counts that run down, settings that hold once.
    template <class change>
    auto update(change action)
    {
        const std::lock_guard guard(this->mutex);
        return action(this->current);
    }

    // Adds `POST /control/behave`, which answers with all behaviours, and `GET` of the same.
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
