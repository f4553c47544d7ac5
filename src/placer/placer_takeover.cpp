/** @file Claiming a data centre, adopting what runs, standing by. */
#include "placer/placer_base.hpp"

#include <algorithm>

namespace rattan {

namespace {

constexpr std::int64_t PERCENT = 100;
constexpr std::int64_t RENEWALS_A_LEASE = 3;
/** Later hosts of a data centre claim later, so that they seldom race. */
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

void placer_base::follow_ownership(const cell_state& state, mono_time now) {
    const auto found = state.owners.find(options_.data_centre);
    const centre_owner present =
        found == state.owners.end() ? centre_owner{} : found->second;
    if (present.claim != owner_seen_) {
        owner_seen_ = present.claim;
        owner_alive_ = now;
    }
    const bool mine = present.claim != epoch{} &&
                      present.host == options_.host &&
                      present.incarnation == options_.incarnation;
    if (mine && owner_ != present.claim)
        begin_ownership(state, now);
    if (!mine && owner_ != epoch{})
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
        worker.listed = true; // until the platform's list says otherwise
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
    unsettled_.clear();
    usage_.clear();
    quota_.reset(epoch{});
    outbox_.clear();
    cared_.clear();
}

void placer_base::on_owner_alive(epoch owner, mono_time now) {
    if (owner == owner_seen_)
        owner_alive_ = now;
}

void placer_base::on_peer_heard(const host_id& peer, bool quiet,
                                mono_time now) {
    if (quiet)
        quiet_peers_[peer].at = now;
}

bool placer_base::is_quiet(mono_time now) const {
    return born_ != mono_time{} &&
           now - std::max(last_renewal_, born_) > lease_bound();
}

void placer_base::consider_claim(const cell_state& state, mono_time now) {
    follow_ownership(state, now);
    if (owner_ != epoch{})
        return;
    const auto found = state.owners.find(options_.data_centre);
    const centre_owner present =
        found == state.owners.end() ? centre_owner{} : found->second;
    const bool was_me = present.host == options_.host;
    const millis patience =
        (was_me || present.claim == epoch{} ? millis(0)
                                            : options_.owner_timeout) +
        CLAIM_STAGGER * (was_me ? 0 : host_rank(state));
    if (now - owner_alive_ < patience)
        return;
    outbox_.offer("claim",
                  centre_claim{.data_centre = options_.data_centre,
                               .host = options_.host,
                               .incarnation = options_.incarnation,
                               .address = options_.address,
                               .base = present.claim},
                  now);
}

void placer_base::take_care(const cell_state& state, mono_time now) {
    if (owner_seen_ == epoch{} || now - owner_alive_ < options_.owner_timeout) {
        care_until_ = now + CARE_LIMIT;
        cared_.clear();
        return;
    }
    if (now > care_until_)
        return;
    for (const auto& [id, enlisted] : state.workers) {
        const worker_info& info = enlisted.info;
        if (info.data_centre != options_.data_centre)
            continue;
        worker_view& worker = cared_[id];
        worker.info = info;
        const bool due =
            worker.ordered == mono_time{} ||
            now - worker.ordered >= options_.lease / (2 * RENEWALS_A_LEASE);
        if (worker.in_flight || !due)
            continue;
        worker_order order{.owner = owner_seen_, .sequence = 0};
        if (worker.clock_ms > 0) {
            order.instance = worker.instance;
            order.lease_until_ms = worker.clock_ms + options_.lease.count();
            last_renewal_ = now;
        }
        worker.in_flight = true;
        worker.ordered = now;
        ++counters_["leases_cared_for"];
        orders_.push_back({id, info.address, order});
    }
}

void placer_base::adopt_listing(worker_view& worker) {
    for (const listed_task& listed : worker.listing) {
        placed_task placed{.phase = task_phase::running,
                           .team = listed.team,
                           .shape = listed.shape,
                           .sent = true};
        const auto found = jobs_.find(listed.task.job);
        placed.ends = found != jobs_.end() && found->second.is_gang();
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
            unsettled_.insert(found->first);
        }
        if (wanted)
            ++counters_["tasks_adopted"];
        else if (listed.state != worker_task_state::stopping) {
            // Held for a gang of an earlier owner, or not wanted any more.
            worker.tasks[listed.task].phase = task_phase::stopping;
            worker.tasks[listed.task].sent = false;
        }
    }
}

bool placer_base::takeover_pending() const {
    return std::any_of(workers_.begin(), workers_.end(),
                       [](const auto& entry) { return !entry.second.cleared; });
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

void placer_base::resolve_doubts(mono_time now) {
    if (takeover_pending())
        return;
    for (auto& [id, job] : jobs_) {
        if (!job.doubtful)
            continue;
        job.doubtful = false;
        unsettled_.insert(id);
        if (job.goal == job_goal::end)
            continue;
        if (running_tasks(id, job) +
                static_cast<std::int32_t>(job.done.size()) ==
            job.spec.tasks)
            continue;
        if (!job.spec.restartable) {
            pursue(job, job_goal::end, job_outcome::unknown,
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
