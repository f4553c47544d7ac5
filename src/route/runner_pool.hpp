/** @file The runners of a data centre, as seen by one of its gates. */
#pragma once

#include "rattan/unit_type.hpp"
#include "rattan/worker_type.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace rattan {

/** A runner and this gate's part of its slots. */
struct runner_view {
    runner_info info;
    bool leaving = false;
    std::int32_t credit = 0; ///< Slots that this gate may fill.
    std::int32_t in_use = 0;
    double latency_ms = 0; ///< Moving average over answers.
    int failures = 0;      ///< Consecutive ones.
    mono_time ejected_until{};

    /** Free slots; after a failure at most one slot is used. */
    [[nodiscard]] std::int32_t room() const {
        return (failures > 0 ? std::min(credit, 1) : credit) - in_use;
    }
};

/** How a runner is chosen among those with free slots. */
struct choice_policy {
    /** Lower is better. */
    double (*score)(const runner_view& runner);
    int probes = 0; ///< Runners compared, at random; 0: all.
};

/** The policies by name, for settings and benchmarks. */
const std::map<std::string, choice_policy>& choice_policies();

/**
 * Divides each runner's slots among the gates of its data centre, so that
 * concurrent choices of several gates never exceed a runner's slots.
 */
class runner_pool {
public:
    /** @param seed Seeds the random choices. */
    runner_pool(const choice_policy& policy, std::uint64_t seed);

    /**
     * Takes the platform's current list.
     * @param rank Index of this gate among the data centre's, from 0.
     * @param gates How many gates share the runners.
     */
    void update(const std::vector<listed_runner>& runners,
                const data_centre_id& centre, std::int64_t rank,
                std::int64_t gates);

    /** Takes a slot of a runner; null when none is free. */
    runner_view* acquire(mono_time now);

    /** Returns a slot after an answer. */
    void release(const runner_id& id, millis latency);

    /** Returns a slot after a failure; repeated ones eject the runner. */
    void release_failed(const runner_id& id, mono_time now);

    /** Returns the slot of a check that was never started. */
    void release_unused(const runner_id& id);

    /** Number of slots that can be taken now. */
    [[nodiscard]] std::int64_t room(mono_time now) const;

    /** Number of slots of this gate, free or not. */
    [[nodiscard]] std::int64_t capacity() const;

    [[nodiscard]] const std::map<runner_id, runner_view>& runners() const {
        return runners_;
    }

private:
    /** Whether a runner may be chosen. */
    [[nodiscard]] bool is_open(const runner_view& runner, mono_time now) const;

    const choice_policy& policy_;
    std::minstd_rand random_;
    std::map<runner_id, runner_view> runners_;
};

} // namespace rattan
