/** @file The records of the log: groups of entries. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/job_type.hpp"
#include "rattan/worker_type.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rattan {

/** Changes the declarations. */
struct config_change {
    config_version base;       ///< The version it was made against.
    nlohmann::json set;        ///< section: name: entry
    nlohmann::json drop;       ///< section: [name]
    std::string operator_name; ///< Who published it.
    std::string token;         ///< Lets the publisher recognise its record.
};

/** A placer takes ownership of the workers and jobs of a data centre. */
struct centre_claim {
    data_centre_id data_centre;
    host_id host;
    std::int64_t incarnation = 0; ///< Of the placer's process.
    std::string address;          ///< Of the placer, for its peers.
    epoch base;                   ///< The claim in force that it replaces.
};

/**
 * Registers a process of a worker: from here on the owner may give it work.
 * A restarted worker has lost its fencing token, so that only the log can tell
 * which owner is the latest.
 */
struct worker_enlist {
    epoch owner;
    worker_info worker;
    std::int64_t instance = 0; ///< 0: not known yet, so no work.
};

/** Removes a worker on which nothing runs and nothing can start. */
struct worker_retire {
    epoch owner;
    worker_id worker;
};

/** Accepts a job; once this is recorded, the job is not lost. */
struct job_accept {
    job_id job;
    job_spec spec;
};

/**
 * Recorded before a job that may not run twice is started, so that no later
 * owner starts it again.
 */
struct job_start {
    job_id job;
    epoch owner;
};

struct job_end {
    job_id job;
    epoch owner;
    job_outcome outcome = job_outcome::done;
    std::string reason;
};

/** Cancels a job, started or not. */
struct job_cancel {
    job_id job;
    organisation_name organisation; ///< Must be that of the job.
};

/** Moves a job that has no running tasks to another data centre. */
struct job_move {
    job_id job;
    epoch owner;
    data_centre_id target;
};

/** A holder requests a larger slice of an organisation's limit. */
struct quota_want {
    holder_id holder;
    epoch owner; ///< Owner of the holder's data centre; 0 for a gate.
    organisation_name organisation;
    quota_kind kind = quota_kind::milli_cores;
    std::int64_t amount = 0; ///< Additional amount; 0 withdraws the request.
    std::int64_t serial = 0; ///< Of the slice; makes a repeat ineffective.
};

/** A holder returns quota that nothing uses any more. */
struct quota_cede {
    holder_id holder;
    epoch owner;
    organisation_name organisation;
    quota_kind kind = quota_kind::milli_cores;
    std::int64_t amount = 0;
    std::int64_t serial = 0;
};

/** One entry of the log: a command that changes the cell's state. */
using log_entry = std::variant<config_change, centre_claim, worker_enlist,
                               worker_retire, job_accept, job_start, job_end,
                               job_cancel, job_move, quota_want, quota_cede>;

/** One record of the log: entries of all programs on an entry host. */
struct log_group {
    host_id writer;
    std::int64_t incarnation = 0; ///< Of the writing relay's process.
    std::int64_t sequence = 0;    ///< From 1; makes a repeat ineffective.
    std::vector<log_entry> entries;
};

/** Upper bound per group, so that positions of two groups never overlap. */
constexpr std::int64_t MAX_GROUP_ENTRIES = 1024;

/** Position of an entry; ordered by group offset, then index in the group. */
constexpr std::int64_t log_position(std::int64_t offset, std::int64_t index) {
    return offset * MAX_GROUP_ENTRIES + index;
}

} // namespace rattan
