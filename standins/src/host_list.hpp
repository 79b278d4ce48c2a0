#ifndef PEARHAVEN_STANDINS_HOST_LIST_HPP
#define PEARHAVEN_STANDINS_HOST_LIST_HPP

#include "pearhaven/decision/time.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pearhaven::standins {

// The actual hosts, and the host list as published, in which each change appears only after a lag.
// Hosts are kept as the JSON objects in which they were supplied.
class host_list {
public:
    void set(const nlohmann::json& host, decision::instant seen_at);
    void remove(const std::string& name, decision::instant seen_at);

    // The published hosts at the given time.
    nlohmann::json published(decision::instant now);

    // The actual hosts, without the lag.
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
    host_map published_hosts;
    std::deque<change> pending;
};

// Returns the host with defaults for missing optional members. Throws nlohmann::json::exception
// when the name or the address is missing or a member has the wrong type.
nlohmann::json complete_host(const nlohmann::json& given);

} // namespace pearhaven::standins

#endif
