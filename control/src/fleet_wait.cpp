#include "fleet_wait.hpp"

#include <map>
#include <set>

namespace pearhaven::control {

namespace {

using coordination::member;

constexpr decision::duration poll_interval = std::chrono::milliseconds{200};

// Number of confirmed routers that are still queried in each round, for their view of the
// membership.
constexpr std::size_t max_membership_sources = 2;

class fleet_wait {
public:
    fleet_wait(command_context& current_context, std::uint64_t wanted)
        : context(current_context), revision(wanted)
    {}

    fleet_wait_result run(decision::duration timeout)
    {
        const decision::instant deadline = this->context.clock.now() + timeout;
        fleet_wait_result result = this->poll();
        while (!result.applied && this->context.clock.now() < deadline) {
            this->context.clock.sleep(poll_interval);
            result = this->poll();
        }
        return result;
    }

private:
    fleet_wait_result poll()
    {
        fleet_wait_result result;
        const auto listed = this->context.store.members();
        if (listed.error) {
            result.problem = listed.error.message();
            return result;
        }
        if (listed.members.empty()) {
            result.problem = "no router has a record in the key-value service";
            return result;
        }
        const auto statuses = this->query_status(listed.members, result);
        const std::vector<member> unlisted = unlisted_members(listed.members, statuses);
        this->query_status(unlisted, result);
        result.routers = listed.members.size() + unlisted.size();
        result.applied = result.lagging.empty();
        return result;
    }

    // Queries the routers that are not yet confirmed, and a few confirmed ones for their view of
    // the membership.
    std::vector<router_status> query_status(const std::vector<member>& routers,
                                            fleet_wait_result& result)
    {
        std::vector<member> queried;
        std::size_t membership_sources = 0;
        for (const auto& router : routers) {
            if (this->confirmed.count(router.id) == 0 ||
                ++membership_sources <= max_membership_sources) {
                queried.push_back(router);
            }
        }
        auto statuses = this->context.routers.query_status(queried);
        for (std::size_t index = 0; index < queried.size(); ++index) {
            this->record_status(queried[index], statuses[index], result);
        }
        return statuses;
    }

    void record_status(const member& router, const router_status& status, fleet_wait_result& result)
    {
        if (this->confirmed.count(router.id) > 0) {
            return;
        }
        if (!status.problem.empty()) {
            result.lagging.push_back({router, status.problem});
        } else if (status.revision < this->revision) {
            result.lagging.push_back(
                {router, "at revision " + std::to_string(status.revision) + " still"});
        } else {
            this->confirmed.insert(router.id);
        }
    }

    command_context& context;
    std::uint64_t revision;
    std::set<coordination::incarnation_id> confirmed;
};

} // namespace

std::vector<member> unlisted_members(const std::vector<member>& listed,
                                     const std::vector<router_status>& statuses)
{
    std::map<coordination::incarnation_id, member> unlisted;
    for (const auto& status : statuses) {
        for (const auto& router : status.members) {
            unlisted[router.id] = router;
        }
    }
    for (const auto& router : listed) {
        unlisted.erase(router.id);
    }
    std::vector<member> members;
    members.reserve(unlisted.size());
    for (auto& [id, router] : unlisted) {
        members.push_back(std::move(router));
    }
    return members;
}

fleet_wait_result wait_for_fleet(command_context& context, std::uint64_t revision,
                                 decision::duration timeout)
{
    return fleet_wait(context, revision).run(timeout);
}

} // namespace pearhaven::control
