/** @file Start orders, which are sent once the run is stored; their answers. */
#include "dispatch/owner_base.hpp"

#include <utility>

namespace rattan::dispatch {

void owner::send_starts(const owner_clock& clock) {
    // One log line per step; a line per task would dominate the log.
    step_ref logged_step;
    std::string line;
    const auto write_line = [&] {
        if (!line.empty())
            output_.log("starts_sent", logged_step.job,
                        "step=" + std::to_string(logged_step.repeat) + "." +
                            std::to_string(logged_step.step) + line);
        line.clear();
    };
    for (const auto& [id, task] : runs_in_store_call_) {
        target_state* target = targets_.find(id);
        if (target == nullptr)
            continue;
        const auto found = target->runs.find(task);
        if (found == target->runs.end() ||
            found->second.phase != run_phase::recording)
            continue;
        if (task.step != logged_step)
            write_line();
        logged_step = task.step;
        line += " " + std::to_string(task.index) + "#" +
                std::to_string(found->second.run) + "@" + id.value;
        send_start(*target, task, found->second, clock);
    }
    write_line();
    runs_in_store_call_.clear();
}

void owner::send_start(target_state& target, const task_id& task,
                       run_entry& run, const owner_clock& clock) {
    const job_entry* job = jobs_.find(task.step.job);
    const task_entry* entry = jobs_.find(task);
    const bool wanted = job != nullptr && entry != nullptr && !job->ended() &&
                        entry->run == run.run &&
                        run.incarnation == target.incarnation;
    // The ticket may have expired while the run was being stored.
    const bool ticket_expired =
        !run.ticket.empty() && clock.now >= run.ticket_expires;
    // Its capacity may have shrunk since the placement.
    const bool has_room = target.allocated.fits_in(target.entry.capacity);
    if (!wanted || ticket_expired || !has_room || !target.responsive ||
        target.entry.draining || !may_send_orders(clock.now) ||
        target.clock_ms == 0 || evacuated_.contains(target.entry.data_centre)) {
        const step_ref step = task.step;
        // Its other members would wait in vain.
        const bool gang =
            entry != nullptr && entry->run == run.run && jobs_.spec(step)->gang;
        release_run(target, task);
        if (gang)
            stop_gang(step, clock);
        return;
    }
    const std::int64_t lease_end_ms =
        target.estimated_clock_ms(clock.now) + settings_.lease.count();
    grant_lease(target, lease_end_ms, clock.now);
    run.phase = run_phase::starting;
    run.phase_since = clock.now;
    run.start_pending = true;
    output_.start(address_of(target), {.task = task,
                                       .run = run.run,
                                       .payload = job->record.spec.payload,
                                       .checkpoint = entry->checkpoint,
                                       .ticket = run.ticket,
                                       .lease_end_ms = lease_end_ms,
                                       .fencing_token = target.fencing_token});
}

void owner::start_answered(const target_id& id, const task_id& task,
                           std::int32_t run_number, const order_answer& answer,
                           const owner_clock& clock) {
    refused_as_stale(id, answer);
    target_state* target = targets_.find(id);
    if (target == nullptr)
        return;
    const bool clock_fits =
        target_table::clock_fits(*target, answer.clock_ms, clock.now);
    if (!clock_fits)
        target->restart_suspected = clock.now;
    const auto found = target->runs.find(task);
    const bool present =
        found != target->runs.end() && found->second.run == run_number;
    const bool unanswered = answer.sent && !answer.answered;
    if (unanswered) {
        raise_fencing_token(*target);
        target->start_unanswered_at = clock.now;
        if (!answer.ticketed)
            target->unguarded_start_at = clock.now;
        guard_restart(*target, clock);
    }
    if (!present)
        return;
    run_entry& run = found->second;
    run.start_pending = false;
    // The next poll of an idle target may be far in the future.
    target->next_poll = std::min(target->next_poll, clock.now);
    if (run.phase != run_phase::starting) {
        if (unanswered && !run.confirmed && run.ticket.empty() &&
            waits_after_start(task.step))
            await_start(*target, task, run, clock.now, clock);
        return;
    }
    const mono_time sent_at = std::exchange(run.phase_since, clock.now);
    if (answer.done) {
        confirm_start(task, run);
        jobs_.begin(task.step.job);
        run.started = clock.now;
        run.started_clock_ms = answer.clock_ms;
        run.timed = true;
        const bool known_process =
            clock_fits && run.incarnation == target->incarnation;
        run.phase = known_process ? run_phase::running : run_phase::unconfirmed;
        if (!known_process)
            poll_concurrently(*target, clock);
        return;
    }
    if (unanswered)
        return recover_start(*target, task, run, sent_at, clock);
    output_.log("start_refused", task.step.job,
                "target=" + id.value + " cause=" +
                    std::to_string(static_cast<int>(answer.refusal)));
    if (answer.refusal == order_refusal::invalid_ticket)
        advice_.expire_ticket(task.step, id, clock.now);
    const bool gang =
        jobs_.spec(task.step) != nullptr && jobs_.spec(task.step)->gang;
    release_run(*target, task);
    if (gang)
        stop_gang(task.step, clock);
    if (!answer.sent || answer.refusal == order_refusal::other) {
        target->responsive = false;
        raise_fencing_token(*target);
        target->next_poll = clock.now;
    }
}

} // namespace rattan::dispatch
