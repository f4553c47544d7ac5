/** @file The order of work by the cost of its delay to callers. */
#pragma once

#include "rattan/unit_type.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace rattan::dispatch {

/** Classes of work, first to last. */
enum class work_class : std::uint8_t {
    in_time,     ///< Can still meet its objective.
    late,        ///< Cannot, but its result is still of value.
    beyond_rate, ///< Beyond the submission rate of its organisation.
    no_value,    ///< Its result will be of no value.
};
constexpr std::size_t WORK_CLASSES = 4;

std::string_view name_of(work_class value);

/** What determines the position of a step in the order. */
struct work_input {
    int priority = 0; ///< Of its queue; 0 is the most urgent.
    /** Until the objective of its job is missed; negative: since then. */
    millis until_objective{0};
    /** Until three times the objective. */
    millis until_no_value{0};
    /** Expected time from its start to the end of its job. */
    millis expected{0};
    /** Work of its job that has no capacity yet, in milli-core-milliseconds. */
    std::int64_t remaining_work = 0;
    /** Work of a typical job of its queue. */
    std::int64_t typical_work = 0;
    bool over_rate = false; ///< Its organisation exceeded its submission rate.
    bool begun = false;     ///< A task of its job has started.
};

/** Position of a step in the order; smaller keys go first. */
struct work_key {
    /** 0: work in time or late; then the later classes. */
    std::uint8_t group = 0;
    int rank = 0; ///< Priority, with late work moved back.
    /** Cost of delay for each unit of remaining work, negative. */
    std::int64_t negative_cost = 0;
    bool fresh = false; ///< No task of its job has started.
    std::int64_t until_objective_ms = 0;
    work_class order_class = work_class::in_time;

    auto operator<=>(const work_key&) const = default;
};

work_class classify(const work_input& input);

/** The key of the order by the cost of a delay. */
work_key delay_cost_key(const work_input& input);

} // namespace rattan::dispatch
