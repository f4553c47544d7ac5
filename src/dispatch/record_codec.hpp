/** @file What is kept in the store: jobs, their progress, members. */
#pragma once

#include "dispatch/job_table.hpp"

#include <optional>
#include <string>

namespace rattan::dispatch {

/** Encodes a job as it was accepted. */
std::string encode_job(const job_record& record);

/** Decodes it. @throw decode_error. */
job_record decode_job_record(const std::string& text);

/** Encodes what has become of a job. */
std::string encode_progress(const job_entry& job);

/** The state alone of an encoded progress. @throw decode_error. */
job_state decode_progress_state(const std::string& text);

/**
 * What is shown of a job that ended a while ago, from its progress alone.
 * @return Nothing when its runs may still count. @throw decode_error.
 */
std::optional<job_entry> decode_ended_job(const job_id& id,
                                          const std::string& text,
                                          std::int64_t wall_ms);

/** Puts progress onto a freshly accepted job. @throw decode_error. */
void apply_progress(job_entry& job, const std::string& text);

/** Who owns the cell. */
struct owner_record {
    std::int64_t epoch = 0; ///< Rises with each claim; the fence of orders.
    host_id host;
    std::string address;          ///< Of its calls; empty: it has resigned.
    std::int64_t incarnation = 0; ///< Tells processes of one host apart.
};

/** An entry host that can be asked. */
struct member_record {
    host_id host;
    data_centre_id data_centre;
    std::string address;
    std::int64_t milli_cores = 0; ///< Stronger hosts own first.
};

std::string encode_owner(const owner_record& owner);
owner_record decode_owner(const std::string& text);
std::string encode_member(const member_record& member);
member_record decode_member(const std::string& text);

} // namespace rattan::dispatch
