/** @file The list of workers, and the expiry of their leases. */
#include "placer/placer_base.hpp"

#include <algorithm>

namespace rattan {

void placer_base::apply_host_list(const cell_state& state, mono_time now) {
    if (!hosts_known_)
        return;
    std::map<worker_id, const listed_worker*> listed;
    for (const listed_worker& worker : hosts_.workers)
        if (worker.info.data_centre == options_.data_centre)
            listed[worker.info.id] = &worker;
    for (const auto& [id, worker] : listed) {
        const auto enlisted = state.workers.find(id);
        if (enlisted == state.workers.end()) {
            outbox_.offer("enlist/" + id.value,
                          worker_enlist{owner_, worker->info, 0}, now);
            continue;
        }
        worker_view& view = workers_[id];
        if (view.info.id.empty()) {
            view.info = enlisted->second.info;
            // This owner enlisted it, so no earlier owner gave it tasks.
            view.inventory_known = true;
        }
    }
    for (auto& [id, view] : workers_) {
        const auto enlisted = state.workers.find(id);
        view.enlisted = view.epoch_accepted &&
                        enlisted != state.workers.end() &&
                        enlisted->second.instance == view.instance;
        if (view.epoch_accepted && !view.enlisted)
            outbox_.offer("enlist/" + id.value,
                          worker_enlist{owner_, view.info, view.instance}, now);
        const auto found = listed.find(id);
        // The same id with another address or size is another machine.
        view.listed = found != listed.end() && found->second->info == view.info;
        view.leaving =
            view.listed && found->second->state == host_state::leaving;
    }
}

bool placer_base::peer_leases_expired_since(const cell_state& state,
                                            mono_time since,
                                            mono_time now) const {
    if (now - since > STANDBY_RENEWAL_LIMIT + lease_bound())
        return true;
    const auto centre =
        state.config.in_force.data_centres.find(options_.data_centre);
    if (centre == state.config.in_force.data_centres.end())
        return true;
    for (const host_id& host : centre->second.entry_hosts) {
        if (host == options_.host)
            continue;
        const auto report = peers_without_leases_.find(host);
        if (report == peers_without_leases_.end() || report->second.at <= since)
            return false;
    }
    return true;
}

bool placer_base::resolve_unheard_worker(const cell_state& state,
                                         worker_view& worker, mono_time now) {
    // This placer may have renewed leases as a standby until its claim.
    const bool waited = now - owned_since_ > lease_bound();
    // All peers have reported since then that the leases they renewed ended.
    const bool ended = peer_leases_expired_since(state, owned_since_, now);
    // The platform has listed the machine and has removed it since.
    const bool removed = worker.was_listed && !worker.listed;
    if (!worker.inventory_known && waited && (ended || removed)) {
        worker.inventory_known = true;
        ++counters_["workers_cleared_unheard"];
    }
    return worker.inventory_known && !worker.listed;
}

void placer_base::expire_leases(const cell_state& state, mono_time now) {
    std::vector<worker_id> retired;
    for (auto& [id, worker] : workers_) {
        if (!worker.epoch_accepted) {
            if (resolve_unheard_worker(state, worker, now))
                retired.push_back(id);
            continue;
        }
        if (now <= worker.lease_expiry ||
            !peer_leases_expired_since(state, worker.lease_expiry, now))
            continue;
        const auto tasks = worker.tasks;
        for (const auto& [task, placed] : tasks) {
            ++counters_["tasks_lapsed"];
            remove_task(worker, task);
            on_task_ended(worker.info.id, task, task_outcome::lapsed, now);
        }
        if (!worker.listed)
            retired.push_back(id);
    }
    for (const worker_id& id : retired) {
        outbox_.offer("retire/" + id.value, worker_retire{owner_, id}, now);
        if (!state.workers.contains(id)) {
            outbox_.remove("retire/" + id.value);
            workers_.erase(id);
        }
    }
}

} // namespace rattan
