/** @file Placement of waiting jobs, preemption and draining. */
#include "fold/quota_cmd.hpp"
#include "placer/placer_base.hpp"

#include <algorithm>
#include <tuple>

namespace rattan {

namespace {

/** Failed placements in a tick before an organisation's other jobs wait. */
constexpr int BACKFILL_DEPTH = 32;
/** Bounds the placement attempts of a tick, so that it stays short. */
constexpr int MAX_ATTEMPTS_PER_TICK = 512;

} // namespace

resources placer_base::total_owned() const {
    resources total;
    for (const auto& [id, worker] : workers_)
        total += worker.info.owned;
    return total;
}

void placer_base::schedule(const cell_state& state, mono_time now) {
    const auto centre =
        state.config.in_force.data_centres.find(options_.data_centre);
    if (centre == state.config.in_force.data_centres.end() ||
        !centre->second.in_service)
        return;
    const resources total = total_owned();
    struct organisation_cursor {
        double share = 0; ///< Weighted dominant share of the data centre.
        std::vector<queue_entry> entries;
        size_t position = 0;
        int failed_placements = 0;
    };
    std::map<organisation_name, organisation_cursor> cursors;
    const auto share_of = [&](const organisation_name& organisation) {
        const auto declared =
            state.config.in_force.organisations.find(organisation);
        const std::int64_t weight =
            declared == state.config.in_force.organisations.end()
                ? 1
                : declared->second.weight;
        return dominant_share(usage_[organisation], total) /
               static_cast<double>(weight);
    };
    for (const auto& [organisation, queue] : queues_) {
        organisation_cursor& cursor = cursors[organisation];
        cursor.share = share_of(organisation);
        for (const queue_entry& entry : queue) {
            if (cursor.entries.size() >= MAX_ATTEMPTS_PER_TICK)
                break;
            cursor.entries.push_back(entry);
        }
    }
    for (int attempt = 0; attempt < MAX_ATTEMPTS_PER_TICK; ++attempt) {
        // Urgent jobs come first, then the organisation with the lowest
        // weighted dominant share.
        const organisation_name* next = nullptr;
        std::pair<bool, double> best{true, 0};
        for (const auto& [organisation, cursor] : cursors) {
            if (cursor.position >= cursor.entries.size() ||
                cursor.failed_placements > BACKFILL_DEPTH)
                continue;
            const std::pair<bool, double> rank{
                cursor.entries[cursor.position].not_urgent, cursor.share};
            if (next != nullptr && rank >= best)
                continue;
            next = &organisation;
            best = rank;
        }
        if (next == nullptr)
            break;
        organisation_cursor& cursor = cursors[*next];
        const job_id id = cursor.entries[cursor.position++].job;
        const auto job = jobs_.find(id);
        if (job == jobs_.end())
            continue;
        if (try_place(state, id, job->second, now))
            cursor.share = share_of(*next);
        else
            ++cursor.failed_placements;
    }
}

bool placer_base::check_quota(const cell_state& state, job_view& job,
                              std::int64_t tasks) {
    // Tasks of an earlier owner may still run on workers that have not listed
    // them yet: all that these workers own counts as used by the organisation.
    resources unaccounted;
    for (const auto& [id, worker] : workers_)
        if (!worker.inventory_known)
            unaccounted += worker.info.owned;
    const resources need = job.spec.shape * tasks;
    const std::pair<quota_key, std::pair<std::int64_t, std::int64_t>> parts[] =
        {{{job.spec.organisation, quota_kind::milli_cores},
          {need.milli_cores, unaccounted.milli_cores}},
         {{job.spec.organisation, quota_kind::accelerators},
          {need.accelerators, unaccounted.accelerators}}};
    bool allowed = true;
    for (const auto& [key, amounts] : parts) {
        const auto& [needed, reserved] = amounts;
        if (needed == 0 || quota_.can_acquire(state, key, needed + reserved))
            continue;
        quota_.demand(key, needed);
        allowed = false;
    }
    return allowed;
}

bool placer_base::try_place(const cell_state& state, const job_id& id,
                            job_view& job, mono_time now) {
    if (job.start_uncertain) {
        job.waiting = wait_reason::takeover;
        return false;
    }
    if (now < job.not_before)
        return false;
    std::vector<std::int32_t> indices;
    for (std::int32_t index = 0; index < job.spec.tasks; ++index)
        if (!job.placed.contains(index) && !job.done.contains(index))
            indices.push_back(index);
    if (job.is_gang()) {
        if (!check_quota(state, job,
                         static_cast<std::int64_t>(indices.size()))) {
            job.waiting = wait_reason::organisation_limit;
            return false;
        }
        if (place_tasks(id, job, indices, now))
            return true;
        job.waiting = wait_reason::no_room;
        return false;
    }
    bool any = false;
    for (const std::int32_t index : indices) {
        if (!check_quota(state, job, 1)) {
            job.waiting = wait_reason::organisation_limit;
            return any;
        }
        if (!place_tasks(id, job, {index}, now)) {
            job.waiting = wait_reason::no_room;
            return any;
        }
        any = true;
    }
    return any;
}

bool placer_base::place_tasks(const job_id& id, job_view& job,
                              const std::vector<std::int32_t>& indices,
                              mono_time now) {
    std::map<std::string, int> racks;
    if (!job.is_gang())
        for (const auto& [index, worker] : job.placed)
            ++racks[workers_.at(worker).info.rack];
    const bool hold = indices.size() > 1;
    std::vector<std::pair<std::int32_t, worker_view*>> chosen;
    for (const std::int32_t index : indices) {
        worker_view* worker =
            job.is_gang()
                ? choose_worker(workers_, job.spec.shape, policy_, now)
                : choose_worker_spread(workers_, job.spec.shape, racks, policy_,
                                       now);
        if (worker == nullptr)
            break;
        // A single task needs no reservation: one order starts it.
        put_task(*worker, {id, index},
                 {.phase = hold ? task_phase::preparing : task_phase::prepared,
                  .organisation = job.spec.organisation,
                  .shape = job.spec.shape,
                  .sent = !hold,
                  .runs_to_completion = job.is_gang(),
                  .since = now});
        chosen.emplace_back(index, worker);
    }
    if (chosen.size() < indices.size()) {
        for (const auto& [index, worker] : chosen)
            remove_task(*worker, {id, index});
        return false;
    }
    for (const auto& [index, worker] : chosen)
        job.placed[index] = worker->info.id;
    if (static_cast<std::int32_t>(job.placed.size() + job.done.size()) ==
        job.spec.tasks)
        dequeue(id, job);
    job.waiting = wait_reason::holding;
    job.not_before = now;
    dirty_jobs_.insert(id);
    ++counters_["placements"];
    return true;
}

void placer_base::preempt_over_quota(const cell_state& state) {
    for (const auto& [key, slices] : state.quotas) {
        if (quota_granted(slices) <= quota_limit(state, key))
            continue;
        std::int64_t excess = quota_.excess_in_use(state, key);
        if (excess <= 0)
            continue;
        // Jobs that were not started are stopped first, then the newest of
        // the restartable ones.
        std::vector<std::tuple<bool, std::int64_t, job_id>> candidates;
        for (const auto& [id, job] : jobs_)
            if (job.spec.organisation == key.organisation &&
                !job.placed.empty() && job.goal == job_goal::run &&
                (job.spec.restartable || !job.started))
                candidates.emplace_back(job.started, -job.accepted_at, id);
        std::sort(candidates.begin(), candidates.end());
        for (const auto& [started, order, id] : candidates) {
            if (excess <= 0)
                break;
            job_view& job = jobs_.at(id);
            const resources used =
                job.spec.shape * static_cast<std::int64_t>(job.placed.size());
            excess -= key.kind == quota_kind::milli_cores ? used.milli_cores
                                                          : used.accelerators;
            ++counters_["jobs_shed"];
            stop_tasks(id, job);
        }
    }
}

void placer_base::drain_data_centre(const cell_state& state) {
    const auto centre =
        state.config.in_force.data_centres.find(options_.data_centre);
    if (centre == state.config.in_force.data_centres.end() ||
        centre->second.in_service)
        return;
    for (auto& [id, job] : jobs_) {
        if (job.goal != job_goal::run || job.start_uncertain)
            continue;
        const bool may_stop =
            !job.started ||
            (job.spec.restartable && job.spec.drain == drain_policy::move);
        if (!may_stop)
            continue;
        set_goal(job, job_goal::move, job_outcome::done, "");
        job.waiting = wait_reason::out_of_service;
        stop_tasks(id, job);
        dirty_jobs_.insert(id);
    }
}

void placer_base::drain_leaving_workers() {
    for (auto& [id, worker] : workers_) {
        if (!worker.leaving)
            continue;
        std::vector<task_ref> moving;
        for (const auto& [task, placed] : worker.tasks)
            if (placed.phase != task_phase::stopping)
                moving.push_back(task);
        for (const task_ref& task : moving) {
            const auto found = jobs_.find(task.job);
            if (found == jobs_.end())
                continue;
            job_view& job = found->second;
            if (job.started &&
                (!job.spec.restartable || job.spec.drain != drain_policy::move))
                continue;
            if (job.is_gang())
                stop_tasks(task.job, job);
            else
                stop_task(task.job, job, task.index);
        }
    }
}

void placer_base::move_job(const cell_state& state, const job_id& id,
                           job_view& job, mono_time now) {
    const declarations& declared = state.config.in_force;
    const auto here = declared.data_centres.find(options_.data_centre);
    if (here != declared.data_centres.end() && here->second.in_service) {
        job.goal = job_goal::run; // the data centre is back in service
        job.waiting = wait_reason::queued;
        return;
    }
    const auto plan = declared.plans.find(job.spec.plan);
    std::map<data_centre_id, std::int64_t> backlog;
    for (const auto& [centre, declaration] : declared.data_centres) {
        const bool allowed = plan == declared.plans.end() ||
                             plan->second.data_centres.empty() ||
                             plan->second.data_centres.contains(centre);
        if (declaration.in_service && allowed)
            backlog[centre] = 0;
    }
    job.waiting = wait_reason::out_of_service;
    if (backlog.empty())
        return;
    for (const auto& [other, live] : state.jobs) {
        const auto found = backlog.find(live.spec.data_centre);
        if (found != backlog.end())
            found->second += live.spec.shape.milli_cores * live.spec.tasks;
    }
    const auto target = std::min_element(
        backlog.begin(), backlog.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    outbox_.offer("move/" + id.value, job_move{id, owner_, target->first}, now);
}

} // namespace rattan
