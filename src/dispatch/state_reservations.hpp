/** @file Jobs that the owner has admitted and that are not stored yet. */
#pragma once

#include "dispatch/state_budget.hpp"
#include "rattan/unit_type.hpp"

#include <map>

namespace rattan::dispatch {

/**
 * Keeps room in a budget for the jobs whose hosts have asked the owner, until
 * their records arrive or can't arrive any more.
 */
class state_reservations {
public:
    explicit state_reservations(state_budget& budget) : budget_(budget) {}

    /** @return False, and nothing changes, if the budget does not admit it. */
    [[nodiscard]] bool reserve(const job_id& job,
                               const organisation_id& organisation,
                               std::size_t bytes, mono_time now);
    /** The job has arrived. */
    void release(const job_id& job);
    /** Gives up the reservations made before `oldest`. */
    void expire(mono_time oldest);

private:
    struct reservation {
        organisation_id organisation;
        std::size_t bytes = 0;
        mono_time made_at{};
    };

    state_budget& budget_;
    std::map<job_id, reservation> reservations_;
};

} // namespace rattan::dispatch
