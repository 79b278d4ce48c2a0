#include "fleet_wait.hpp"

#include <map>
#include <set>

namespace pearhaven::control {

namespace {

using coordination::member;

constexpr decision::duration round_pause = std::chrono::milliseconds{200};

// Routers that have the revision already and are asked all the same whom they take for live.
constexpr std::size_t most_witnesses = 2;

class fleet_wait {
public:
    fleet_wait(command_context& surroundings, std::uint64_t wanted)
        : context(surroundings), revision(wanted)
    {}

    fleet_wait_result run(decision::duration patience)
    {
        const decision::instant deadline = this->context.clock.now() + patience;
        fleet_wait_result result = this->look();
        while (!result.in_force && this->context.clock.now() < deadline) {
            this->context.clock.sleep(round_pause);
            result = this->look();
        }
        return result;
    }

private:
    fleet_wait_result look()
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
        const auto statuses = this->ask(listed.members, result);
        const std::vector<member> unlisted = unlisted_members(listed.members, statuses);
        this->ask(unlisted, result);
        result.routers = listed.members.size() + unlisted.size();
        result.in_force = result.lagging.empty();
        return result;
    }

    // Asks those that are not known to have the revision, and a few more for their view of the
    // fleet.
    std::vector<router_status> ask(const std::vector<member>& routers, fleet_wait_result& result)
    {
        std::vector<member> asked;
        std::size_t witnesses = 0;
        for (const auto& router : routers) {
            if (this->seen.count(router.id) == 0 || ++witnesses <= most_witnesses) {
                asked.push_back(router);
            }
        }
        auto statuses = this->context.routers.ask(asked);
        for (std::size_t index = 0; index < asked.size(); ++index) {
            this->judge(asked[index], statuses[index], result);
        }
        return statuses;
    }

    void judge(const member& router, const router_status& status, fleet_wait_result& result)
    {
        if (this->seen.count(router.id) > 0) {
            return;
        }
        if (!status.problem.empty()) {
            result.lagging.push_back({router, status.problem});
        } else if (status.revision < this->revision) {
            result.lagging.push_back(
                {router, "at revision " + std::to_string(status.revision) + " still"});
        } else {
            this->seen.insert(router.id);
        }
    }

    command_context& context;
    std::uint64_t revision;
    std::set<coordination::incarnation_id> seen;
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
                                 decision::duration patience)
{
    return fleet_wait(context, revision).run(patience);
}

} // namespace pearhaven::control
