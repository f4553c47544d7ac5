/** @file Tasks that may crash the targets that start them. */
#pragma once

#include "dispatch/job_table.hpp"
#include "dispatch/target_table.hpp"

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace rattan::dispatch {

/** How far a task is suspected of crashing targets. */
enum class suspicion : std::uint8_t {
    none,
    suspect,       ///< Shares no target with another unproven suspect.
    grave_suspect, ///< Shares no target with any unproven run.
    /** Not started until it is known whether its lost targets crashed. */
    held,
    convicted, ///< Not started any more; its job has to be given up.
};

/** Assesses a task by its record. */
suspicion assess(const std::vector<crash_record>& crashes);

/**
 * Keeps account of the tasks whose targets crashed. A run is proven once its
 * target has reported it for some time after its start. A crash is blamed on
 * the unproven runs; if there are none, on all runs of the target.
 */
class crash_suspects {
public:
    using log_function = std::function<void(
        std::string_view event, const job_id& job, const std::string& detail)>;

    crash_suspects(job_table& jobs, target_table& targets, log_function log);

    /** @name Events. Each is called before the tables are changed. */
    ///@{
    /** The leases of these runs have expired on an unresponsive target. */
    void runs_expired(const target_state& target,
                      const std::vector<task_id>& tasks);
    /** A new entry of a target was read; `known` is its state, if any. */
    void target_listed(const target_state* known, const target_entry& entry);
    void target_delisted(const target_id& target);
    /**
     * The known process of a target ended: blames its runs. Those that the next
     * one turns out to have begun are cleared when it lists them.
     */
    void process_ended(const target_state& target);
    /** A target answered a poll. */
    void target_answered(const target_state& target, std::int64_t incarnation);
    ///@}

    /** A target reports a run as active. */
    void run_listed(target_state& target, const listed_run& listed);

    /** Adds the crashes of a restored job. */
    void job_restored(const job_id& job);
    /**
     * A run on a process of a target is inherited; the target may have
     * restarted since.
     */
    void run_inherited(const target_state& target, const task_id& task,
                       std::int64_t incarnation);

    /**
     * Returns the jobs with tasks convicted since the last call. Not those of
     * which a crash has been refuted since.
     */
    [[nodiscard]] std::vector<job_id> take_convicted();

    /** @name Placement. */
    ///@{
    /** Updates what targets accept; called before each placement round. */
    void begin_round(mono_time now);
    /** Tells whether any task is suspected. */
    [[nodiscard]] bool active() const { return !crashed_.empty(); }
    [[nodiscard]] suspicion suspicion_of(const task_id& task) const;
    /**
     * Chooses a target for a suspect.
     * @return Null: the suspect has to wait.
     */
    [[nodiscard]] target_state*
    choose(const task_id& task, const std::vector<target_state*>& candidates,
           const std::function<bool(const target_state&)>& has_room);
    /** Keeps the targets that may receive members of a gang with suspects. */
    void select_for_gang(const step_ref& step,
                         std::vector<target_state*>& candidates);
    /** A run was added to a target. */
    void placed(target_state& target, const task_id& task);
    /** A suspect waits for a target or for the cause of a loss. */
    [[nodiscard]] bool has_waiting() const { return !waiting_since_.empty(); }
    ///@}

private:
    /** Tasks with a record of the loss of a target. */
    struct loss {
        std::set<task_id> tasks;
        /** First placement round with the newest unconfirmed record. */
        mono_time since{};
    };

    /**
     * Adds a crash to the record of each of these tasks; their runs on the
     * target must not have been removed yet.
     */
    void add_records(const target_state& target,
                     const std::vector<task_id>& tasks, bool confirmed);
    /** Number of targets that became silent together with this one. */
    [[nodiscard]] std::size_t lost_together(const target_state& target) const;
    void confirm(const target_id& target);
    /** Removes the records of a process, which still runs. */
    void refute(const target_id& target, std::int64_t incarnation,
                std::string_view cause);
    /** A run that the new process lists did not begin in the one before. */
    void remove_crash_of_listed_run(const target_state& target,
                                    const listed_run& listed);
    void review(const task_id& task);
    void log(std::string_view event, const task_id& task,
             const crash_record& crash, std::string_view cause) const;
    /** Removes tasks that have ended or are cleared from the index. */
    void remove_obsolete();
    /** Tells whether a target may receive a suspect in this round. */
    [[nodiscard]] bool accepts(const target_state& target, const task_id& task,
                               suspicion level) const;
    /** The task that stands for all that count as one when blamed. */
    [[nodiscard]] task_id party_of(const task_id& task) const;
    [[nodiscard]] bool proven(const task_id& task, const run_entry& run) const;

    job_table& jobs_;
    target_table& targets_;
    log_function log_;
    std::map<target_id, loss> crashed_;
    std::set<task_id> convicted_;
    /** Suspects that could not be placed, with the time of the first attempt.
     */
    std::map<task_id, mono_time> waiting_since_;
    mono_time round_time_{};
    /** Last answer of a target that was lost with many others. */
    mono_time mass_lost_at_{};
};

} // namespace rattan::dispatch
