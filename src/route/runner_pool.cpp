#include "route/runner_pool.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace rattan {

namespace {

constexpr double SMOOTHING = 0.2; ///< Weight of the newest latency.
constexpr int FAILURES_BEFORE_EJECTION = 3;
constexpr millis MIN_EJECTION{1'000};
constexpr millis MAX_EJECTION{60'000};

/** Latency of one more check, scaled by the load of this gate's slots. */
double expected_wait(const runner_view& runner) {
    const double load = static_cast<double>(runner.in_use + 1) /
                        static_cast<double>(std::max(runner.credit, 1));
    return load * std::max(runner.latency_ms, 0.1);
}

/** Scores all alike. */
double no_score(const runner_view&) {
    return 0;
}

} // namespace

const std::map<std::string, choice_policy>& choice_policies() {
    static const std::map<std::string, choice_policy> POLICIES{
        {"least_wait", {expected_wait, 0}},
        {"two_choices", {expected_wait, 2}},
        {"random", {no_score, 1}}};
    return POLICIES;
}

runner_pool::runner_pool(const choice_policy& policy, std::uint64_t seed)
    : policy_(policy),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

void runner_pool::update(const std::vector<listed_runner>& runners,
                         const data_centre_id& centre, std::int64_t rank,
                         std::int64_t gates) {
    std::map<runner_id, const listed_runner*> listed;
    for (const listed_runner& runner : runners)
        if (runner.info.data_centre == centre)
            listed[runner.info.id] = &runner;
    for (auto& [id, view] : runners_)
        view.leaving = !listed.contains(id);
    std::erase_if(runners_, [](const auto& entry) {
        return entry.second.leaving && entry.second.in_use == 0;
    });
    for (const auto& [id, runner] : listed) {
        runner_view& view = runners_[id];
        view.info = runner->info;
        view.leaving = runner->state == host_state::leaving;
        const std::int64_t slots = runner->info.slots;
        // Slots left over by the division go to other gates for each runner.
        const auto rotation = static_cast<std::int64_t>(
            XXH3_64bits(id.value.data(), id.value.size()) %
            static_cast<std::uint64_t>(gates));
        const std::int64_t position = (rank + rotation) % gates;
        view.credit = static_cast<std::int32_t>(
            slots / gates + (position < slots % gates ? 1 : 0));
    }
}

bool runner_pool::is_open(const runner_view& runner, mono_time now) const {
    return !runner.leaving && now >= runner.ejected_until && runner.room() > 0;
}

runner_view* runner_pool::acquire(mono_time now) {
    std::vector<runner_view*> open;
    for (auto& [id, runner] : runners_)
        if (is_open(runner, now))
            open.push_back(&runner);
    if (open.empty())
        return nullptr;
    runner_view* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    const auto consider = [&](runner_view* runner) {
        const double score = policy_.score(*runner);
        if (best != nullptr && score >= best_score)
            return;
        best = runner;
        best_score = score;
    };
    const size_t start = random_() % open.size();
    const size_t probes =
        policy_.probes == 0 ? open.size() : static_cast<size_t>(policy_.probes);
    for (size_t i = 0; i < probes; ++i)
        consider(policy_.probes == 0 ? open[(start + i) % open.size()]
                                     : open[random_() % open.size()]);
    ++best->in_use;
    return best;
}

void runner_pool::release(const runner_id& id, millis latency) {
    const auto found = runners_.find(id);
    if (found == runners_.end())
        return;
    runner_view& runner = found->second;
    --runner.in_use;
    runner.failures = 0;
    const auto measured = static_cast<double>(latency.count());
    runner.latency_ms =
        runner.latency_ms == 0
            ? measured
            : runner.latency_ms * (1 - SMOOTHING) + measured * SMOOTHING;
}

void runner_pool::release_failed(const runner_id& id, mono_time now) {
    const auto found = runners_.find(id);
    if (found == runners_.end())
        return;
    runner_view& runner = found->second;
    --runner.in_use;
    if (++runner.failures < FAILURES_BEFORE_EJECTION)
        return;
    const int doublings =
        std::min(runner.failures - FAILURES_BEFORE_EJECTION, 6);
    runner.ejected_until =
        now + std::min(MIN_EJECTION * (1 << doublings), MAX_EJECTION);
}

void runner_pool::release_unused(const runner_id& id) {
    const auto found = runners_.find(id);
    if (found != runners_.end())
        --found->second.in_use;
}

std::int64_t runner_pool::room(mono_time now) const {
    std::int64_t total = 0;
    for (const auto& [id, runner] : runners_)
        if (is_open(runner, now))
            total += runner.room();
    return total;
}

std::int64_t runner_pool::capacity() const {
    std::int64_t total = 0;
    for (const auto& [id, runner] : runners_)
        if (!runner.leaving)
            total += runner.credit;
    return total;
}

} // namespace rattan
