/** @file Starts without an answer: when their tasks run again. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

namespace {

/** The start is on its way; when it is void is not known yet. */
constexpr mono_time NOT_KNOWN = mono_time::max();

} // namespace

bool owner::waits_after_start(const step_ref& step) const {
    const step_spec* spec = jobs_.spec(step);
    if (spec == nullptr || spec->speculation_allowed)
        return false;
    switch (settings_.scheduling.recovery) {
    case start_recovery::retry:
        return false;
    case start_recovery::wait_unless_lasting:
        return !spec->long_lived;
    case start_recovery::wait_if_silent:
    case start_recovery::wait:
        return true;
    }
    return false;
}

bool owner::needs_ticket(const job_entry& job) const {
    const queue_config* queue = find_queue(config_, job.record.queue);
    return queue != nullptr && queue->advice.has_value();
}

void owner::confirm_start(const task_id& task, run_entry& run) {
    if (std::exchange(run.confirmed, true) || !waits_after_start(task.step))
        return;
    const job_entry* job = jobs_.find(task.step.job);
    if (job != nullptr && !job->ended() && !needs_ticket(*job))
        jobs_.confirm(task, run.run);
}

void owner::recover_start(target_state& target, const task_id& task,
                          run_entry& run, mono_time sent_at,
                          const owner_clock& clock) {
    run.start_uncertain = true;
    if (!run.ticket.empty() || !waits_after_start(task.step)) {
        // The order may be carried out seconds later; a stop prevents that.
        output_.log("start_unclear", task.step.job,
                    "target=" + target.entry.id.value);
        return request_stop(target, task, run);
    }
    await_start(target, task, run, sent_at, clock);
    // The other members of a gang would wait in vain.
    if (jobs_.spec(task.step)->gang)
        return stop_gang(task.step, clock);
    // If the order was carried out, the run goes on.
    poll_concurrently(target, clock);
}

void owner::await_start(const target_state& target, const task_id& task,
                        run_entry& run, mono_time sent_at,
                        const owner_clock& clock) {
    run.start_void_at = sent_at + MAX_ORDER_DELAY;
    begin_start_wait(target, task, run, clock);
}

void owner::await_inherited_start(const task_id& task, run_entry& run,
                                  const owner_clock& clock) const {
    if (run.confirmed || !waits_after_start(task.step))
        return;
    if (handover_) {
        const millis wait = handover_->starts.value_or(MAX_ORDER_DELAY);
        if (wait.count() > 0)
            run.start_void_at = handover_received_at_ + wait;
        return;
    }
    // An owner that did not resign may not have noticed its end yet.
    run.start_void_at = clock.now + settings_.max_unconfirmed + MAX_ORDER_DELAY;
}

std::optional<millis>
owner::longest_start_wait(const owner_clock& clock) const {
    if (settings_.scheduling.recovery == start_recovery::retry)
        return std::nullopt;
    millis longest{0};
    for (const auto& [id, target] : targets_.all())
        for (const auto& [task, run] : target.runs) {
            const mono_time void_at = start_void_at(task, run);
            const millis wait = std::chrono::duration_cast<millis>(
                void_at == NOT_KNOWN ? MAX_ORDER_DELAY : void_at - clock.now);
            longest = std::max(longest, wait);
        }
    return longest;
}

mono_time owner::start_void_at(const task_id& task,
                               const run_entry& run) const {
    const job_entry* job = jobs_.find(task.step.job);
    if (job == nullptr || job->ended())
        return {};
    if (run.start_pending && !run.confirmed && run.ticket.empty() &&
        waits_after_start(task.step))
        return NOT_KNOWN;
    // The record of an inherited run does not tell whether its start had a
    // ticket.
    return run.start_uncertain || !needs_ticket(*job) ? run.start_void_at
                                                      : mono_time{};
}

bool owner::start_excluded(const target_state& target, const task_id& task,
                           const run_entry& run, mono_time sent_at) const {
    if (sent_at > start_void_at(task, run))
        return true;
    // The process that the order was sent to has seen a later token. Only its
    // next one may still carry it out.
    return settings_.scheduling.recovery == start_recovery::wait_if_silent &&
           run.incarnation == target.incarnation && sent_at > run.phase_since;
}

bool owner::start_expired(const task_id& task, const run_entry& run,
                          mono_time now) const {
    const mono_time void_at = start_void_at(task, run);
    return void_at == mono_time{} ||
           (void_at != NOT_KNOWN && now >= latest_lease_end(void_at));
}

bool owner::run_state_unclear(const target_state& target, const run_entry& run,
                              mono_time now) {
    const bool waits_for_start =
        run.start_void_at != mono_time{} && now <= run.start_void_at;
    switch (run.phase) {
    case run_phase::inherited:
        return true;
    case run_phase::stopping:
        return !waits_for_start || target.clock_received_at <= run.stop_acked ||
               run.stop_acked == mono_time{};
    case run_phase::starting:
        return run.start_void_at != mono_time{} &&
               (!waits_for_start ||
                target.clock_received_at <= run.phase_since);
    case run_phase::recording:
    case run_phase::running:
    case run_phase::unconfirmed:
        return false;
    }
    return false;
}

void owner::begin_start_wait(const target_state& target, const task_id& task,
                             run_entry& run, const owner_clock& clock) {
    run.start_uncertain = true;
    const auto longest =
        std::chrono::duration_cast<millis>(run.start_void_at - clock.now);
    output_.log("start_unclear", task.step.job,
                "target=" + target.entry.id.value +
                    " run=" + std::to_string(run.run) +
                    " void_after_ms=" + std::to_string(longest.count()));
}

void owner::end_start_wait(const target_state& target, const task_id& task,
                           run_entry& run, std::string_view outcome,
                           const owner_clock& clock) {
    if (run.start_void_at == mono_time{})
        return;
    const millis waited = std::max(
        millis(0),
        std::chrono::duration_cast<millis>(clock.now - run.start_void_at) +
            MAX_ORDER_DELAY);
    run.start_void_at = {};
    if (!std::exchange(run.start_uncertain, false))
        return; // An inherited run that its target has listed.
    output_.start_wait_ended(waited);
    output_.log("start_settled", task.step.job,
                "target=" + target.entry.id.value +
                    " run=" + std::to_string(run.run) +
                    " outcome=" + std::string(outcome) +
                    " waited_ms=" + std::to_string(waited.count()));
}

} // namespace rattan::dispatch
