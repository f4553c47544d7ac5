/** @file Reasons for which a caller's request is refused. */
#pragma once

namespace rattan {

/** Kind of refusal. */
enum class refusal {
    malformed,             ///< The request can't be parsed or is not valid.
    key_refused,           ///< No key, or not a valid one.
    plan_refused,          ///< No such plan, or not open to this organisation.
    never_feasible,        ///< The job exceeds a limit or every worker's size.
    organisation_at_limit, ///< The organisation has reached a limit.
    request_id_needed,     ///< Without an id a retry could run twice.
    request_too_old,       ///< The id may have been seen and forgotten.
    out_of_service,        ///< No data centre in service may run it.
    overloaded,            ///< It would miss its deadline, or queues are full.
    log_out_of_reach,      ///< Its record could not be appended to the log.
    stale,                 ///< This gate's state is too old to decide.
    home_out_of_reach,     ///< The gate that deduplicates it is unreachable.
    unknown_outcome,       ///< It may have run: no valid answer came back.
    unknown_job,           ///< No such job of this organisation.
    leaving,               ///< This gate is shutting down.
};

/** How a refusal is presented in an HTTP answer. */
struct refusal_text {
    refusal kind;
    const char* type;  ///< Last part of the problem's URN; never changes.
    int status;        ///< HTTP status.
    int retry_after_s; ///< 0: a retry is of no use.
};
const refusal_text& text_of(refusal kind);

} // namespace rattan
