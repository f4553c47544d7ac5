/**
 * @file The replicated state of a cell. Every process derives it by applying
 * the records of the same log in the same order.
 */
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

/** The placer that owns the workers and jobs of a data centre. */
struct centre_owner {
    epoch claim; ///< Log position of the claim; 0 if none was made yet.
    host_id host;
    std::int64_t incarnation = 0; ///< Of the placer's process.
    std::string address;          ///< Of the placer, for its peers.
};

/** The part of an organisation's limit that one holder may use. */
struct quota_slice {
    std::int64_t amount = 0;  ///< What the holder may have in use.
    std::int64_t want = 0;    ///< Amount requested but not granted yet.
    std::int64_t want_at = 0; ///< Log position of the request; oldest first.
    std::int64_t serial = 0;  ///< Version; a record must carry the current one.
    std::int64_t dropped_ms = 0; ///< Log time of the holder's removal, or 0.
};

/** Identifies a limit: of one organisation, of one kind. */
struct quota_key {
    organisation_name organisation;
    quota_kind kind = quota_kind::milli_cores;

    auto operator<=>(const quota_key&) const = default;
};

/** The slices of one limit, by holder. */
using quota_slices = std::map<holder_id, quota_slice>;

/** A worker that is registered in the log and may run tasks. */
struct enlisted_worker {
    worker_info info;
    std::int64_t instance = 0; ///< The worker process that may get work.
};

/** The last group applied from a writer; detects repeated groups. */
struct writer_state {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
};

/** The configuration in force and the change that produced it. */
struct config_state {
    config_version version;
    std::int64_t accepted_ms = 0; ///< Log time.
    std::string operator_name;    ///< Who published the change.
    std::string token;            ///< As in `config_change`.
    nlohmann::json document = nlohmann::json::object();
    declarations in_force; ///< `document`, parsed.
};

/** The result of applying the log up to an offset. */
struct cell_state {
    std::int64_t next_offset = 0; ///< First record not applied yet.
    std::int64_t now_ms = 0;      ///< Log time of the last record.
    config_state config;
    std::map<host_id, writer_state> writers;
    std::map<data_centre_id, centre_owner> owners;
    std::map<worker_id, enlisted_worker> workers;
    std::map<job_id, live_job> jobs;
    std::map<job_id, ended_job> ended;
    std::deque<job_id> ended_order; ///< Ended jobs, oldest first.
    /**
     * Requests whose id carries an earlier time are not accepted: the ended
     * jobs that would reveal a repeat may have been dropped.
     */
    std::int64_t oldest_request_ms = 0;
    std::map<quota_key, quota_slices> quotas;
    bool any_dropped = false; ///< An undeclared holder still has quota.
};

} // namespace rattan
