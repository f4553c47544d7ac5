/** @file Scheduling features that a deployment's settings switch on. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>

namespace rattan::dispatch {

/**
 * When a task runs again whose start had no answer and would be accepted by a
 * later process of its target: without a ticket, nothing in the order names the
 * process.
 */
enum class start_recovery : std::uint8_t {
    /** `retry`: as soon as the known process has stopped it. */
    retry,
    /**
     * `wait_if_silent`: the same if the process that the order was sent to
     * answers; otherwise as with `wait`.
     */
    wait_if_silent,
    /**
     * `wait_unless_lasting`: `retry` for tasks that last, as they have no end
     * that a second run could follow; `wait` for the others.
     */
    wait_unless_lasting,
    /** `wait`: once the start can no longer be carried out. */
    wait,
};

/**
 * Scheduling features, all off by default. With all of them off the decisions
 * are those of deployments that name none of these settings.
 */
struct scheduling_policy {
    /**
     * `scheduling.order=delay_cost`: what has to wait or be refused is chosen
     * by the cost of its delay to callers. Otherwise jobs beyond an
     * organisation's submission rate come last and nothing is refused.
     */
    bool order_by_delay_cost = false;
    /**
     * `scheduling.placement=expected_end`: a step goes where it is expected to
     * end first. Otherwise the fullest target with room is chosen.
     */
    bool place_by_expected_end = false;
    /**
     * `scheduling.advice=ahead`: advice is asked for before a step is ready,
     * and about more targets while calls are scarce.
     */
    bool advice_ahead = false;
    /**
     * `scheduling.completion=awaited`: a question for the state of a job whose
     * last tasks are running waits for a moment for its end.
     */
    bool await_completion = false;
    /** `scheduling.recovery`: after a start without an answer. */
    start_recovery recovery = start_recovery::retry;
};

} // namespace rattan::dispatch
