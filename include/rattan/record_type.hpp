/** @file What stands in the log: commands, in groups. */
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

/** An operator's change of declarations. */
struct config_change {
    config_version base;       ///< The version that it was made from.
    nlohmann::json set;        ///< section: name: entry
    nlohmann::json drop;       ///< section: [name]
    std::string operator_name; ///< Who published it.
    std::string token;         ///< Tells the publisher its own record.
};

/** A placer takes the workers and jobs of a data centre. */
struct centre_claim {
    data_centre_id data_centre;
    host_id host;
    std::int64_t incarnation = 0; ///< Of the placer's process.
    std::string address;          ///< Of the placer, for its peers.
    epoch base;                   ///< The claim that it follows.
};

/**
 * From here on the owner may give work to this process of a worker. A worker
 * that restarts has forgotten who fenced it; the log has not.
 */
struct worker_enlist {
    epoch owner;
    worker_info worker;
    std::int64_t instance = 0; ///< 0: not known yet, no work.
};

/** Provably nothing runs on a worker, and nothing will. */
struct worker_retire {
    epoch owner;
    worker_id worker;
};

/** A job is taken; from here on it is not lost. */
struct job_accept {
    job_id job;
    job_spec spec;
};

/** From here on a job that may not run twice may have started. */
struct job_start {
    job_id job;
    epoch owner;
};

/** A job has ended. */
struct job_end {
    job_id job;
    epoch owner;
    job_outcome outcome = job_outcome::done;
    std::string reason;
};

/** A job is to be stopped, or not to be started. */
struct job_cancel {
    job_id job;
    organisation_name organisation; ///< Must be the job's team.
};

/** A job of which nothing runs goes to another data centre. */
struct job_move {
    job_id job;
    epoch owner;
    data_centre_id target;
};

/** A holder asks for a larger slice of a team's limit. */
struct quota_want {
    holder_id holder;
    epoch owner; ///< For a data centre's slice: its owner; else 0.
    organisation_name organisation;
    quota_kind kind = quota_kind::milli_cores;
    std::int64_t amount = 0; ///< Still wanted; 0 takes a want back.
    std::int64_t serial = 0; ///< Of the slice; a repeat has no effect.
};

/** A holder gives back what it provably does not use. */
struct quota_cede {
    holder_id holder;
    epoch owner;
    organisation_name organisation;
    quota_kind kind = quota_kind::milli_cores;
    std::int64_t amount = 0;
    std::int64_t serial = 0;
};

/** One command in the log. */
using log_entry = std::variant<config_change, centre_claim, worker_enlist,
                               worker_retire, job_accept, job_start, job_end,
                               job_cancel, job_move, quota_want, quota_cede>;

/** What one append carries: entries of all programs of an entry host. */
struct log_group {
    host_id writer;
    std::int64_t incarnation = 0; ///< Of the writing relay's process.
    std::int64_t sequence = 0;    ///< From 1; a repeat has no effect.
    std::vector<log_entry> entries;
};

/** Entries of one group at most, so that positions do not run over. */
constexpr std::int64_t MAX_GROUP_ENTRIES = 1024;

/** Position of an entry: the offset of its group, then its place there. */
constexpr std::int64_t log_position(std::int64_t offset, std::int64_t index) {
    return offset * MAX_GROUP_ENTRIES + index;
}

} // namespace rattan
