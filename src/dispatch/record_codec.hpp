/**
 * @file Encoding of the records in the store: jobs, progress, owner, members.
 */
#pragma once

#include "dispatch/job_table.hpp"
#include "dispatch/lease_type.hpp"

#include <optional>
#include <string>

namespace rattan::dispatch {

std::string encode_job(const job_record& record);

/** Decodes an accepted job. @throw decode_error. */
job_record decode_job_record(const std::string& text);

/** Encodes the progress of a job. */
std::string encode_progress(const job_entry& job);

/** Decodes only the state from encoded progress. @throw decode_error. */
job_state decode_progress_state(const std::string& text);

/**
 * Decodes a job that ended some time ago from its progress alone, without its
 * steps.
 * @return Nothing if runs of the job may still exist.
 * @throw decode_error.
 */
std::optional<job_entry> decode_ended_job(const job_id& id,
                                          const std::string& text,
                                          std::int64_t wall_ms);

/** The same for a job of which no run is recorded, however recent its end. */
std::optional<job_entry> decode_end_without_runs(const job_id& id,
                                                 const std::string& text);

/**
 * Applies encoded progress to a newly created entry of its job.
 * @throw decode_error.
 */
void apply_progress(job_entry& job, const std::string& text);

/** Encodes the organisation that asked for a cancellation. */
std::string encode_cancel(const organisation_id& requester);
organisation_id decode_cancel(const std::string& text);

/** The owner of the cell. */
struct owner_record {
    /** Rises with each claim; the fencing token of orders. */
    std::int64_t epoch = 0;
    host_id host;
    std::string address; ///< For calls to the owner; empty: it has resigned.
    /** Distinguishes successive processes of one host. */
    std::int64_t incarnation = 0;
    /** Of an owner that has resigned. */
    std::optional<lease_handover> leases;
};

/** An entry host of the cell. */
struct member_record {
    host_id host;
    data_centre_id data_centre;
    std::string address;
    /** Hosts with more cores claim ownership first. */
    std::int64_t milli_cores = 0;
    std::int64_t memory_bytes = 0; ///< Of a process; 0: not stated.
};

std::string encode_owner(const owner_record& owner);
owner_record decode_owner(const std::string& text);
std::string encode_member(const member_record& member);
member_record decode_member(const std::string& text);

} // namespace rattan::dispatch
