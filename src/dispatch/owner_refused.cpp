/** @file Jobs whose progress the store refuses. */
#include "dispatch/owner_base.hpp"

#include <utility>

namespace rattan::dispatch {

void owner::records_refused(const std::vector<job_id>& jobs,
                            const owner_clock& clock) {
    // Ends are acknowledged with the next call, which records that these jobs
    // have failed.
    ends_in_store_call_.clear();
    for (const job_id& id : jobs) {
        std::erase(job_ends_in_store_call_, id);
        if (!jobs_.abandon(id, clock.wall_ms)) {
            store_end_without_runs(id);
            continue;
        }
        output_.log("job_unstorable", id, "state=failed");
        stop_job(*jobs_.find(id), clock);
    }
}

void owner::store_end_without_runs(const job_id& id) {
    job_entry* job = jobs_.find(id);
    if (job == nullptr || !job->ended() ||
        std::exchange(job->unawaited_runs_unstorable, true))
        return;
    jobs_.mark_changed(id);
    output_.log("job_runs_unstorable", id,
                "runs=" + std::to_string(unawaited_runs(*job).size()));
}

} // namespace rattan::dispatch
