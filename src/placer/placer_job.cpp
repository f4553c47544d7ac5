/** @file The life cycle of a job from its acceptance to its end. */
#include "placer/placer_base.hpp"

#include <algorithm>

namespace rattan {

namespace {

/** A placed job whose start record takes longer gives up its workers. */
constexpr millis START_RECORD_TIMEOUT{5'000};
constexpr int MAX_BACKOFF_DOUBLINGS = 6;

} // namespace

const char* wait_reason_name(wait_reason reason) {
    constexpr const char* NAMES[] = {"none",       "queued",  "takeover",
                                     "team_limit", "no_room", "start_record",
                                     "holding",    "backoff", "out_of_service",
                                     "stopping",   "ending"};
    return NAMES[static_cast<int>(reason)];
}

void placer_base::add_job(const job_id& id, const live_job& job,
                          mono_time now) {
    job_view& view = jobs_[id];
    view.spec = job.spec;
    view.accepted_at = job.accepted_at;
    view.waiting_since = now;
    view.not_before = now;
    // A placer that has read a job's acceptance has read all claims before
    // it. So an earlier owner can only have placed jobs that were accepted
    // before this owner's claim.
    const bool inherited = job.accepted_at < owner_.value;
    view.start_uncertain =
        inherited && (job.spec.restartable || job.started != epoch{});
    if (job.cancelled)
        set_goal(view, job_goal::end, job_outcome::cancelled, "cancelled");
    dirty_jobs_.insert(id);
}

void placer_base::erase_job(const job_id& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    dequeue(id, found->second);
    forget_events(id);
    dirty_jobs_.erase(id);
    // A task that may still run uses resources until its worker's answer
    // shows that it has stopped.
    for (const auto& [index, worker] : found->second.placed) {
        const auto view = workers_.find(worker);
        if (view == workers_.end())
            continue;
        const auto task = view->second.tasks.find({id, index});
        if (task == view->second.tasks.end())
            continue;
        task->second.phase = task_phase::stopping;
        task->second.sent = false;
    }
    jobs_.erase(found);
}

void placer_base::cancel_job(const job_id& id, mono_time) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    ++counters_["jobs_cancelled"];
    set_goal(found->second, job_goal::end, job_outcome::cancelled, "cancelled");
    stop_tasks(id, found->second);
    dirty_jobs_.insert(id);
}

void placer_base::set_goal(job_view& job, job_goal goal, job_outcome outcome,
                           const std::string& reason) {
    if (job.goal == job_goal::end)
        return; // the first reason to end is kept
    job.goal = goal;
    job.outcome = outcome;
    job.reason = reason;
}

void placer_base::stop_task(const job_id& id, job_view& job,
                            std::int32_t index) {
    const auto worker = workers_.find(job.placed.at(index));
    if (worker == workers_.end())
        return;
    const auto task = worker->second.tasks.find({id, index});
    if (task == worker->second.tasks.end() ||
        task->second.phase == task_phase::stopping)
        return;
    task->second.checkpoint =
        job.goal != job_goal::end && task->second.phase == task_phase::running;
    task->second.phase = task_phase::stopping;
    task->second.sent = false;
}

void placer_base::stop_tasks(const job_id& id, job_view& job) {
    for (const auto& [index, worker] : job.placed)
        stop_task(id, job, index);
    if (!job.placed.empty())
        job.waiting = wait_reason::stopping;
}

void placer_base::on_task_ended(const worker_id& worker, const task_ref& task,
                                task_outcome outcome, mono_time now) {
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end())
        return;
    job_view& job = found->second;
    const auto place = job.placed.find(task.index);
    const bool is_current =
        place != job.placed.end() && place->second == worker;
    // A late event of a task that has been placed on another worker since.
    if (!is_current && outcome != task_outcome::done)
        return;
    if (is_current)
        job.placed.erase(place);
    dirty_jobs_.insert(task.job);
    switch (outcome) {
    case task_outcome::done:
        job.done.insert(task.index);
        ++counters_["tasks_done"];
        if (job.complete())
            set_goal(job, job_goal::end, job_outcome::done, "");
        break;
    case task_outcome::failed:
        ++counters_["tasks_failed"];
        on_task_failed(job, now);
        break;
    case task_outcome::lapsed:
        on_task_lost(job, now);
        break;
    case task_outcome::refused:
        // Other tasks of the gang may have been started already.
        if (job.started && job.spec.tasks > 1 && !job.spec.restartable)
            set_goal(job, job_goal::end, job_outcome::unknown,
                     "a task of the gang could not be started");
        job.not_before = now + options_.retry_backoff;
        job.waiting = wait_reason::backoff;
        break;
    case task_outcome::stopped:
        break;
    }
    const bool breaks_gang = job.is_gang() && outcome != task_outcome::done;
    if (breaks_gang || job.goal != job_goal::run)
        stop_tasks(task.job, job);
}

