/** @file What operators declare: plans, teams, keys, data centres. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattan {

/** What a team's upper limit counts. */
enum class quota_kind {
    milli_cores,  ///< Processors of running tasks, in thousandths.
    accelerators, ///< Accelerators of running tasks.
    checks,       ///< Quick checks under way.
};

constexpr std::array<quota_kind, 3> ALL_QUOTA_KINDS{
    quota_kind::milli_cores, quota_kind::accelerators, quota_kind::checks};

/** Settings of the whole cell. */
struct cell_declaration {
    /** How long a process cut off from log and peers goes on serving. */
    millis isolation_limit{2 * 3600 * 1000};
    /** Queued jobs that one team may have. */
    std::int64_t queued_jobs_limit = 20000;
};

/** One data centre with its entry hosts. */
struct data_centre_declaration {
    bool in_service = true;
    std::vector<host_id> entry_hosts;
};

/** One customer. */
struct organisation_declaration {
    std::int64_t weight = 1; ///< Its share of a full cell, relative.
    std::map<quota_kind, std::int64_t> limits; ///< Upper limits, fleet-wide.
};

/** A key that callers show; the secret itself is kept nowhere. */
struct key_declaration {
    organisation_name organisation;
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< SHA-256 of salt and secret, hexadecimal.
    /** A stricter bound than the cell's on use while cut off. */
    std::optional<millis> isolation_limit;
};

/** The kinds of work. */
enum class work_kind {
    check, ///< Answered by a runner while the caller waits.
    batch, ///< A gang: its tasks start together.
    watch, ///< Runs until cancelled.
};

/** What happens to running tasks when a data centre is taken out. */
enum class drain_policy {
    move,   ///< Checkpointed, stopped and started elsewhere.
    finish, ///< Left to end where they run.
};

/** One plan: what it may use and how it behaves. */
struct plan_declaration {
    work_kind kind = work_kind::batch;
    std::vector<organisation_name> organisations; ///< Who may use it.
    bool open_to_all = false;                     ///< Takes work without a key.
    organisation_name account; ///< Whose limits an open plan counts on.
    std::int32_t max_tasks = 1;
    resources max_task;                    ///< Largest task it may ask for.
    std::set<data_centre_id> data_centres; ///< Empty: all.
    bool restartable = false;              ///< A lost task may run again.
    bool urgent = false; ///< Starts ahead of work that is not.
    drain_policy drain = drain_policy::finish;
    std::int32_t max_attempts = 3; ///< Of a task that fails.
};

/** All declarations in force. */
struct declarations {
    cell_declaration cell;
    std::map<data_centre_id, data_centre_declaration> data_centres;
    std::map<organisation_name, organisation_declaration> organisations;
    std::map<key_id, key_declaration> keys;
    std::map<plan_id, plan_declaration> plans;
};

} // namespace rattan
