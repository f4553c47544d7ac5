/** @file Choice of workers for tasks. */
#pragma once

#include "placer/placer_type.hpp"

#include <map>
#include <vector>

namespace rattan {

/** Ranks the workers that have room for a task. */
struct packing_policy {
    /** Lower is better. */
    double (*score)(const worker_view& worker, const resources& shape);
};

/** The policies by name, for settings and benchmarks. */
const std::map<std::string, packing_policy>& packing_policies();

/** Whether a worker may get new tasks, whatever their size. */
bool accepts_new_tasks(const worker_view& worker, mono_time now);

/** Chooses a worker for a task; null when none has room. */
worker_view* choose_worker(std::map<worker_id, worker_view>& workers,
                           const resources& shape, const packing_policy& policy,
                           mono_time now);

/**
 * Chooses a worker for a task of a watch on the rack with the fewest of the
 * watch's tasks; null when none has room.
 * @param racks Number of this watch's tasks by rack.
 */
worker_view* choose_worker_spread(std::map<worker_id, worker_view>& workers,
                                  const resources& shape,
                                  const std::map<std::string, int>& racks,
                                  const packing_policy& policy, mono_time now);

/** The largest share over all resources that `need` takes of `whole`. */
double dominant_share(const resources& need, const resources& whole);

} // namespace rattan
