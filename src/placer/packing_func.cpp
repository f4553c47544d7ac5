#include "placer/packing_func.hpp"

#include <algorithm>
#include <limits>

namespace rattan {

namespace {

constexpr double ACCELERATOR_PENALTY = 10; ///< Above any other score.

/** `need` as a fraction of `whole`; 1 when there is none of the resource. */
double fraction(std::int64_t need, std::int64_t whole) {
    if (need == 0)
        return 0;
    return whole == 0 ? 1.0
                      : static_cast<double>(need) / static_cast<double>(whole);
}

/**
 * Prefers the worker with the least room left. Workers with accelerators come
 * last for tasks that need none.
 */
double best_fit(const worker_view& worker, const resources& shape) {
    const resources left = worker.room() - shape;
    const resources& owned = worker.info.owned;
    const bool wastes_accelerators =
        shape.accelerators == 0 && owned.accelerators > 0;
    return fraction(left.milli_cores, owned.milli_cores) +
           fraction(left.memory_mib, owned.memory_mib) +
           fraction(left.accelerators, owned.accelerators) +
           (wastes_accelerators ? ACCELERATOR_PENALTY : 0);
}

/** Scores all alike, so that the first worker with room is chosen. */
double first_fit(const worker_view&, const resources&) {
    return 0;
}

} // namespace

const std::map<std::string, packing_policy>& packing_policies() {
    static const std::map<std::string, packing_policy> POLICIES{
        {"best_fit", {best_fit}}, {"first_fit", {first_fit}}};
    return POLICIES;
}

bool accepts_new_tasks(const worker_view& worker, mono_time now) {
    if (!worker.listed || worker.leaving || !worker.enlisted)
        return false;
    if (now >= worker.lease_expiry || now < worker.backoff_until)
        return false;
    // After a failure the worker gets one task at a time until one succeeds.
    return worker.failures == 0 || worker.tasks.empty();
}

worker_view* choose_worker(std::map<worker_id, worker_view>& workers,
                           const resources& shape, const packing_policy& policy,
                           mono_time now) {
    worker_view* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (auto& [id, worker] : workers) {
        if (!shape.fits_in(worker.room()) || !accepts_new_tasks(worker, now))
            continue;
        const double score = policy.score(worker, shape);
        if (score >= best_score)
            continue;
        best = &worker;
        best_score = score;
    }
    return best;
}

worker_view* choose_worker_spread(std::map<worker_id, worker_view>& workers,
                                  const resources& shape,
                                  const std::map<std::string, int>& racks,
                                  const packing_policy& policy, mono_time now) {
    worker_view* best = nullptr;
    std::pair<int, double> best_score{std::numeric_limits<int>::max(), 0};
    for (auto& [id, worker] : workers) {
        if (!shape.fits_in(worker.room()) || !accepts_new_tasks(worker, now))
            continue;
        const auto rack = racks.find(worker.info.rack);
        const std::pair<int, double> score{rack == racks.end() ? 0
                                                               : rack->second,
                                           policy.score(worker, shape)};
        if (score >= best_score)
            continue;
        best = &worker;
        best_score = score;
    }
    return best;
}

double dominant_share(const resources& need, const resources& whole) {
    return std::max({fraction(need.milli_cores, whole.milli_cores),
                     fraction(need.memory_mib, whole.memory_mib),
                     fraction(need.accelerators, whole.accelerators)});
}

} // namespace rattan
