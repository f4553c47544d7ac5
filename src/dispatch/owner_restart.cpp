/** @file Targets that restart, and starts that may reach the next process. */
#include "dispatch/owner_base.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

namespace {

/** An order without an answer may be carried out until this much later. */
constexpr millis MAX_ORDER_DELAY{15'000};

} // namespace

void owner::replace_process(target_state& target, std::int64_t incarnation,
                            const owner_clock& clock) {
    if (target.incarnation != 0)
        suspects_.process_ended(target);
    if (std::exchange(target.incarnation, incarnation) != 0)
        handle_restart(target, clock);
}

void owner::handle_restart(target_state& target, const owner_clock& clock) {
    output_.log("target_restarted", {},
                "target=" + target.entry.id.value +
                    " incarnation=" + std::to_string(target.incarnation) +
                    " runs=" + std::to_string(target.runs.size()));
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
    stop_unanswered_starts(target, clock);
    advice_.drop_tickets(target.entry.id);
    target.incarnation_since = clock.now;
    target.restart_suspected = {};
    target.last_applied_end = 0;
    target.last_stored_end = 0;
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

void owner::stop_possible_run(target_state& target,
                              const unanswered_start& start,
                              const owner_clock& clock) {
    run_entry& run = targets_.add_run(target, start.task,
                                      {.run = start.run,
                                       .demand = start.demand,
                                       .best_effort = start.best_effort,
                                       .organisation = start.organisation,
                                       .phase_since = clock.now,
                                       .start_uncertain = true});
    request_stop(target, start.task, run);
}

void owner::stop_unanswered_starts(target_state& target,
                                   const owner_clock& clock) {
    std::erase_if(target.unanswered_starts, [&](const unanswered_start& start) {
        return clock.now - start.sent_at > MAX_ORDER_DELAY;
    });
    for (unanswered_start& start : target.unanswered_starts) {
        if (start.stopped_in == target.incarnation ||
            target.runs.contains(start.task))
            continue;
        start.stopped_in = target.incarnation;
        stop_possible_run(target, start, clock);
    }
}

bool owner::start_may_arrive(const target_state& target, mono_time now) {
    return std::any_of(target.unanswered_starts.begin(),
                       target.unanswered_starts.end(),
                       [&](const unanswered_start& start) {
                           return now - start.sent_at <= MAX_ORDER_DELAY;
                       });
}

bool owner::start_outstanding(const target_state& target) {
    return std::any_of(target.runs.begin(), target.runs.end(),
                       [](const auto& item) {
                           return item.second.phase == run_phase::starting ||
                                  item.second.start_uncertain;
                       });
}

} // namespace rattan::dispatch
