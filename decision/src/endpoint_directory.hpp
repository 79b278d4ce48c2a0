#ifndef PEARHAVEN_DECISION_ENDPOINT_DIRECTORY_HPP
#define PEARHAVEN_DECISION_ENDPOINT_DIRECTORY_HPP

#include "endpoint_state.hpp"

#include "pearhaven/decision/configuration.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// The endpoints of one version or service that are not leaving, best first for this router.
struct route {
    std::vector<endpoint*> local; // in the router's zone
    std::vector<endpoint*> remote;
};

// Which endpoints there are, which of them leave, and what each serves.
class endpoint_directory {
public:
    // Settings must outlive the directory.
    explicit endpoint_directory(const endpoint_table_settings& chosen) : settings(chosen) {}

    void configure(const configuration& current);
    void set_hosts(const std::vector<endpoint_host>& hosts, instant now);
    void mark_leaving(const std::string& address, std::uint64_t incarnation, instant now);

    endpoint* find(const std::string& address);
    [[nodiscard]] bool is_leaving(const endpoint& where) const;

    // Empty for a name that the configuration does not hold. Valid until the next change.
    const route& route_for(const std::string& name, bool is_service);

    // The listed endpoints of the same pool or service, itself included.
    [[nodiscard]] const std::vector<endpoint*>& peers_of(const endpoint& where) const;

    [[nodiscard]] const std::map<std::string, endpoint>& all() const { return this->endpoints; }
    [[nodiscard]] const std::map<std::string, version>& served_versions() const
    {
        return this->versions;
    }
    [[nodiscard]] const std::map<std::string, service>& served_services() const
    {
        return this->services;
    }

private:
    // What stays known of an address while no list names it.
    struct address_memory {
        std::optional<std::uint64_t> leaving; // the incarnation that was marked
        std::vector<std::uint64_t> lives;     // incarnations in the order they came, newest last
        instant made{};
    };

    bool take_host(const endpoint_host& host);
    bool begin_life(endpoint& known, const endpoint_host& host);
    void remember_life(const std::string& address, std::uint64_t incarnation);
    [[nodiscard]] std::uint64_t last_life(const std::string& address) const;
    [[nodiscard]] bool has_ended(const std::string& address, std::uint64_t incarnation) const;
    bool drop_unlisted(const std::set<std::string>& listed);
    void forget_old_addresses(instant now);
    void refresh();
    void describe(endpoint& where) const;
    [[nodiscard]] bool serves(const std::string& name, bool is_service,
                              const endpoint_host& host) const;
    [[nodiscard]] bool serves_version(const version& wanted, const endpoint_host& host) const;
    [[nodiscard]] route build_route(const std::string& name, bool is_service);

    const endpoint_table_settings& settings;
    std::map<std::string, endpoint> endpoints;
    std::map<std::string, version> versions;
    std::map<std::string, pool> pools;
    std::map<std::string, service> services;
    std::map<std::string, address_memory> memories;
    std::map<std::pair<bool, std::string>, route> routes;
    std::map<std::string, std::vector<endpoint*>> groups;
};

} // namespace pearhaven::decision

#endif
