#ifndef PEARHAVEN_DECISION_ENDPOINT_DIRECTORY_HPP
#define PEARHAVEN_DECISION_ENDPOINT_DIRECTORY_HPP

#include "endpoint_state.hpp"
#include "label_index.hpp"

#include "pearhaven/decision/configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace pearhaven::decision {

// The endpoints of one version or service that are not leaving, in this router's order of
// preference.
struct route {
    std::vector<endpoint*> local; // in the router's zone
    std::vector<endpoint*> remote;
};

// The effects of a change of the host list.
struct host_list_changes {
    std::vector<ended_incarnation> ended;
    std::uint32_t outstanding_lost = 0; // requests in flight at replaced incarnations
    std::uint32_t readings_lost = 0;    // readings among them
};

// The known endpoints, which of them are leaving, and what each serves. The cost of changing an
// endpoint depends on that endpoint, its group and its routes; the cost of a configuration change
// on the pools, versions and services that differ and what they select, besides the comparison.
class endpoint_directory {
public:
    // `chosen` must outlive the directory.
    explicit endpoint_directory(const endpoint_table_settings& chosen) : settings(chosen) {}

    // Shares ownership of the configuration.
    void configure(const configuration& current, instant now);

    [[nodiscard]] host_list_changes set_hosts(const std::vector<endpoint_host>& hosts, instant now);
    [[nodiscard]] host_list_changes set_host(const endpoint_host& host, instant now);
    [[nodiscard]] host_list_changes drop_host(const std::string& address, instant now);
    void mark_leaving(const std::string& address, std::uint64_t incarnation, instant now);

    endpoint* find(const std::string& address);
    [[nodiscard]] bool is_leaving(const endpoint& where) const;

    // Empty for a name that is not configured. Valid until the next change.
    const route& route_for(const std::string& name, bool is_service);

    // The listed endpoints of the same pool or service, itself included.
    [[nodiscard]] const std::vector<endpoint*>& peers_of(const endpoint& where) const;

    // Its number among them, from 0, in an order on which all routers agree.
    [[nodiscard]] std::size_t number_in_group(const endpoint& where) const;

    [[nodiscard]] const std::map<std::string, endpoint>& all() const { return this->endpoints; }

    template <typename Function>
    void for_each(Function apply)
    {
        for (auto& [address, known] : this->endpoints) {
            apply(known);
        }
    }

    [[nodiscard]] const std::map<std::string, version>& served_versions() const
    {
        return this->config->versions();
    }
    [[nodiscard]] const std::map<std::string, service>& served_services() const
    {
        return this->config->services();
    }

private:
    // What an incarnation stated about itself.
    struct incarnation_statements {
        std::uint64_t incarnation = 0;
        request_limit limit;
        instant rests_until{};
    };

    // What is remembered of an address while it is not listed.
    struct address_history {
        std::optional<std::uint64_t> leaving;             // the incarnation marked as leaving
        std::vector<std::uint64_t> incarnations;          // in order of arrival, newest last
        instant retained_since{};                         // when the address became unlisted
        std::optional<incarnation_statements> statements; // of the endpoint that was dropped
    };

    // An address without an endpoint whose history is retained. Ordered by the start of the
    // retention.
    struct retained_history {
        instant retained_since{};
        std::string address;

        friend bool operator<(const retained_history& left, const retained_history& right)
        {
            return std::tie(left.retained_since, left.address) <
                   std::tie(right.retained_since, right.address);
        }
    };

    // The objects affected by a change of the configuration.
    struct affected {
        name_set addresses;
        std::set<route_key> routes;
    };

    void apply_host(const endpoint_host& host, instant now, host_list_changes& changes);
    void update_host(const endpoint_host& host, instant now, host_list_changes& changes);
    void add_endpoint(const endpoint_host& host, instant now);
    void restore_statements(endpoint& added);
    void update_endpoint(endpoint& known, const endpoint_host& newer, bool was_listed, instant now,
                         host_list_changes& changes);
    [[nodiscard]] bool is_newer(const endpoint& known, const endpoint_host& host) const;
    void remember_incarnation(const std::string& address, std::uint64_t incarnation);
    [[nodiscard]] std::uint64_t last_incarnation(const std::string& address) const;
    [[nodiscard]] bool has_ended(const std::string& address, std::uint64_t incarnation) const;
    void drop(const std::string& address, instant now, host_list_changes& changes);
    void drop_unlisted(const name_set& listed, instant now, host_list_changes& changes);
    void drop_idle_unlisted(instant now, host_list_changes& changes);
    void retain_history(const std::string& address, instant now);
    void expire_histories(instant now, host_list_changes& changes);

    void index_endpoint(endpoint& where);
    void unindex_endpoint(endpoint& where);
    void reindex_endpoint(endpoint& where);
    void add_to_routes(endpoint& where);
    void apply_configuration(endpoint& where) const;
    [[nodiscard]] std::vector<route_key> served_by(const endpoint_host& host) const;
    [[nodiscard]] name_set endpoints_of(const route_key& key) const;
    [[nodiscard]] name_set endpoints_of(const selector& hosts) const;
    [[nodiscard]] name_set versions_of(const pool& offered) const;
    [[nodiscard]] route build_route(const route_key& key);
    [[nodiscard]] static std::vector<endpoint*>::const_iterator
    position_in(const std::vector<endpoint*>& group, const endpoint& where);
    [[nodiscard]] bool is_better(const endpoint& left, const endpoint& right) const;

    void forget_route(const route_key& key);
    void add_affected_by_pools(const name_set& names, affected& all) const;
    void add_affected_by_services(const name_set& names, affected& all) const;
    void add_endpoints_in(const name_set& zones, affected& all) const;
    void begin_cold_periods(const name_set& addresses, instant now);
    [[nodiscard]] bool is_open(const endpoint& where) const;
    void unindex(const name_set& pools, const name_set& versions, const name_set& services);
    void index(const name_set& pools, const name_set& versions, const name_set& services);

    const endpoint_table_settings& settings;
    configuration_ptr config = configuration_builder().build();
    std::map<std::string, endpoint> endpoints;
    std::map<std::string, endpoint_host> refused; // listed with an ended incarnation
    name_set unlisted; // endpoints dropped from the list with requests in flight
    std::map<std::string, address_history> histories;
    std::set<retained_history> retained; // the histories whose address has no endpoint
    std::map<route_key, route> routes;
    std::map<std::string, std::vector<endpoint*>> groups; // in the order of their addresses

    label_index endpoints_by_tags;
    label_index versions_by_tags;
    selector_index pools_by_hosts;
    selector_index pools_by_versions;
    selector_index services_by_hosts;
};

} // namespace pearhaven::decision

#endif
