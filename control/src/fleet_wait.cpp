#include "fleet_wait.hpp"

#include <set>

namespace pearhaven::control {

namespace {

using coordination::member;

constexpr decision::duration round_pause = std::chrono::milliseconds{200};

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
        result.routers = listed.members.size();
        const std::vector<member> open = this->not_seen(listed.members);
        const auto statuses = this->context.routers.ask(open);
        for (std::size_t index = 0; index < open.size(); ++index) {
            this->judge(open[index], statuses[index], result);
        }
        result.in_force = result.lagging.empty();
        return result;
    }

    [[nodiscard]] std::vector<member> not_seen(const std::vector<member>& routers) const
    {
        std::vector<member> open;
        for (const auto& router : routers) {
            if (this->seen.count(router.id) == 0) {
                open.push_back(router);
            }
        }
        return open;
    }

    void judge(const member& router, const router_status& status, fleet_wait_result& result)
    {
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

fleet_wait_result wait_for_fleet(command_context& context, std::uint64_t revision,
                                 decision::duration patience)
{
    return fleet_wait(context, revision).run(patience);
}

} // namespace pearhaven::control
