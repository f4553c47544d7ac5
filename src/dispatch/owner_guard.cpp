/** @file Guards of targets that restart while a start may arrive. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

mono_time owner::unguarded_start_at(const target_state& target) const {
    return tickets_everywhere_
               ? target.unguarded_start_at
               : std::max(target.unguarded_start_at, earlier_starts_at_);
}

void owner::guard_restart(target_state& target, const owner_clock& clock) {
    // A task that waits for its start does not run elsewhere meanwhile.
    if (settings_.scheduling.recovery == start_recovery::wait)
        return;
    const mono_time unanswered_at = unguarded_start_at(target);
    if (!may_arrive(unanswered_at, clock.now) || target.entry.address.empty() ||
        !may_send_orders(clock.now))
        return;
    const mono_time end = unanswered_at + MAX_ORDER_DELAY;
    // Each silence and each new process raise the token, so a guard that other
    // hosts have lost is requested again when it is needed.
    if (target.guard_token == target.fencing_token &&
        target.guarded_until >= end)
        return;
    target.guard_token = target.fencing_token;
    target.guarded_until = end;
    output_.guard_restart(address_of(target), target.fencing_token,
                          end - clock.now);
}

void owner::process_reached(const target_id& id, const owner_clock& clock) {
    target_state* target = targets_.find(id);
    if (target != nullptr)
        poll_concurrently(*target, clock);
}

} // namespace rattan::dispatch
