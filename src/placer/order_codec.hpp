/** @file JSON of worker orders and answers, and the digest of a listing. */
#pragma once

#include "rattan/json_func.hpp"
#include "rattan/order_type.hpp"

#include <string>
#include <vector>

namespace rattan {

NLOHMANN_JSON_SERIALIZE_ENUM(worker_task_state,
                             {{worker_task_state::prepared, "prepared"},
                              {worker_task_state::running, "running"},
                              {worker_task_state::stopping, "stopping"}})
NLOHMANN_JSON_SERIALIZE_ENUM(task_outcome, {{task_outcome::done, "done"},
                                            {task_outcome::failed, "failed"},
                                            {task_outcome::stopped, "stopped"},
                                            {task_outcome::lapsed, "lapsed"},
                                            {task_outcome::refused, "refused"}})
NLOHMANN_JSON_SERIALIZE_ENUM(order_verdict,
                             {{order_verdict::obeyed, "obeyed"},
                              {order_verdict::fenced, "fenced"},
                              {order_verdict::overtaken, "overtaken"},
                              {order_verdict::replaced, "replaced"}})
// Written by hand: an organisation is stored under the key `team`.
void to_json(nlohmann::json& out, const task_order& order);
void from_json(const nlohmann::json& in, task_order& order);
void to_json(nlohmann::json& out, const listed_task& listed);
void from_json(const nlohmann::json& in, listed_task& listed);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_order, owner, instance, sequence,
                                   lease_until_ms, prepare, start, checkpoint,
                                   stop, seen_event, known_listing)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_event, number, task, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_answer, verdict, fence, instance,
                                   clock_ms, same_listing, listing, tasks,
                                   events)

/** Digest of a listing, whatever the order of its tasks. */
std::string listing_digest(std::vector<listed_task> tasks);

} // namespace rattan
