/** @file Claims of a data centre, takeover of its tasks, and standby. */
#include "placer/placer_base.hpp"

#include <algorithm>

namespace rattan {

namespace {

constexpr std::int64_t PERCENT = 100;
constexpr std::int64_t RENEWALS_PER_LEASE = 3;
/** Extra claim delay per rank of the host, so that claims seldom race. */
constexpr millis CLAIM_STAGGER{500};

} // namespace

millis placer_base::lease_bound() const {
    return options_.lease * (PERCENT + options_.drift_percent) / PERCENT;
}

std::int64_t placer_base::host_rank(const cell_state& state) const {
    const auto centre =
        state.config.in_force.data_centres.find(options_.data_centre);
    if (centre == state.config.in_force.data_centres.end())
        return 0;
    const auto& hosts = centre->second.entry_hosts;
    return std::find(hosts.begin(), hosts.end(), options_.host) - hosts.begin();
}

void placer_base::update_ownership(const cell_state& state, mono_time now) {
    const auto found = state.owners.find(options_.data_centre);
    const centre_owner current =
        found == state.owners.end() ? centre_owner{} : found->second;
    if (current.claim != current_claim_) {
        current_claim_ = current.claim;
        owner_last_heard_ = now;
    }
    const bool owned_by_this_process =
        current.claim != epoch{} && current.host == options_.host &&
        current.incarnation == options_.incarnation;
    if (owned_by_this_process && owner_ != current.claim)
        begin_ownership(state, now);
    if (!owned_by_this_process && owner_ != epoch{})
        end_ownership();
}

void placer_base::begin_ownership(const cell_state& state, mono_time now) {
    end_ownership();
    owner_ = state.owners.at(options_.data_centre).claim;
    owned_since_ = now;
    quota_.reset(owner_);
    ++counters_["ownership_begun"];
    for (const auto& [id, enlisted] : state.workers) {
        if (enlisted.info.data_centre != options_.data_centre)
            continue;
        worker_view& worker = workers_[id];
        worker.info = enlisted.info;
        worker.listed = true; // until the next host list
    }
    for (const auto& [id, job] : state.jobs)
        if (job.spec.data_centre == options_.data_centre)
            add_job(id, job, now);
}

void placer_base::end_ownership() {
    if (owner_ != epoch{})
        ++counters_["ownership_ended"];
    owner_ = epoch{};
    workers_.clear();
    jobs_.clear();
    queues_.clear();
    dirty_jobs_.clear();
    usage_.clear();
    quota_.reset(epoch{});
    outbox_.clear();
    standby_workers_.clear();
}

void placer_base::on_owner_alive(epoch owner, mono_time now) {
    if (owner == current_claim_)
        owner_last_heard_ = now;
}

void placer_base::on_peer_ping(const host_id& peer, bool no_live_lease,
                               mono_time now) {
    if (no_live_lease)
        peers_without_leases_[peer].at = now;
}

bool placer_base::has_no_live_lease(mono_time now) const {
    return first_tick_ != mono_time{} &&
           now - std::max(last_renewal_, first_tick_) > lease_bound();
}

void placer_base::claim_if_owner_silent(const cell_state& state,
                                        mono_time now) {
    update_ownership(state, now);
    if (owner_ != epoch{})
        return;
    const auto found = state.owners.find(options_.data_centre);
    const centre_owner current =
        found == state.owners.end() ? centre_owner{} : found->second;
    // A new process on the owner's own host need not wait for a time-out.
    const bool was_own_claim = current.host == options_.host;
    const millis claim_delay =
        (was_own_claim || current.claim == epoch{} ? millis(0)
                                                   : options_.owner_timeout) +
        CLAIM_STAGGER * (was_own_claim ? 0 : host_rank(state));
    if (now - owner_last_heard_ < claim_delay)
        return;
    outbox_.offer("claim",
                  centre_claim{.data_centre = options_.data_centre,
                               .host = options_.host,
                               .incarnation = options_.incarnation,
                               .address = options_.address,
                               .base = current.claim},
                  now);
}

void placer_base::renew_as_standby(const cell_state& state, mono_time now) {
    if (current_claim_ == epoch{} ||
        now - owner_last_heard_ < options_.owner_timeout) {
        standby_renewal_until_ = now + STANDBY_RENEWAL_LIMIT;
        standby_workers_.clear();
        return;
    }
    if (now > standby_renewal_until_)
        return;
    for (const auto& [id, enlisted] : state.workers) {
        const worker_info& info = enlisted.info;
        if (info.data_centre != options_.data_centre)
            continue;
        worker_view& worker = standby_workers_[id];
        worker.info = info;
        const bool due = worker.ordered_at == mono_time{} ||
                         now - worker.ordered_at >=
                             options_.lease / (2 * RENEWALS_PER_LEASE);
        if (worker.in_flight || !due)
            continue;
        worker_order order{.owner = current_claim_, .sequence = 0};
        // Until an answer has told the worker's clock, the order renews
        // nothing.
        if (worker.clock_ms > 0) {
            order.instance = worker.instance;
            order.lease_until_ms = worker.clock_ms + options_.lease.count();
            last_renewal_ = now;
        }
        worker.in_flight = true;
        worker.ordered_at = now;
        ++counters_["leases_cared_for"];
        orders_.push_back({id, info.address, order});
    }
}

void placer_base::adopt_listing(worker_view& worker) {
    for (const listed_task& listed : worker.listing) {
        placed_task placed{.phase = task_phase::running,
                           .organisation = listed.organisation,
                           .shape = listed.shape,
                           .sent = true};
        const auto found = jobs_.find(listed.task.job);
        placed.runs_to_completion =
            found != jobs_.end() && found->second.is_gang();
        const bool wanted = found != jobs_.end() &&
                            found->second.goal == job_goal::run &&
                            listed.state == worker_task_state::running &&
                            !found->second.placed.contains(listed.task.index) &&
                            !found->second.done.contains(listed.task.index);
        if (listed.state == worker_task_state::stopping)
            placed.phase = task_phase::stopping;
        put_task(worker, listed.task, placed);
        if (found != jobs_.end() &&
            !found->second.placed.contains(listed.task.index)) {
            found->second.placed[listed.task.index] = worker.info.id;
            if (listed.state == worker_task_state::running)
                found->second.started = true;
            dequeue(found->first, found->second);
            dirty_jobs_.insert(found->first);
        }
        if (wanted)
            ++counters_["tasks_adopted"];
        else if (listed.state != worker_task_state::stopping) {
            // Reserved for a gang by an earlier owner, or no longer wanted.
            worker.tasks[listed.task].phase = task_phase::stopping;
            worker.tasks[listed.task].sent = false;
        }
    }
}

bool placer_base::takeover_pending() const {
    return std::any_of(workers_.begin(), workers_.end(), [](const auto& entry) {
        return !entry.second.inventory_known;
    });
}

std::int32_t placer_base::running_tasks(const job_id& id,
                                        const job_view& job) const {
    std::int32_t count = 0;
    for (const auto& [index, worker] : job.placed) {
        const auto& tasks = workers_.at(worker).tasks;
        const auto task = tasks.find({id, index});
        if (task != tasks.end() && task->second.phase == task_phase::running)
            ++count;
    }
    return count;
}

void placer_base::resolve_uncertain_jobs(mono_time now) {
    if (takeover_pending())
        return;
    for (auto& [id, job] : jobs_) {
        if (!job.start_uncertain)
            continue;
        job.start_uncertain = false;
        dirty_jobs_.insert(id);
        if (job.goal == job_goal::end)
            continue;
        if (running_tasks(id, job) +
                static_cast<std::int32_t>(job.done.size()) ==
            job.spec.tasks)
            continue;
        if (!job.spec.restartable) {
            set_goal(job, job_goal::end, job_outcome::unknown,
                     "started by an earlier owner and not found again");
            stop_tasks(id, job);
            continue;
        }
        if (job.is_gang() && !job.placed.empty()) {
            job.waiting = wait_reason::stopping;
            job.not_before = now;
            stop_tasks(id, job);
        }
    }
}

} // namespace rattan
