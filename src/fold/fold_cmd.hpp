/** @file Changes of the cell's state: each is tested, then executed. */
#pragma once

#include "rattan/cell_type.hpp"

namespace rattan {

/** Why an entry of the log took effect or did not. */
enum class fold_verdict {
    accepted,
    repeated,       ///< Stands already; no harm.
    malformed,      ///< Its fields contradict each other.
    base_changed,   ///< Another change or claim came first.
    not_owner,      ///< Its writer does not own what it changes.
    not_allowed,    ///< Key, team or plan do not allow it (any more).
    unknown_job,    ///< No such job is live.
    wrong_state,    ///< The job is beyond that.
    stale_serial,   ///< A quota record that was overtaken.
    request_expired ///< Its request id is older than ids are kept.
};

/** Name of a verdict, for counters and answers. */
const char* verdict_name(fold_verdict verdict);

/** Where an entry stands. */
struct entry_context {
    std::int64_t position = 0; ///< As `log_position` gives it.
    std::int64_t time_ms = 0;  ///< Log time of its group.
    host_id writer;            ///< Entry host whose relay appended it.
};

/** Ended jobs are kept this long, by log time. */
constexpr std::int64_t ENDED_KEPT_MS = 24LL * 3600 * 1000;
/** A request id younger than ended jobs are kept, less clock skew. */
constexpr std::int64_t REQUEST_KEPT_MS = 23LL * 3600 * 1000;
/** A request id may be ahead of the log's clock by this much. */
constexpr std::int64_t MAX_REQUEST_SKEW_MS = 60'000;
/** Ended jobs kept at most; more raise the oldest request id taken. */
constexpr std::size_t MAX_ENDED = 200'000;

/** Tests an entry against the state and executes it when it may. */
fold_verdict apply_entry(cell_state& state, const log_entry& entry,
                         const entry_context& context);

/** Drops what is past its time, by log time alone. */
void expire_state(cell_state& state);

/** The holder of quota for a data centre's tasks. */
holder_id centre_holder(const data_centre_id& centre);

/** The holder of quota for the checks of an entry host's gate. */
holder_id gate_holder(const host_id& host);

} // namespace rattan