void placer_base::on_task_failed(job_view& job, mono_time now) {
    ++job.attempts;
    if (!job.spec.restartable || job.attempts >= job.spec.max_attempts)
        return set_goal(job, job_goal::end, job_outcome::failed,
                        "a task failed");
    const int doublings = std::min(job.attempts - 1, MAX_BACKOFF_DOUBLINGS);
    job.not_before = now + options_.retry_backoff * (1 << doublings);
    job.waiting = wait_reason::backoff;
}

void placer_base::on_task_lost(job_view& job, mono_time now) {
    ++counters_["tasks_vanished"];
    // A job that was not started has only reserved resources.
    if (job.started && !job.spec.restartable)
        return set_goal(job, job_goal::end, job_outcome::unknown,
                        "a worker was lost while the job ran");
    job.not_before = now;
}

void placer_base::enqueue(const job_id& id, const job_view& job) {
    queues_[job.spec.organisation].insert(
        {!job.spec.urgent, job.accepted_at, id});
}

void placer_base::dequeue(const job_id& id, const job_view& job) {
    const auto queue = queues_.find(job.spec.organisation);
    if (queue == queues_.end())
        return;
    queue->second.erase({!job.spec.urgent, job.accepted_at, id});
    if (queue->second.empty())
        queues_.erase(queue);
}

void placer_base::update_jobs(const cell_state& state, mono_time now) {
    for (const job_id& id : std::exchange(dirty_jobs_, {})) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end())
            update_job(state, id, found->second, now);
    }
}

void placer_base::update_job(const cell_state& state, const job_id& id,
                             job_view& job, mono_time now) {
    const bool idle = job.placed.empty();
    if (job.goal != job_goal::run)
        dequeue(id, job);
    switch (job.goal) {
    case job_goal::end:
        // An uncertain job may run on a worker that has not listed its tasks.
        if (!idle || job.start_uncertain)
            break;
        job.waiting = wait_reason::ending;
        outbox_.offer("end/" + id.value,
                      job_end{id, owner_, job.outcome, job.reason}, now);
        break;
    case job_goal::move:
        if (idle && !job.start_uncertain)
            move_job(state, id, job, now);
        break;
    case job_goal::run:
        if (idle || !job.is_gang()) {
            if (idle)
                job.started = false;
            const auto placed_or_done =
                static_cast<std::int32_t>(job.placed.size() + job.done.size());
            if (placed_or_done < job.spec.tasks)
                enqueue(id, job);
        }
        if (!idle)
            start_if_prepared(state, id, job, now);
        return;
    }
    dirty_jobs_.insert(id); // offered again until the record is in the log
}

void placer_base::start_if_prepared(const cell_state& state, const job_id& id,
                                    job_view& job, mono_time now) {
    bool all_prepared = true;
    bool any_prepared = false;
    for (const auto& [index, worker] : job.placed) {
        const auto& tasks = workers_.at(worker).tasks;
        const auto task = tasks.find({id, index});
        const bool prepared =
            task != tasks.end() && task->second.phase == task_phase::prepared;
        all_prepared = all_prepared && prepared;
        any_prepared = any_prepared || prepared;
    }
    if (job.is_gang() ? !all_prepared : !any_prepared)
        return;
    const auto live = state.jobs.find(id);
    if (live == state.jobs.end())
        return;
    if (job.spec.restartable || live->second.started == owner_)
        return start_tasks(id, job);
    dirty_jobs_.insert(id); // offered again until the record is in the log
    job.waiting = wait_reason::start_record;
    outbox_.offer("start/" + id.value, job_start{id, owner_}, now);
    if (now - job.not_before < START_RECORD_TIMEOUT)
        return;
    // The job may not start without the record, so other jobs get the room.
    job.not_before = now + options_.retry_backoff;
    stop_tasks(id, job);
    job.waiting = wait_reason::start_record;
}

void placer_base::start_tasks(const job_id& id, job_view& job) {
    for (const auto& [index, worker] : job.placed) {
        placed_task& task = workers_.at(worker).tasks.at({id, index});
        if (task.phase != task_phase::prepared)
            continue;
        task.phase = task_phase::starting;
        task.sent = false;
    }
    job.started = true;
    job.waiting = wait_reason::none;
    ++counters_["jobs_started"];
}

} // namespace rattan
