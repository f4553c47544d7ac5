#include "placer/packing_func.hpp"

#include <algorithm>
#include <limits>

namespace rattan {

namespace {

constexpr double ACCELERATOR_PENALTY = 10; ///< Above any best fit.

/** A part of a whole; a need of what is not there counts as all of it. */
double part(std::int64_t need, std::int64_t whole) {
    if (need == 0)
        return 0;
    return whole == 0 ? 1.0
                      : static_cast<double>(need) / static_cast<double>(whole);
}

/** Keeps whole accelerators for those who need them, then fills up. */
double best_fit(const worker_view& worker, const resources& shape) {
    const resources left = worker.room() - shape;
    const resources& owned = worker.info.owned;
    const bool spoils = shape.accelerators == 0 && owned.accelerators > 0;
    return part(left.milli_cores, owned.milli_cores) +
           part(left.memory_mib, owned.memory_mib) +
           part(left.accelerators, owned.accelerators) +
           (spoils ? ACCELERATOR_PENALTY : 0);
}

/** Takes the first worker with room. */
double first_fit(const worker_view&, const resources&) {
    return 0;
}

} // namespace

const std::map<std::string, packing_policy>& packing_policies() {
    static const std::map<std::string, packing_policy> POLICIES{
        {"best_fit", {best_fit}}, {"first_fit", {first_fit}}};
    return POLICIES;
}

bool may_get_work(const worker_view& worker, mono_time now) {
    if (!worker.listed || worker.leaving || !worker.enlisted)
        return false;
    if (now >= worker.lapsed || now < worker.avoid_until)
        return false;
    // After failures in a row one task at a time shows whether it is well.
    return worker.failures == 0 || worker.tasks.empty();
}

worker_view* choose_worker(std::map<worker_id, worker_view>& workers,
                           const resources& shape, const packing_policy& policy,
                           mono_time now) {
    worker_view* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (auto& [id, worker] : workers) {
        if (!shape.fits_in(worker.room()) || !may_get_work(worker, now))
            continue;
        const double score = policy.score(worker, shape);
        if (score >= best_score)
            continue;
        best = &worker;
        best_score = score;
    }
    return best;
}

worker_view* choose_spread(std::map<worker_id, worker_view>& workers,
                           const resources& shape,
                           const std::map<std::string, int>& racks,
                           const packing_policy& policy, mono_time now) {
    worker_view* best = nullptr;
    std::pair<int, double> best_score{std::numeric_limits<int>::max(), 0};
    for (auto& [id, worker] : workers) {
        if (!shape.fits_in(worker.room()) || !may_get_work(worker, now))
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

double dominant_part(const resources& need, const resources& whole) {
    return std::max({part(need.milli_cores, whole.milli_cores),
                     part(need.memory_mib, whole.memory_mib),
                     part(need.accelerators, whole.accelerators)});
}

} // namespace rattan
