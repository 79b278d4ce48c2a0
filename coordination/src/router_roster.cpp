#include "pearhaven/coordination/router_roster.hpp"

#include <iterator>
#include <utility>

namespace pearhaven::coordination {

using decision::instant;

router_roster::router_roster(std::string own_name, decision::duration chosen)
    : self(std::move(own_name)), retention(chosen), missing_since{{this->self, std::nullopt}}
{}

void router_roster::on_listed(const std::string& name)
{
    this->missing_since[name] = std::nullopt;
}

void router_roster::on_missing(const std::string& name, instant now)
{
    const auto found = this->missing_since.find(name);
    if (found != this->missing_since.end() && !found->second && name != this->self) {
        found->second = now;
    }
}

decision::fleet_place router_roster::place(instant now)
{
    std::erase_if(this->missing_since, [this, now](const auto& router) {
        return router.second && now - *router.second >= this->retention;
    });
    const auto own = this->missing_since.find(this->self);
    return {static_cast<std::size_t>(std::distance(this->missing_since.begin(), own)),
            this->missing_since.size()};
}

} // namespace pearhaven::coordination
