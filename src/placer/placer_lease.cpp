/** @file Which workers there are, and when their leases have ended. */
#include "placer/placer_base.hpp"

#include <algorithm>

namespace rattan {

void placer_base::follow_hosts(const cell_state& state, mono_time now) {
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
            view.cleared = true; // enlisted by this owner: nothing older
        }
    }
    for (auto& [id, view] : workers_) {
        const auto enlisted = state.workers.find(id);
        view.enlisted = view.fenced && enlisted != state.workers.end() &&
                        enlisted->second.instance == view.instance;
        if (view.fenced && !view.enlisted)
            outbox_.offer("enlist/" + id.value,
                          worker_enlist{owner_, view.info, view.instance}, now);
        const auto found = listed.find(id);
        // The same name at another address is another machine.
        view.listed = found != listed.end() && found->second->info == view.info;
        view.leaving =
            view.listed && found->second->state == host_state::leaving;
    }
}

bool placer_base::peers_quiet_since(const cell_state& state, mono_time since,
                                    mono_time now) const {
    if (now - since > CARE_LIMIT + lease_bound())
        return true;
    const auto centre =
        state.config.in_force.data_centres.find(options_.data_centre);
    if (centre == state.config.in_force.data_centres.end())
        return true;
    for (const host_id& host : centre->second.entry_hosts) {
        if (host == options_.host)
            continue;
        const auto heard = quiet_peers_.find(host);
        if (heard == quiet_peers_.end() || heard->second.at <= since)
            return false;
    }
    return true;
}

bool placer_base::drop_unheard(const cell_state& state, worker_view& worker,
                               mono_time now) {
    // Before it owned this data centre it may itself have renewed leases.
    const bool waited = now - owned_since_ > lease_bound();
    // Whoever else may have renewed them says that they have ended.
    const bool ended = peers_quiet_since(state, owned_since_, now);
    // Or the machine is gone, by a list that had shown it.
    const bool gone = worker.was_listed && !worker.listed;
    if (!worker.cleared && waited && (ended || gone)) {
        worker.cleared = true;
        ++counters_["workers_cleared_unheard"];
    }
    return worker.cleared && !worker.listed;
}

void placer_base::drop_lapsed(const cell_state& state, mono_time now) {
    std::vector<worker_id> retired;
    for (auto& [id, worker] : workers_) {
        if (!worker.fenced) {
            if (drop_unheard(state, worker, now))
                retired.push_back(id);
            continue;
        }
        if (now <= worker.lapsed ||
            !peers_quiet_since(state, worker.lapsed, now))
            continue;
        const auto tasks = worker.tasks;
        for (const auto& [task, placed] : tasks) {
            ++counters_["tasks_lapsed"];
            remove_task(worker, task);
            task_gone(worker.info.id, task, task_outcome::lapsed, now);
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
