#include "dispatch/speed_table.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace rattan::dispatch {

namespace {

constexpr double CLASS_STEP = 1.1;
constexpr double FIRST_CLASS_END = 1.05;
constexpr int MAX_SPEED_CLASS = 20;
constexpr std::size_t KIND_WINDOW = 63;
constexpr std::size_t MIN_KIND_SAMPLES = 20;
constexpr std::size_t TARGET_WINDOW = 5;
constexpr std::size_t MIN_TARGET_SAMPLES = 3;
/** Runs of a step elsewhere that a run is compared with, at least. */
constexpr std::size_t MIN_RUNS_ELSEWHERE = 2;
/** Within a step the 90th percentile is 1.14 times the median. */
constexpr double SLOW_TARGET_RATIO = 1.3;
/** The same for a single run that goes on. */
constexpr double UNFINISHED_RATIO = 1.6;
/** In standard errors, for a target to count as slow. */
constexpr double SIGNIFICANCE = 2;
/** A slow target recovers within seconds; then it is probed. */
constexpr millis SLOW_VALID{3000};
/** Samples of a target from before are dropped at the next one. */
constexpr millis TARGET_SAMPLES_VALID{10'000};
/** Bounds of memory: labels come from outside. */
constexpr std::size_t MAX_KINDS = 16;
constexpr std::size_t MAX_STEPS = 2000;
constexpr std::size_t MAX_RUNS_PER_STEP = 32;
constexpr millis TARGET_RETENTION{120'000};
constexpr millis DROP_PERIOD{10'000};
/** From the median absolute deviation to the standard error of a median. */
constexpr double MAD_TO_ERROR = 1.4826 * 1.2533;

double median(std::vector<double> values) {
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

/** A target without labels is of the kind "". */
std::string kind_of(const target_entry& target) {
    return target.labels.empty() ? std::string() : target.labels.front();
}

} // namespace

int speed_class(double slowness) {
    int out = 0;
    for (double end = FIRST_CLASS_END; slowness > end && out < MAX_SPEED_CLASS;
         end *= CLASS_STEP)
        ++out;
    return out;
}

void ratio_window::add(double ratio, mono_time now) {
    ratios_.push_back(ratio);
    if (ratios_.size() > size_)
        ratios_.pop_front();
    newest_ = now;
}

speed_estimate ratio_window::estimate(mono_time now) const {
    if (ratios_.empty())
        return {};
    const std::vector<double> values(ratios_.begin(), ratios_.end());
    speed_estimate out{.slowness = median(values),
                       .age = std::chrono::duration_cast<millis>(now - newest_),
                       .samples = values.size()};
    std::vector<double> deviations;
    deviations.reserve(values.size());
    for (const double value : values)
        deviations.push_back(std::abs(value - out.slowness));
    out.error = MAD_TO_ERROR * median(std::move(deviations)) /
                std::sqrt(static_cast<double>(values.size()));
    return out;
}

speed_table::target_speed_state::target_speed_state() : ratios(TARGET_WINDOW) {}

std::size_t speed_table::kind_index(const target_entry& target) {
    const std::string name = kind_of(target);
    for (std::size_t i = 0; i < kinds_.size(); ++i)
        if (kinds_[i].name == name)
            return i;
    if (kinds_.size() < MAX_KINDS)
        kinds_.push_back({.name = name});
    return kinds_.size() - 1; // Beyond the limit kinds are not told apart.
}

void speed_table::add(const step_ref& step, const target_entry& target,
                      millis run_time, mono_time now) {
    if (run_time.count() <= 0)
        return;
    drop_old(now);
    const std::size_t kind = kind_index(target);
    ++kinds_[kind].runs;
    const auto [found, is_new] = steps_.try_emplace(step);
    if (is_new) {
        step_order_.push_back(step);
        if (step_order_.size() > MAX_STEPS) {
            steps_.erase(step_order_.front());
            step_order_.pop_front();
        }
    }
    step_runs& runs = found->second;
    if (runs.runs.size() >= MAX_RUNS_PER_STEP)
        runs.runs.erase(runs.runs.begin());
    runs.runs.push_back({.target = target.id,
                         .kind = kind,
                         .time_ms = static_cast<double>(run_time.count())});
    compare_kinds(runs, runs.runs.back(), now);
    compare_targets(runs, now);
}

void speed_table::compare_kinds(const step_runs& step, const finished_run& run,
                                mono_time now) {
    std::array<std::vector<double>, MAX_KINDS> times;
    for (const finished_run& other : step.runs)
        if (other.kind != run.kind)
            times[other.kind].push_back(other.time_ms);
    for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
        if (times[kind].empty())
            continue;
        const double other_ms = median(std::move(times[kind]));
        const bool first = run.kind < kind;
        const auto pair =
            first ? std::pair(run.kind, kind) : std::pair(kind, run.kind);
        kind_ratios_.try_emplace(pair, KIND_WINDOW)
            .first->second.add(
                first ? other_ms / run.time_ms : run.time_ms / other_ms, now);
    }
}

double speed_table::time_elsewhere(const step_runs& step,
                                   const target_id& target,
                                   std::size_t kind) const {
    std::vector<double> times;
    for (const finished_run& run : step.runs)
        if (run.target != target &&
            (run.kind == kind ||
             (kinds_[run.kind].known && kinds_[kind].known)))
            times.push_back(run.time_ms / kinds_[run.kind].slowness);
    return times.size() < MIN_RUNS_ELSEWHERE ? 0 : median(std::move(times));
}

void speed_table::compare_targets(step_runs& step, mono_time now) {
    for (finished_run& run : step.runs) {
        if (run.compared)
            continue;
        const double reference_ms = time_elsewhere(step, run.target, run.kind);
        if (reference_ms <= 0)
            continue;
        run.compared = true;
        target_speed_state& state = targets_[run.target];
        if (now - state.ratios.newest() > TARGET_SAMPLES_VALID)
            state.ratios.clear();
        const double ratio =
            run.time_ms / kinds_[run.kind].slowness / reference_ms;
        // A run in normal time shows that a slow target has recovered; its
        // older samples are void.
        if (state.slow_ratio > 0 && ratio < SLOW_TARGET_RATIO) {
            state.ratios.clear();
            state.slow_ratio = 0;
        }
        state.ratios.add(ratio, now);
        state.last_seen = now;
        if (const double slow = slow_ratio(state, now); slow > 0) {
            state.slow_ratio = slow;
            state.slow_at = now;
        }
    }
}

void speed_table::add_unfinished(const step_ref& step,
                                 const target_entry& target, millis elapsed,
                                 mono_time now) {
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    const std::size_t kind = kind_index(target);
    const double reference_ms = time_elsewhere(found->second, target.id, kind);
    if (reference_ms <= 0)
        return;
    const double ratio = static_cast<double>(elapsed.count()) /
                         kinds_[kind].slowness / reference_ms;
    if (ratio < UNFINISHED_RATIO)
        return;
    target_speed_state& state = targets_[target.id];
    if (now - state.slow_at > SLOW_VALID || ratio > state.slow_ratio)
        state.slow_ratio = ratio;
    state.slow_at = now;
    state.last_seen = now;
}

double speed_table::slow_ratio(const target_speed_state& state, mono_time now) {
    if (state.ratios.count() < MIN_TARGET_SAMPLES)
        return 0;
    const speed_estimate estimate = state.ratios.estimate(now);
    const bool slow = estimate.slowness >= SLOW_TARGET_RATIO &&
                      estimate.slowness - SIGNIFICANCE * estimate.error > 1;
    return slow ? estimate.slowness : 0;
}

speed_estimate speed_table::ratio_to_reference(std::size_t kind,
                                               mono_time now) const {
    if (kind == reference_)
        return {};
    const bool first = reference_ < kind;
    const auto found = kind_ratios_.find(first ? std::pair(reference_, kind)
                                               : std::pair(kind, reference_));
    if (found == kind_ratios_.end())
        return {};
    speed_estimate out = found->second.estimate(now);
    if (!first) {
        out.error /= out.slowness * out.slowness;
        out.slowness = 1 / out.slowness;
    }
    return out;
}

void speed_table::begin_round(mono_time now) {
    if (kinds_.empty())
        return;
    reference_ = 0;
    for (std::size_t i = 1; i < kinds_.size(); ++i)
        if (kinds_[i].runs > kinds_[reference_].runs)
            reference_ = i;
    double least = 1;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        const speed_estimate ratio = ratio_to_reference(i, now);
        const bool usable =
            ratio.samples >= MIN_KIND_SAMPLES && ratio.slowness > 0;
        kinds_[i].slowness = usable ? ratio.slowness : 1;
        kinds_[i].known = usable || i == reference_;
        least = std::min(least, kinds_[i].slowness);
    }
    for (kind_state& kind : kinds_)
        kind.slowness /= least;
}

expected_speed speed_table::expected(const target_entry& target,
                                     mono_time now) const {
    expected_speed out;
    const std::string name = kind_of(target);
    for (const kind_state& kind : kinds_)
        if (kind.name == name)
            out.kind_slowness = kind.slowness;
    out.slowness = out.kind_slowness;
    const auto found = targets_.find(target.id);
    if (found == targets_.end())
        return out;
    const target_speed_state& state = found->second;
    if (state.slow_ratio <= 0)
        return out;
    out.slow_itself = now - state.slow_at <= SLOW_VALID;
    out.probing = !out.slow_itself;
    if (out.slow_itself)
        out.slowness *= state.slow_ratio;
    return out;
}

double speed_table::slowest_kind() const {
    double out = 1;
    for (const kind_state& kind : kinds_)
        out = std::max(out, kind.slowness);
    return out;
}

speed_estimate speed_table::kind_estimate(const std::string& kind,
                                          mono_time now) const {
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        if (kinds_[i].name != kind)
            continue;
        speed_estimate out = ratio_to_reference(i, now);
        out.slowness = kinds_[i].slowness;
        if (i == reference_)
            out.samples = kinds_[i].runs;
        return out;
    }
    return {};
}

speed_estimate speed_table::target_estimate(const target_id& target,
                                            mono_time now) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? speed_estimate{}
                                   : found->second.ratios.estimate(now);
}

std::string speed_table::describe(mono_time now) const {
    std::string out;
    for (const kind_state& kind : kinds_) {
        const speed_estimate estimate = kind_estimate(kind.name, now);
        char text[64];
        std::snprintf(text, sizeof text, "=%.2f+-%.2f(%zu) ", estimate.slowness,
                      estimate.error, estimate.samples);
        out += kind.name + text;
    }
    const auto slow =
        std::count_if(targets_.begin(), targets_.end(), [](const auto& item) {
            return item.second.slow_ratio > 0;
        });
    return out + "slow_targets=" + std::to_string(slow);
}

void speed_table::drop_old(mono_time now) {
    if (now < next_drop_)
        return;
    next_drop_ = now + DROP_PERIOD;
    std::erase_if(targets_, [now](const auto& item) {
        return now - item.second.last_seen > TARGET_RETENTION;
    });
}

} // namespace rattan::dispatch
