/** @file Commands on the cell's state: each is validated, then executed. */
#pragma once

#include "rattan/cell_type.hpp"

namespace rattan {

/** Why an entry of the log took effect or did not. */
enum class fold_verdict {
    accepted,
    repeated,       ///< Has already taken effect.
    malformed,      ///< Its fields are invalid.
    base_changed,   ///< Another change or claim was applied first.
    not_owner,      ///< Its writer does not own what it changes.
    not_allowed,    ///< The declarations in force do not allow it.
    unknown_job,    ///< The job is not live.
    wrong_state,    ///< The state of what it changes does not allow it.
    stale_serial,   ///< A later record of the quota slice was applied.
    request_expired ///< Its request id is too old to detect a repeat.
};

/** Name of a verdict, for counters and answers. */
const char* verdict_name(fold_verdict verdict);

/** The log record that an entry comes from. */
struct entry_context {
    std::int64_t position = 0; ///< See `log_position`.
    std::int64_t time_ms = 0;  ///< Log time of the record.
    host_id writer;            ///< Entry host whose relay appended it.
};

constexpr std::int64_t ENDED_JOB_RETENTION_MS = 24LL * 3600 * 1000;
/**
 * Requests older than this are rejected. It is less than the retention of
 * ended jobs because the clock that made the id may differ from the log's.
 */
constexpr std::int64_t MAX_REQUEST_AGE_MS = 23LL * 3600 * 1000;
/** How far the time of a request id may be ahead of the log's clock. */
constexpr std::int64_t MAX_REQUEST_SKEW_MS = 60'000;
/** Beyond this the oldest are dropped, see `oldest_request_ms`. */
constexpr std::size_t MAX_ENDED_JOBS = 200'000;

/** Validates an entry against the state and executes it if accepted. */
fold_verdict apply_entry(cell_state& state, const log_entry& entry,
                         const entry_context& context);

/** Drops expired state, by log time alone so that all replicas agree. */
void expire_state(cell_state& state);

/** The quota holder for the tasks of a data centre. */
holder_id centre_holder(const data_centre_id& centre);

/** The quota holder for the checks of an entry host's gate. */
holder_id gate_holder(const host_id& host);

} // namespace rattan
