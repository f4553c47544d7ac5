/** @file The runners of a data centre, as one of its gates uses them. */
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

/** A runner's slots that belong to this gate. */
struct runner_view {
    runner_info info;
    bool leaving = false;
    std::int32_t credit = 0; ///< Slots that this gate may fill.
    std::int32_t in_use = 0;
    double latency_ms = 0; ///< Smoothed over recent answers.
    int failures = 0;      ///< In a row.
    mono_time ejected_until{};

    /** Slots that may be filled now. */
    [[nodiscard]] std::int32_t room() const {
        return (failures > 0 ? std::min(credit, 1) : credit) - in_use;
    }
};

/** How a runner is chosen of several with room. */
struct choice_policy {
    /** Lower is better. */
    double (*score)(const runner_view& runner);
    int probes = 0; ///< Random ones compared; 0: all.
};

/** The policies by name, for settings and benchmarks. */
const std::map<std::string, choice_policy>& choice_policies();

/**
 * Divides each runner's slots among the gates of its data centre, so that
 * gates that choose at the same time never fill more than there are.
 */
class runner_pool {
public:
    /** @param seed Of the choice among equals. */
    runner_pool(const choice_policy& policy, std::uint64_t seed);

    /**
     * Takes the platform's list.
     * @param rank Place of this gate among the data centre's, from 0.
     * @param gates How many gates share the runners.
     */
    void update(const std::vector<listed_runner>& runners,
                const data_centre_id& centre, std::int64_t rank,
                std::int64_t gates);

    /** Takes a slot of a runner, or nothing when none is free. */
    runner_view* acquire(mono_time now);

    /** Gives a slot back after an answer. */
    void release(const runner_id& id, millis latency);

    /** Gives a slot back after a failure. */
    void release_failed(const runner_id& id, mono_time now);

    /** Gives a slot back of a check that never started. */
    void release_unused(const runner_id& id);

    /** Slots that could be taken now. */
    [[nodiscard]] std::int64_t room(mono_time now) const;

    /** Slots of this gate in all. */
    [[nodiscard]] std::int64_t capacity() const;

    [[nodiscard]] const std::map<runner_id, runner_view>& runners() const {
        return runners_;
    }

private:
    /** Tells whether a runner may be chosen. */
    [[nodiscard]] bool is_open(const runner_view& runner, mono_time now) const;

    const choice_policy& policy_;
    std::minstd_rand random_;
    std::map<runner_id, runner_view> runners_;
};

} // namespace rattan
