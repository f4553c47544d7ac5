/** @file Jobs whose progress the store refuses. */
#include "dispatch/owner_base.hpp"

namespace rattan::dispatch {

void owner::records_refused(const std::vector<job_id>& jobs,
                            const owner_clock& clock) {
    // Ends are acknowledged with the next call, which records that these jobs
    // have failed.
    ends_in_store_call_.clear();
    for (const job_id& id : jobs) {
        std::erase(job_ends_in_store_call_, id);
        if (!jobs_.abandon(id, clock.wall_ms))
            continue;
        output_.log("job_unstorable", id, "state=failed");
        stop_job(*jobs_.find(id), clock);
    }
}

} // namespace rattan::dispatch
