#ifndef PEARHAVEN_STANDINS_HOST_LIST_HPP
#define PEARHAVEN_STANDINS_HOST_LIST_HPP

#include "pearhaven/decision/time.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pearhaven::standins {

// The hosts as they are, and as a list shows them that learns of each change only a while later.
// Hosts are kept as the JSON objects that they were given as.
class host_list {
public:
    void set(const nlohmann::json& host, decision::instant seen_at);
    void remove(const std::string& name, decision::instant seen_at);

    // The hosts as the list shows them at the time.
    nlohmann::json shown(decision::instant now);

    // The hosts as they are.
    [[nodiscard]] nlohmann::json actual() const;

private:
    using host_map = std::map<std::string, nlohmann::json>;

    struct change {
        decision::instant seen_at;
        std::string name;
        std::optional<nlohmann::json> host; // nothing: removed
    };

    static void apply(const change& due, host_map& hosts);
    static nlohmann::json to_json(const host_map& hosts);

    host_map actual_hosts;
    host_map shown_hosts;
    std::deque<change> pending;
};

// The host with every member that readers expect. Throws nlohmann::json::exception when the name
// or the address is missing or a member has the wrong type.
nlohmann::json complete_host(const nlohmann::json& given);

} // namespace pearhaven::standins

#endif
