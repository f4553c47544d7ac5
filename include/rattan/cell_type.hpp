/** @file The state that every process folds from the same log. */
#pragma once

#include "rattan/config_type.hpp"
#include "rattan/job_type.hpp"
#include "rattan/record_type.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rattan {

/** Who owns the workers and jobs of a data centre. */
struct centre_owner {
    epoch claim; ///< Position of the claim; 0 before the first.
    host_id host;
    std::int64_t incarnation = 0;
    std::string address;
};

/** One holder's slice of a team's limit. */
struct quota_slice {
    std::int64_t amount = 0;     ///< What the holder may have running.
    std::int64_t want = 0;       ///< What it still waits for.
    std::int64_t want_at = 0;    ///< Position of the want; older ones go first.
    std::int64_t serial = 0;     ///< Records of the holder that took effect.
    std::int64_t dropped_ms = 0; ///< Log time when the holder left, or 0.
};

/** A limit: one team's, of one kind. */
struct quota_key {
    organisation_name organisation;
    quota_kind kind = quota_kind::milli_cores;

    auto operator<=>(const quota_key&) const = default;
};

/** All slices of one limit. */
using quota_slices = std::map<holder_id, quota_slice>;

/** A worker that may hold tasks. */
struct enlisted_worker {
    worker_info info;
    std::int64_t instance = 0; ///< The process that may get work.
};

/** Last group seen of a writer. */
struct writer_state {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
};

/** The last change of configuration that took effect. */
struct config_state {
    config_version version;
    std::int64_t accepted_ms = 0; ///< Log time.
    std::string operator_name;
    std::string token;
    nlohmann::json document = nlohmann::json::object();
    declarations in_force; ///< The same, typed.
};

/** Everything that the log says, up to an offset. */
struct cell_state {
    std::int64_t next_offset = 0; ///< First record not folded.
    std::int64_t now_ms = 0;      ///< Log time of the last record.
    config_state config;
    std::map<host_id, writer_state> writers;
    std::map<data_centre_id, centre_owner> owners;
    std::map<worker_id, enlisted_worker> workers;
    std::map<job_id, live_job> jobs;
    std::map<job_id, ended_job> ended;
    std::deque<job_id> ended_order; ///< Oldest first.
    /** Requests named before this (by their own time) are not taken. */
    std::int64_t oldest_request_ms = 0;
    std::map<quota_key, quota_slices> quotas;
    bool any_dropped = false; ///< A holder left and its slice is still out.
};

} // namespace rattan
