/** @file Authentication and admission control of requests. */
#pragma once

#include "rattan/cell_type.hpp"
#include "rattan/worker_type.hpp"
#include "route/refusal_type.hpp"

#include <optional>
#include <string>
#include <variant>

namespace rattan {

/** The organisation that a request is admitted for. */
struct caller {
    organisation_name organisation;
    key_id key; ///< Empty on a plan that is open to all.
    /** Longest service while cut off, if stricter than the cell's. */
    std::optional<millis> isolation_limit;
};

/** A job as requested by a caller. */
struct job_request {
    plan_id plan;
    std::int32_t tasks = 1;
    resources shape;
    std::int64_t run_ms = 0;
    data_centre_id data_centre; ///< Empty: any.
    std::string payload;
};

/** Why a request is refused; `detail` is for people. */
struct refused {
    refusal kind = refusal::malformed;
    std::string detail;
};

/** Checks the key of an Authorization header; nothing when it is not valid. */
std::optional<caller> authenticate(const declarations& declared,
                                   const std::string& authorization);

/**
 * Checks that a caller may use a plan for a kind of work.
 * @param authenticated The authenticated caller, if any.
 * @return For an open plan, the organisation that the plan is charged to.
 */
std::variant<caller, refused>
admit_to_plan(const declarations& declared, const plan_id& plan,
              work_kind wanted, const std::optional<caller>& authenticated);

/**
 * Checks a job against its plan, the organisation's limits and the workers,
 * and chooses the data centre with the smallest backlog for its size.
 */
std::variant<job_spec, refused>
admit_job(const cell_state& state, const host_list& hosts, const caller& who,
          const request_id& request, const job_request& requested);

} // namespace rattan
