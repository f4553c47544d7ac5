/** @file Declarations: what operators configure for a cell. */
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

/** What an upper limit of an organisation counts. */
enum class quota_kind {
    milli_cores,  ///< CPU of running tasks, in thousandths of a core.
    accelerators, ///< Accelerators of running tasks.
    checks,       ///< Checks in progress.
};

constexpr std::array<quota_kind, 3> ALL_QUOTA_KINDS{
    quota_kind::milli_cores, quota_kind::accelerators, quota_kind::checks};

/** Settings that apply to the whole cell. */
struct cell_declaration {
    /** How long a process serves while isolated from the log and its peers. */
    millis isolation_limit{2 * 3600 * 1000};
    /** Live jobs that one organisation may have. */
    std::int64_t queued_jobs_limit = 20000;
};

struct data_centre_declaration {
    bool in_service = true;
    std::vector<host_id> entry_hosts;
};

/** A customer that submits work. */
struct organisation_declaration {
    std::int64_t weight = 1; ///< Relative share when the cell is full.
    std::map<quota_kind, std::int64_t> limits; ///< Upper limits in the cell.
};

/** An API key. Only a salted hash of its secret is stored. */
struct key_declaration {
    organisation_name organisation;
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< SHA-256 of salt and secret, hexadecimal.
    /** Overrides the limit of the cell if shorter. */
    std::optional<millis> isolation_limit;
};

enum class work_kind {
    check, ///< Run by a runner while the caller waits.
    batch, ///< Gang-scheduled: all its tasks start together.
    watch, ///< Long-running: runs until cancelled.
};

/** What happens to running tasks when a data centre goes out of service. */
enum class drain_policy {
    move,   ///< Checkpointed, stopped and restarted elsewhere.
    finish, ///< Left to run to their end.
};

/** A named kind of work: who may submit it and what it may use. */
struct plan_declaration {
    work_kind kind = work_kind::batch;
    std::vector<organisation_name> organisations; ///< Which may use it.
    bool open_to_all = false;  ///< Accepts work without a key.
    organisation_name account; ///< Whose limits apply if it is open to all.
    std::int32_t max_tasks = 1;
    resources max_task; ///< Upper bound of a task's resources.
    std::set<data_centre_id> data_centres; ///< Where it may run; empty: all.
    bool restartable = false;              ///< A lost task may be run again.
    bool urgent = false; ///< Starts before work that is not urgent.
    drain_policy drain = drain_policy::finish;
    std::int32_t max_attempts = 3; ///< Of each task, when it fails.
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
