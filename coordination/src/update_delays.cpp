#include "pearhaven/coordination/update_delays.hpp"

namespace pearhaven::coordination {

update_delays update_delays_within(decision::duration bound)
{
    update_delays delays;
    delays.watch_wait = bound / 2;
    delays.shared_watch_wait = bound / 4;
    delays.change_batch_delay = bound * 3 / 40;
    delays.silence_limit = bound * 3 / 20;
    delays.update_lifetime = bound * 3 / 5;
    delays.value_patience = bound / 4;
    delays.fallback_spread = bound / 10;
    return delays;
}

decision::duration longest_own_update(const update_delays& delays)
{
    return delays.change_batch_delay + delays.watch_wait + delays.silence_limit;
}

decision::duration longest_shared_update(const update_delays& delays)
{
    return delays.update_lifetime + delays.fallback_spread + delays.silence_limit;
}

} // namespace pearhaven::coordination
