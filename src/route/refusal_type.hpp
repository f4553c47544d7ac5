/** @file Why a caller's request is refused. */
#pragma once

namespace rattan {

/** Each refusal that callers can meet. */
enum class refusal {
    malformed,         ///< The request can't be read.
    key_refused,       ///< No key, or none that is in force.
    plan_refused,      ///< No such plan, or not for this team.
    never_feasible,    ///< No worker or limit can ever take the job.
    team_at_limit,     ///< The team has as much as it may.
    request_id_needed, ///< Without an id a repeat could run twice.
    request_too_old,   ///< The id may have been seen and forgotten.
    out_of_service,    ///< No data centre in service may take it.
    overloaded,        ///< It would not be answered in time.
    log_out_of_reach,  ///< It could not be put on record.
    stale,             ///< This gate may not decide on what it knows.
    home_out_of_reach, ///< The gate that knows the request id is away.
    unknown_outcome,   ///< It was sent on, and no whole answer came.
    unknown_job,       ///< No such job of this team.
    leaving,           ///< This gate is shutting down.
};

/** How a refusal is told. */
struct refusal_text {
    refusal kind;
    const char* type;  ///< Stable; last part of the problem's URN.
    int status;        ///< Of HTTP.
    int retry_after_s; ///< 0: no use in coming back.
};

/** How a refusal is told. */
const refusal_text& text_of(refusal kind);

} // namespace rattan
