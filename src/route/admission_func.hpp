/** @file Who may submit what, and where it can run. */
#pragma once

#include "rattan/cell_type.hpp"
#include "rattan/worker_type.hpp"
#include "route/refusal_type.hpp"

#include <optional>
#include <string>
#include <variant>

namespace rattan {

/** Whom a request is taken for. */
struct caller {
    team_id team;
    key_id key; ///< Empty on a plan that is open to all.
    /** A stricter bound on service while cut off. */
    std::optional<millis> isolation_limit;
};

/** A job as a caller asks for it. */
struct job_request {
    plan_id plan;
    std::int32_t tasks = 1;
    resources shape;
    std::int64_t run_ms = 0;
    data_centre_id data_centre; ///< Empty: any.
    std::string payload;
};

/** Why a request is refused, with a line for people. */
struct refused {
    refusal kind = refusal::malformed;
    std::string detail;
};

/** Finds the team of a shown key; nothing when the key is not in force. */
std::optional<caller> authenticate(const declarations& declared,
                                   const std::string& authorization);

/**
 * Finds whom work on a plan is taken for.
 * @param shown The caller by its key, if it has shown a good one.
 */
std::variant<caller, refused> admit_to_plan(const declarations& declared,
                                            const plan_id& plan,
                                            work_kind wanted,
                                            const std::optional<caller>& shown);

/**
 * Tests a job against plan, limits and workers, and chooses its data centre:
 * the one with the least work waiting for what it owns.
 */
std::variant<job_spec, refused>
admit_job(const cell_state& state, const host_list& hosts, const caller& who,
          const request_id& request, const job_request& asked);

} // namespace rattan
