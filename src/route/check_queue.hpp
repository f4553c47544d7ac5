/** @file Checks that wait for a slot. */
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

/** A check that waits. */
struct queued_check {
    std::int64_t id = 0; ///< Of the gate's own.
    organisation_name organisation;
    mono_time deadline{};
};

/** What became of a push. */
enum class push_result {
    queued,
    too_late, ///< It would wait beyond its deadline.
    full,
};

/** Fair among teams, bounded by deadlines. */
class check_queue {
public:
    using organisation_filter = std::function<bool(const organisation_name&)>;
    using organisation_weight =
        std::function<std::int64_t(const organisation_name&)>;

    /**
     * Queues a check, or refuses it now rather than late.
     * @param slots Slots that work the queue off.
     */
    push_result push(const queued_check& check, std::int64_t slots,
                     mono_time now);

    /** Takes the next check of a team that may run: least under way for
     * its weight first. */
    std::optional<queued_check> pop(const organisation_filter& may_run,
                                    const organisation_weight& weight);

    /** Puts a check back to the front of its team's. */
    void put_back(const queued_check& check);

    /** Takes the checks whose deadline has passed. */
    std::vector<queued_check> expire(mono_time now);

    /** A popped check has ended. */
    void finished(const organisation_name& organisation, std::int64_t micros);

    [[nodiscard]] size_t size() const { return size_; }

    /** Teams with waiting checks and how many. */
    [[nodiscard]] std::map<organisation_name, std::int64_t> waiting() const;

private:
    std::map<organisation_name, std::deque<queued_check>> queues_;
    std::map<organisation_name, std::int64_t> under_way_;
    size_t size_ = 0;
    double service_micros_ = 1'000; ///< Smoothed.
};

} // namespace rattan
