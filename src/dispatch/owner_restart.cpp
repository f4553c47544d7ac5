/** @file Targets that restart, and starts that may reach the next process. */
#include "dispatch/owner_base.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

void owner::replace_process(target_state& target, std::int64_t incarnation,
                            const owner_clock& clock) {
    if (target.incarnation != 0)
        suspects_.process_ended(target);
    if (std::exchange(target.incarnation, incarnation) != 0)
        handle_restart(target, clock);
}

std::string owner::process_age(const target_state& target,
                               const owner_clock& clock) {
    return target.incarnation == 0
               ? "unknown"
               : std::to_string(clock.wall_ms - target.incarnation);
}

void owner::handle_restart(target_state& target, const owner_clock& clock) {
    output_.log("target_restarted", {},
                "target=" + target.entry.id.value +
                    " incarnation=" + std::to_string(target.incarnation) +
                    " runs=" + std::to_string(target.runs.size()) +
                    " age_ms=" + process_age(target, clock));
    for (auto& [task, run] : target.runs) {
        run.percent_clock_ms = 0;
        run.started_clock_ms = 0;
        run.survived = {};
        switch (run.phase) {
        case run_phase::running:
            run.phase = run_phase::unconfirmed;
            run.phase_since = clock.now;
            break;
        case run_phase::stopping:
            // The new process has not seen the order to stop.
            request_stop(target, task, run);
            break;
        case run_phase::recording:
        case run_phase::starting:
        case run_phase::inherited:
        case run_phase::unconfirmed:
            break;
        }
    }
    advice_.drop_tickets(target.entry.id);
    target.incarnation_since = clock.now;
    raise_fencing_token(target);
    target.restart_suspected = {};
    target.last_applied_end = 0;
    target.last_stored_end = 0;
    target.held_ends.clear();
    target.clock_ms = 0;
    target.lease_end_ms = 0;
    target.last_poll_clock_ms = 0;
    target.fenced = false;
    target.poll_pending = false;
    target.health = {};
    target.degraded = false;
    target.next_poll = clock.now;
    schedule_due_ = true;
}

void owner::raise_fencing_token(target_state& target) {
    target.fencing_token = tokens_.next();
    if (tokens_.exhausted())
        superseded_ = true;
}

bool owner::refused_as_stale(const target_id& id, const order_answer& answer) {
    if (answer.refusal != order_refusal::stale_token)
        return false;
    const target_state* target = targets_.find(id);
    if (target != nullptr && answer.fencing_token == target->fencing_token)
        superseded_ = true;
    return true;
}

bool owner::start_outstanding(const target_state& target) {
    return std::any_of(target.runs.begin(), target.runs.end(),
                       [](const auto& item) {
                           return item.second.phase == run_phase::starting ||
                                  item.second.start_uncertain;
                       });
}

} // namespace rattan::dispatch
