/** @file The queue of checks that wait for a runner's slot. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rattan {

/** A waiting check. */
struct queued_check {
    std::int64_t id = 0; ///< Assigned by the gate.
    organisation_name organisation;
    mono_time deadline{};
};

/** Result of a push. */
enum class push_result {
    queued,
    too_late, ///< The expected wait exceeds its deadline.
    full,
};

/**
 * Weighted fair queue among organisations. Checks that can't meet their
 * deadline are rejected on arrival.
 */
class check_queue {
public:
    using organisation_filter = std::function<bool(const organisation_name&)>;
    using organisation_weight =
        std::function<std::int64_t(const organisation_name&)>;

    /**
     * Queues a check, unless it would exceed its deadline in the queue.
     * @param slots Slots that serve the queue.
     */
    push_result push(const queued_check& check, std::int64_t slots,
                     mono_time now);

    /**
     * Takes the next check of the organisation with the fewest running checks
     * for its weight, among those that `may_run` allows.
     */
    std::optional<queued_check> pop(const organisation_filter& may_run,
                                    const organisation_weight& weight);

    /** Puts a popped check back to the front of its organisation's queue. */
    void put_back(const queued_check& check);

    /** Removes and returns the checks whose deadline has passed. */
    std::vector<queued_check> expire(mono_time now);

    /** Reports the end of a popped check and its service time. */
    void finished(const organisation_name& organisation,
                  std::int64_t service_micros);

    [[nodiscard]] size_t size() const { return size_; }

    /** Number of waiting checks by organisation. */
    [[nodiscard]] std::map<organisation_name, std::int64_t> waiting() const;

private:
    std::map<organisation_name, std::deque<queued_check>> queues_;
    std::map<organisation_name, std::int64_t> running_;
    size_t size_ = 0;
    double service_micros_ = 1'000; ///< Moving average of service times.
};

} // namespace rattan
