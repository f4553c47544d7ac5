/** @file JSON form of log entries and groups. */
#pragma once

#include "rattan/json_func.hpp"
#include "rattan/record_type.hpp"

#include <string>

namespace rattan {

NLOHMANN_JSON_SERIALIZE_ENUM(quota_kind,
                             {{quota_kind::milli_cores, "milli_cores"},
                              {quota_kind::accelerators, "accelerators"},
                              {quota_kind::checks, "checks"}})
NLOHMANN_JSON_SERIALIZE_ENUM(work_kind, {{work_kind::check, "check"},
                                         {work_kind::batch, "batch"},
                                         {work_kind::watch, "watch"}})
NLOHMANN_JSON_SERIALIZE_ENUM(drain_policy, {{drain_policy::move, "move"},
                                            {drain_policy::finish, "finish"}})
NLOHMANN_JSON_SERIALIZE_ENUM(job_outcome,
                             {{job_outcome::done, "done"},
                              {job_outcome::failed, "failed"},
                              {job_outcome::cancelled, "cancelled"},
                              {job_outcome::unknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(host_state, {{host_state::live, "live"},
                                          {host_state::leaving, "leaving"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_info, id, data_centre, rack, address,
                                   owned)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(runner_info, id, data_centre, address, slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(listed_worker, info, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(listed_runner, info, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(host_list, version, workers, runners)

// Written by hand: an organisation is stored under the key `team`.
void to_json(nlohmann::json& out, const job_spec& spec);
void from_json(const nlohmann::json& in, job_spec& spec);
void to_json(nlohmann::json& out, const job_cancel& cancel);
void from_json(const nlohmann::json& in, job_cancel& cancel);
void to_json(nlohmann::json& out, const quota_want& want);
void from_json(const nlohmann::json& in, quota_want& want);
void to_json(nlohmann::json& out, const quota_cede& cede);
void from_json(const nlohmann::json& in, quota_cede& cede);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_change, base, set, drop,
                                   operator_name, token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(centre_claim, data_centre, host, incarnation,
                                   address, base)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_enlist, owner, worker, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_retire, owner, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_accept, job, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_start, job, owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_end, job, owner, outcome, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_move, job, owner, target)

/** Encodes an entry; `t` holds the name of its type. */
std::string encode_entry(const log_entry& entry);

/** @throw decode_error if the text is not a valid entry. */
log_entry decode_entry(const std::string& text);

/** Encodes a group of entries that are encoded already. */
std::string encode_group(const host_id& writer, std::int64_t incarnation,
                         std::int64_t sequence,
                         const std::vector<std::string>& entries);

/**
 * Decodes a group. Entries that are invalid or of an unknown type are skipped;
 * every process skips the same ones.
 * @throw decode_error if the text is not a valid group.
 */
log_group decode_group(const std::string& text);

} // namespace rattan
