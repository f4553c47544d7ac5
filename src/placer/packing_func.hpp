/** @file Choosing workers for tasks. */
#pragma once

#include "placer/placer_type.hpp"

#include <map>
#include <vector>

namespace rattan {

/** How a task's worker is chosen among those with room. */
struct packing_policy {
    /** Lower is better. */
    double (*score)(const worker_view& worker, const resources& shape);
};

/** The policies by name, for settings and benchmarks. */
const std::map<std::string, packing_policy>& packing_policies();

/** Tells whether a worker may get new work at all. */
bool may_get_work(const worker_view& worker, mono_time now);

/** A worker for a task, or none. */
worker_view* choose_worker(std::map<worker_id, worker_view>& workers,
                           const resources& shape, const packing_policy& policy,
                           mono_time now);

/**
 * A worker for a task of a watch: on the rack with the fewest of its tasks.
 * @param racks Tasks of this watch by rack.
 */
worker_view* choose_spread(std::map<worker_id, worker_view>& workers,
                           const resources& shape,
                           const std::map<std::string, int>& racks,
                           const packing_policy& policy, mono_time now);

/** The largest part that a need takes of a whole, from 0 to 1. */
double dominant_part(const resources& need, const resources& whole);

} // namespace rattan
