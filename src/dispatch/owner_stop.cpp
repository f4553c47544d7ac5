/** @file Ends of runs: stop orders, reported ends and expired leases. */
#include "dispatch/owner_base.hpp"

namespace rattan::dispatch {

namespace {

constexpr millis STOP_RETRY_PERIOD{400}; ///< For stop orders without an answer.
constexpr int MAX_CONSECUTIVE_FAILURES = 3;
/** Time without new work for a failing target; then it is probed with some. */
constexpr millis FAILURE_BACKOFF{3000};

} // namespace

void owner::stop_run(target_state& target, const task_id& task,
                     const owner_clock& clock) {
    run_entry& run = target.runs.at(task);
    if (run.phase == run_phase::recording)
        return release_run(target, task); // No order has been sent.
    if (run.phase == run_phase::stopping)
        return;
    run.phase_since = clock.now;
    request_stop(target, task, run);
}

void owner::request_stop(target_state& target, const task_id& task,
                         run_entry& run) {
    run.phase = run_phase::stopping;
    run.stop_sent = false;
    run.stop_acked = {};
    runs_to_stop_.emplace(target.entry.id, task);
}

void owner::send_stops(const owner_clock& clock) {
    if (!may_send_orders(clock.now))
        return;
    for (auto position = runs_to_stop_.begin();
         position != runs_to_stop_.end();) {
        const auto& [id, task] = *position;
        target_state* target = targets_.find(id);
        const auto run = target != nullptr ? target->runs.find(task)
                                           : decltype(target->runs.end()){};
        if (target == nullptr || run == target->runs.end() ||
            run->second.phase != run_phase::stopping ||
            run->second.stop_acked != mono_time{}) {
            position = runs_to_stop_.erase(position);
            continue;
        }
        run_entry& entry = run->second;
        const bool awaiting_answer =
            entry.stop_sent &&
            clock.now < entry.phase_since + STOP_RETRY_PERIOD;
        if (target->responsive && !awaiting_answer) {
            entry.stop_sent = true;
            entry.phase_since = clock.now;
            output_.stop(address_of(*target), task, entry.run,
                         target->fencing_token);
        }
        ++position;
    }
}

void owner::stop_answered(const target_id& id, const task_id& task,
                          std::int32_t run_number, const order_answer& answer,
                          const owner_clock& clock) {
    refused_as_stale(id, answer);
    target_state* target = targets_.find(id);
    if (target == nullptr)
        return;
    const auto found = target->runs.find(task);
    if (found == target->runs.end() || found->second.run != run_number ||
        !answer.done)
        return;
    // Without a later order the answer is that of a process before a restart.
    if (!found->second.stop_sent)
        return;
    found->second.stop_acked = clock.now;
    if (found->second.start_uncertain)
        return poll_concurrently(*target, clock);
    target->next_poll =
        std::min(target->next_poll, clock.now + settings_.stop_duration);
}

void owner::stop_job(const job_entry& job, const owner_clock& clock) {
    const job_id id = job.record.id;
    for (auto& [name, target] : targets_.all()) {
        std::vector<task_id> matching;
        auto position = target.runs.lower_bound(task_id{{id, 0, 0}, 0});
        for (; position != target.runs.end() && position->first.step.job == id;
             ++position)
            matching.push_back(position->first);
        for (const task_id& task : matching)
            stop_run(target, task, clock);
    }
}

void owner::stop_gang(const step_ref& step, const owner_clock& clock) {
    for (auto& [name, target] : targets_.all()) {
        std::vector<task_id> matching;
        auto position = target.runs.lower_bound(task_id{step, 0});
        for (; position != target.runs.end() && position->first.step == step;
             ++position)
            matching.push_back(position->first);
        for (const task_id& task : matching)
            stop_run(target, task, clock);
    }
}

void owner::remove_run(target_state& target, const task_id& task) {
    jobs_.remove_leftover_run(task, target.runs.at(task).run, target.entry.id);
    targets_.remove_run(target, task);
}

void owner::release_run(target_state& target, const task_id& task) {
    const auto found = target.runs.find(task);
    if (found == target.runs.end())
        return;
    const std::int32_t run = found->second.run;
    remove_run(target, task);
    const task_entry* entry = jobs_.find(task);
    if (entry != nullptr && entry->phase == task_phase::placed &&
        entry->run >= run && entry->target == target.entry.id)
        jobs_.requeue(task);
    schedule_due_ = true;
}

void owner::apply_run_end(target_state& target, const run_entry& run,
                          const listed_end& end, const owner_clock& clock) {
    job_entry* job = jobs_.find(end.task.step.job);
    task_entry* task = jobs_.find(end.task);
    if (job == nullptr || task == nullptr || task->phase == task_phase::done ||
        job->ended())
        return;
    const bool current = task->phase == task_phase::placed &&
                         task->run == run.run &&
                         task->target == target.entry.id;
    const step_spec spec = *jobs_.spec(end.task.step);
    jobs_.record_checkpoint(end.task, end.checkpoint);
    switch (end.end) {
    case run_end::done:
        if (spec.long_lived) {
            if (current)
                jobs_.requeue(end.task);
            break;
        }
        if (!current && task->phase == task_phase::placed)
            if (target_state* other = targets_.find(task->target);
                other != nullptr && other->runs.contains(end.task)) {
                const recorded_run later{.task = end.task,
                                         .run = task->run,
                                         .target = task->target,
                                         .incarnation = task->incarnation};
                stop_run(*other, end.task, clock);
                if (other->runs.contains(end.task))
                    jobs_.add_leftover_run(later);
            }
        if (run.started != mono_time{})
            record_run_time(end.task, clock.now - run.started);
        record_speed(target, run, end.task, clock.now);
        jobs_.complete(end.task, clock.wall_ms, clock.now);
        if (const step_entry* step = jobs_.find(end.task.step);
            step == nullptr ||
            step->done == static_cast<std::int32_t>(step->tasks.size()))
            advice_.remove(end.task.step);
        if (may_copy(spec))
            stop_other_runs(end.task, clock);
        break;
    case run_end::failed:
        output_.log("run_failed", end.task.step.job,
                    "target=" + target.entry.id.value +
                        " run=" + std::to_string(run.run));
        if (jobs_.fail(end.task, run.run, max_attempts(*job), clock.wall_ms)) {
            stop_job(*job, clock);
        }
        break;
    case run_end::stopped:
    case run_end::lease_expired:
    case run_end::gang_broken:
    case run_end::gang_incomplete:
        if (current)
            jobs_.requeue(end.task);
        break;
    }
    if (spec.gang && end.end != run_end::done)
        stop_gang(end.task.step, clock);
}

void owner::update_backoff(target_state& target, const listed_end& end,
                           const owner_clock& clock) {
    if (end.end == run_end::done)
        target.consecutive_failures = 0;
    if (end.end != run_end::failed ||
        ++target.consecutive_failures < MAX_CONSECUTIVE_FAILURES)
        return;
    target.backoff_until = clock.now + FAILURE_BACKOFF;
    // After the back-off a single failure is enough for the next one.
    target.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
    output_.log("target_sick", {}, "target=" + target.entry.id.value);
}

} // namespace rattan::dispatch
