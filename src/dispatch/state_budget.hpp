/** @file Limit on the memory that the jobs of a cell may take in its owner. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <cstddef>
#include <map>
#include <set>

namespace rattan::dispatch {

/** Limit on the state of jobs; 0: no limit. */
using state_limit = std::size_t;

/**
 * Counts the bytes of the jobs that an owner keeps, also by organisation. The
 * count is an upper estimate made from the definition of a job, so that a host
 * can tell what a job takes before it is stored.
 *
 * An organisation may use as much as is left of the limit. One that uses more
 * than all others is refused first, and some room always remains for the
 * others. Large jobs may use half as much, so that they leave room for the
 * small ones of their own organisation.
 */
class state_budget {
public:
    /** A larger job counts as large. */
    static constexpr std::size_t SMALL_JOB_BYTES = 64U << 10U;

    void set_limit(state_limit limit) { limit_ = limit; }

    void add(const organisation_id& organisation, std::size_t bytes);
    /** @pre The bytes have been added. */
    void remove(const organisation_id& organisation, std::size_t bytes);

    /** Tells whether an organisation may use that many more bytes. */
    [[nodiscard]] bool admits(const organisation_id& organisation,
                              std::size_t bytes) const;

    /** Organisations that use as much as is left or more. */
    [[nodiscard]] std::set<organisation_id> over_share() const;

    [[nodiscard]] state_limit limit() const { return limit_; }
    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t left() const {
        return limit_ > used_ ? limit_ - used_ : 0;
    }

private:
    state_limit limit_ = 0;
    std::size_t used_ = 0;
    std::map<organisation_id, std::size_t> by_organisation_;
};

} // namespace rattan::dispatch
