/** @file Starts that are in the store are sent; their answers. */
#include "dispatch/owner_base.hpp"

namespace rattan::dispatch {

void owner::send_starts(const owner_clock& clock) {
    // One line a step: a line a task would be most of the log.
    step_ref line_of;
    std::string line;
    const auto write_line = [&] {
        if (!line.empty())
            output_.log("starts_sent", line_of.job,
                        "step=" + std::to_string(line_of.repeat) + "." +
                            std::to_string(line_of.step) + line);
        line.clear();
    };
    for (const auto& [id, task] : recording_) {
        target_state* target = targets_.find(id);
        if (target == nullptr)
            continue;
        const auto found = target->runs.find(task);
        if (found == target->runs.end() ||
            found->second.phase != run_phase::recording)
            continue;
        if (task.step != line_of)
            write_line();
        line_of = task.step;
        line += " " + std::to_string(task.index) + "#" +
                std::to_string(found->second.run) + "@" + id.value;
        send_start(*target, task, found->second, clock);
    }
    write_line();
    recording_.clear();
}

void owner::send_start(target_state& target, const task_id& task,
                       run_entry& run, const owner_clock& clock) {
    const job_entry* job = jobs_.find(task.step.job);
    const task_entry* entry = jobs_.find(task);
    const bool wanted = job != nullptr && entry != nullptr && !job->ended() &&
                        entry->run == run.run &&
                        entry->incarnation == target.entry.incarnation;
    // A store that took long to record the run may have outlasted its ticket.
    const bool stale = !run.ticket.empty() && clock.now >= run.ticket_until;
    if (!wanted || stale || !target.answers || target.entry.draining ||
        !may_order(clock.now) || target.clock_ms == 0 ||
        evacuated_.contains(target.entry.data_centre)) {
        const step_ref step = task.step;
        const bool gang = wanted && jobs_.spec(step)->gang;
        drop_run(target, task);
        if (gang)
            stop_gang(step, clock);
        return;
    }
    const std::int64_t until =
        target.clock_now(clock.now) + settings_.lease.count();
    target.lease_end_ms = std::max(target.lease_end_ms, until);
    run.phase = run_phase::starting;
    run.since = clock.now;
    output_.start(address_of(target), {.task = task,
                                       .run = run.run,
                                       .payload = job->record.spec.payload,
                                       .checkpoint = entry->checkpoint,
                                       .ticket = run.ticket,
                                       .lease_end_ms = until,
                                       .fencing_token = settings_.epoch});
}

void owner::start_answered(const target_id& id, const task_id& task,
                           std::int32_t run_number, const order_answer& answer,
                           const owner_clock& clock) {
    if (answer.refusal == order_refusal::stale_token)
        superseded_ = true;
    target_state* target = targets_.find(id);
    if (target == nullptr)
        return;
    target_table::set_clock(*target, answer.clock_ms, clock.now);
    const auto found = target->runs.find(task);
    if (found == target->runs.end() || found->second.run != run_number)
        return;
    run_entry& run = found->second;
    // An idle target's next look is far off.
    target->look_due = std::min(target->look_due, clock.now);
    if (run.phase != run_phase::starting)
        return;
    run.since = clock.now;
    if (answer.done) {
        run.phase = run_phase::running;
        run.started = clock.now;
        return;
    }
    if (answer.sent && !answer.answered) {
        // It may begin seconds later: a stop keeps it out for good.
        run.doubtful = true;
        output_.log("start_unclear", task.step.job, "target=" + id.value);
        order_stop(*target, task, run);
        return;
    }
    output_.log("start_refused", task.step.job,
                "target=" + id.value + " cause=" +
                    std::to_string(static_cast<int>(answer.refusal)));
    if (answer.refusal == order_refusal::invalid_ticket)
        advice_.of(task.step).eligible[id].expires = clock.now;
    const bool gang =
        jobs_.spec(task.step) != nullptr && jobs_.spec(task.step)->gang;
    drop_run(*target, task);
    if (gang)
        stop_gang(task.step, clock);
    if (!answer.sent || answer.refusal == order_refusal::other) {
        target->answers = false;
        target->look_due = clock.now;
    }
}

} // namespace rattan::dispatch
