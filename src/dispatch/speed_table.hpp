/** @file Relative speed of targets and of kinds of targets, from run times. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::dispatch {

/** How long runs take, relative to other runs of their steps. */
struct speed_estimate {
    double slowness = 1; ///< Run time over that of the reference.
    double error = 0;    ///< Standard error of `slowness`.
    millis age{0};       ///< Since the newest sample.
    std::size_t samples = 0;
};

/** The newest samples of a ratio; its median withstands single outliers. */
class ratio_window {
public:
    explicit ratio_window(std::size_t size) : size_(size) {}

    void add(double ratio, mono_time now);
    void clear() { ratios_.clear(); }
    [[nodiscard]] std::size_t count() const { return ratios_.size(); }
    [[nodiscard]] mono_time newest() const { return newest_; }
    [[nodiscard]] speed_estimate estimate(mono_time now) const;

private:
    std::size_t size_;
    std::deque<double> ratios_;
    mono_time newest_{};
};

/** Expected speed of a target, for the choice of targets. */
struct expected_speed {
    /** Run time over that on a normal target of the fastest kind. */
    double slowness = 1;
    /** The same by the kind of the target alone. */
    double kind_slowness = 1;
    /** The target itself is much slower than others of its kind. */
    bool slow_itself = false;
    /** It was so, and runs since then are missing: a single task probes it. */
    bool probing = false;
};

/**
 * Number of steps of a tenth by which a run time exceeds the least one. Less
 * than half a step is noise.
 */
int speed_class(double slowness);

/**
 * Learns the speed of targets from the run times of tasks. The tasks of a step
 * are alike, so each run is compared with those of the same step elsewhere. The
 * speed of a kind (first label) is compared with that of the kind with most
 * runs, and the speed of a target with other targets after correction for their
 * kinds.
 */
class speed_table {
public:
    /** Adds a run that has succeeded. */
    void add(const step_ref& step, const target_entry& target, millis run_time,
             mono_time now);

    /**
     * Notes that a run of a step is still going on. One that takes much longer
     * than the others shows a slow target before it ends.
     */
    void add_unfinished(const step_ref& step, const target_entry& target,
                        millis elapsed, mono_time now);

    /** Chooses the reference for `expected`; once per placement round. */
    void begin_round(mono_time now);

    [[nodiscard]] expected_speed expected(const target_entry& target,
                                          mono_time now) const;

    /** Slowness of the slowest kind. @pre As for `expected`. */
    [[nodiscard]] double slowest_kind() const;

    [[nodiscard]] speed_estimate kind_estimate(const std::string& kind,
                                               mono_time now) const;
    [[nodiscard]] speed_estimate target_estimate(const target_id& target,
                                                 mono_time now) const;

    /** Speed of each kind, for a log line. */
    [[nodiscard]] std::string describe(mono_time now) const;

private:
    struct kind_state {
        std::string name;
        std::size_t runs = 0;
        double slowness = 1; ///< As of the last `begin_round`.
        bool known = false;  ///< Enough samples show `slowness`.
    };
    struct target_speed_state {
        explicit target_speed_state();
        ratio_window ratios;
        double slow_ratio = 0; ///< When last measured; 0: not slow.
        mono_time slow_at{};   ///< Of that measurement.
        mono_time last_seen{};
    };
    struct finished_run {
        target_id target;
        std::size_t kind = 0;
        double time_ms = 0;
        bool compared = false; ///< Has become a sample of its target.
    };
    struct step_runs {
        std::vector<finished_run> runs;
    };

    std::size_t kind_index(const target_entry& target);
    void compare_kinds(const step_runs& step, const finished_run& run,
                       mono_time now);
    void compare_targets(step_runs& step, mono_time now);
    /**
     * Median time of the step's runs on other targets, corrected for their
     * kinds; 0: too few. Kinds of unknown speed are not compared.
     */
    [[nodiscard]] double time_elsewhere(const step_runs& step,
                                        const target_id& target,
                                        std::size_t kind) const;
    void drop_old(mono_time now);
    /** Ratio of a target that is slow by its samples; otherwise 0. */
    [[nodiscard]] static double slow_ratio(const target_speed_state& state,
                                           mono_time now);
    /** Ratio of a kind to the reference kind, if enough samples show it. */
    [[nodiscard]] speed_estimate ratio_to_reference(std::size_t kind,
                                                    mono_time now) const;

    std::vector<kind_state> kinds_;
    /** Slowness of the second kind over that of the first. */
    std::map<std::pair<std::size_t, std::size_t>, ratio_window> kind_ratios_;
    std::size_t reference_ = 0;
    std::map<target_id, target_speed_state> targets_;
    std::unordered_map<step_ref, step_runs> steps_;
    std::deque<step_ref> step_order_; ///< Oldest first.
    mono_time next_drop_{};
};

} // namespace rattan::dispatch
