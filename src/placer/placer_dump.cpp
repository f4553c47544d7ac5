/** @file State dumps of a placer for operators. */
#include "placer/placer_base.hpp"
#include "rattan/json_func.hpp"

namespace rattan {

using nlohmann::json;

namespace {

const char* phase_name(task_phase phase) {
    constexpr const char* NAMES[] = {"preparing", "prepared", "starting",
                                     "running", "stopping"};
    return NAMES[static_cast<int>(phase)];
}

json dump_worker(const worker_view& worker, mono_time now) {
    json tasks = json::object();
    for (const auto& [task, placed] : worker.tasks)
        tasks[task.job.value + "/" + std::to_string(task.index)] =
            phase_name(placed.phase);
    return {{"rack", worker.info.rack},
            {"owned", worker.info.owned},
            {"committed", worker.committed},
            {"listed", worker.listed},
            {"leaving", worker.leaving},
            {"fenced", worker.epoch_accepted},
            {"lease_left_ms", (worker.lease_expiry - now).count()},
            {"failures", worker.failures},
            {"avoided", now < worker.backoff_until},
            {"tasks", std::move(tasks)}};
}

} // namespace

json placer_base::dump_job(const job_id& id) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return nullptr;
    const job_view& job = found->second;
    json places = json::object();
    for (const auto& [index, worker] : job.placed) {
        const auto view = workers_.find(worker);
        const auto task = view->second.tasks.find({id, index});
        places[std::to_string(index)] = {
            {"worker", worker.value},
            {"phase", task == view->second.tasks.end()
                          ? "gone"
                          : phase_name(task->second.phase)}};
    }
    return {{"team", job.spec.organisation.value},
            {"plan", job.spec.plan.value},
            {"tasks", job.spec.tasks},
            {"done", job.done.size()},
            {"started", job.started},
            {"attempts", job.attempts},
            {"why_waiting", wait_reason_name(job.waiting)},
            {"places", std::move(places)}};
}

json placer_base::dump(mono_time now) const {
    json workers = json::object();
    for (const auto& [id, worker] : workers_)
        workers[id.value] = dump_worker(worker, now);
    json jobs = json::object();
    for (const auto& [id, job] : jobs_)
        jobs[id.value] = dump_job(id);
    return {{"data_centre", options_.data_centre.value},
            {"owner", owner_.value},
            {"owner_seen", current_claim_.value},
            {"takeover_pending", takeover_pending()},
            {"counters", counters_},
            {"workers", std::move(workers)},
            {"jobs", std::move(jobs)}};
}

} // namespace rattan
