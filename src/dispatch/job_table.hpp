/** @file Jobs of a cell with the progress of their steps and tasks. */
#pragma once

#include "dispatch/dispatch_type.hpp"
#include "dispatch/state_budget.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::dispatch {

/** Highest number of a repeat that stored progress may name. */
constexpr std::int32_t MAX_REPEATS = 1 << 20;
/** The same for a run; the next one has to fit into 32 bits as well. */
constexpr std::int32_t MAX_RUN_NUMBER = 1 << 30;

/**
 * This long after the end of a job all its runs are stopped or their leases
 * have expired, with a wide margin.
 */
constexpr millis RUNS_GONE_AFTER{30'000};

/** Progress of a task. */
enum class task_phase : std::uint8_t {
    waiting, ///< No run of the task can exist.
    placed,  ///< A run may exist on the task's target.
    done,    ///< A run succeeded.
};

/** Part of a run in the crash of its target. */
enum class crash_blame : std::uint8_t {
    none,   ///< It had survived its start, others had not.
    late,   ///< It had survived its start, as had all others.
    shared, ///< It may have been at its start, like others.
    sole,   ///< No other run was at its start.
};

/** A run that was lost because its target crashed or may have crashed. */
struct crash_record {
    target_id target;
    std::int64_t incarnation = 0;
    std::int32_t run = 0;
    crash_blame blame = crash_blame::none;
    bool confirmed = false; ///< The process of the target has ended.
    /**
     * The target had confirmed the start. Otherwise the run may never have
     * begun.
     */
    bool begun = false;

    bool operator==(const crash_record&) const = default;
};

/** Progress of one task of a step. */
struct task_entry {
    task_phase phase = task_phase::waiting;
    bool confirmed = false; ///< The target has confirmed the start of `run`.
    std::int32_t run = 0;   ///< Highest run number assigned.
    std::vector<std::int32_t> failed; ///< Numbers of the failed runs.
    target_id target;                 ///< Set while a run may exist.
    std::int64_t incarnation = 0;     ///< Of that target.
    std::string checkpoint;           ///< Newest reported; empty: none.
    target_id avoid_target;           ///< Target on which the last run failed.
    /** A run was stopped as too slow, to restart elsewhere; done only once. */
    bool moved = false;
    std::vector<crash_record> crashes; ///< Of targets with a run of the task.
};

/** Progress of one step of a repeat. */
struct step_entry {
    std::vector<task_entry> tasks;
    std::int32_t done = 0;
    std::int32_t waiting = 0;
    bool ready = false; ///< All steps that it depends on are done.
    /** Failed attempts of a gang as a whole. */
    std::int32_t failed_runs = 0;
    /** Run number of the last failed attempt of a gang. */
    std::int32_t last_failed_run = 0;
    mono_time ready_since{};
    millis longest_run_time{0}; ///< Of the successful runs of its tasks.
};

/** Progress of one repeat. */
struct repeat_entry {
    std::vector<step_entry> steps;
    std::int32_t steps_done = 0;
};

/** A run that may exist on a target. */
struct recorded_run {
    task_id task;
    std::int32_t run = 0;
    target_id target;
    std::int64_t incarnation = 0; ///< Of that target.

    bool operator==(const recorded_run&) const = default;
};

/** A job and its progress. */
struct job_entry {
    job_record record;
    std::map<std::int32_t, repeat_entry> repeats; ///< Repeats in progress.
    std::int32_t repeats_done = 0;
    std::int32_t next_repeat = 0;
    job_state state = job_state::pending;
    std::int64_t ended_ms = 0; ///< Unix time; 0: not ended.
    millis critical_path{0};   ///< Length by the estimates.
    bool over_rate = false; ///< Its organisation exceeded its submission rate.
    /** Runs that may still exist although no task of the job names them. */
    std::vector<recorded_run> leftover_runs;
    /** The store refused the record of the ended job with its runs. */
    bool unawaited_runs_unstorable = false;
    std::size_t state_bytes = 0; ///< Counted in the budget of the table.
    /** No memory was left for a further repeat; it waits for another's end. */
    bool repeat_without_memory = false;

    [[nodiscard]] bool ended() const {
        return state == job_state::completed || state == job_state::failed ||
               state == job_state::cancelled;
    }
};

/**
 * Runs of a job that a later owner has to count although no task waits for
 * their ends: its leftover runs and, once it has ended, those of its tasks.
 */
std::vector<recorded_run> unawaited_runs(const job_entry& job);

/** Length of the critical path through the steps of a job, by the estimates. */
millis critical_path_length(const job_spec& spec);

/**
 * Expected duration of one repeat: actual times for steps that are done,
 * estimates for the others.
 */
struct repeat_estimate {
    millis critical_path{0}; ///< Length of the critical path.
    /** Length of the critical path from each step to the end. */
    std::vector<millis> remaining;
};
repeat_estimate estimate_repeat(const job_spec& spec,
                                const repeat_entry& repeat);
/** @param estimates Of each step, in place of those of the job. */
repeat_estimate estimate_repeat(const job_spec& spec,
                                const repeat_entry& repeat,
                                const std::vector<millis>& estimates);

/**
 * The jobs of a cell. State changes go through its functions. Jobs whose
 * progress has to be stored are collected for `take_changed`.
 */
class job_table {
public:
    /** Adds a job. @return False if it is already known. */
    bool accept(job_record record);

    /**
     * Starts the repeats of a job that are due. Beyond `MAX_TASKS_IN_PROGRESS`
     * tasks in progress, or if the budget has no room for a repeat beyond the
     * reserved ones, a repeat waits for the end of an earlier one.
     * @return True if there were any.
     */
    bool start_due_repeats(job_entry& job, std::int64_t wall_ms, mono_time now);

    /**
     * Unix time at which the next repeat starts. Before the start of a job that
     * runs only once it is 0; without any repeat left, or while the next one
     * waits for the end of an earlier one, it is the maximum value.
     */
    [[nodiscard]] static std::int64_t next_due_ms(const job_entry& job);

    /**
     * Assigns a waiting task to a target.
     * @pre `run` is higher than all earlier run numbers of the task.
     */
    void place(const task_id& task, std::int32_t run, const target_entry& on);

    /**
     * Assigns a placed task to a second target as well. Its earlier run is kept
     * on record as a leftover run; a later owner stops that one.
     * @pre As for `place`.
     */
    void place_copy(const task_id& task, std::int32_t run,
                    const target_entry& on);

    /** Records that a target has confirmed the start of a task's run. */
    void confirm(const task_id& task, std::int32_t run);

    /**
     * A target has confirmed that a run of the job has started. This alone is
     * not stored: a later owner learns it from the target as well.
     */
    void begin(const job_id& id);

    /**
     * Returns a task to waiting.
     * @pre No run of the task can exist any more.
     */
    void requeue(const task_id& task);

    /**
     * Keeps a run on record that may still exist although no task waits for its
     * end. Has no effect if the job is unknown or has no such task.
     */
    void add_leftover_run(const recorded_run& run);

    /** A run kept on record does not exist any more. */
    void remove_leftover_run(const task_id& task, std::int32_t run,
                             const target_id& target);

    /** Records the duration of a successful run. */
    void record_run_time(const task_id& task, millis run_time);

    /**
     * Marks a task as done. Success of one member of a gang completes the whole
     * gang.
     */
    void complete(const task_id& task, std::int64_t wall_ms, mono_time now);

    /**
     * Records a failed run. A run counts only once, since targets report an end
     * again to a new owner. One beyond `MAX_RUN_NUMBER` is not of this job.
     * @param max_attempts Number of failed runs after which the job fails;
     * nothing: not known yet, the run is only counted.
     * @return True if the job has failed because of this run.
     */
    bool fail(const task_id& task, std::int32_t run,
              std::optional<int> max_attempts, std::int64_t wall_ms);

    /**
     * Fails a job if a task that waits for another run has no attempt left.
     * @return True if the job has failed.
     */
    bool fail_if_exhausted(const job_id& id, int max_attempts,
                           std::int64_t wall_ms);

    /**
     * Fails a job that can't be finished or stored.
     * @return False if it is unknown or has already ended.
     */
    bool abandon(const job_id& id, std::int64_t wall_ms);

    /** Cancels a job. @return False if it is unknown or has already ended. */
    bool cancel(const job_id& id, std::int64_t wall_ms);

    /**
     * Records the newest checkpoint of a task, or of all members of its gang.
     */
    void record_checkpoint(const task_id& task, const std::string& checkpoint);

    void remove(const job_id& id);

    /**
     * Drops the definition of an ended job, of which only the end is asked for.
     * @pre No run of the job is recorded.
     */
    void drop_definition(const job_id& id);

    /** The memory of all jobs, and of what else callers make the owner keep. */
    [[nodiscard]] state_budget& budget() { return budget_; }
    [[nodiscard]] const state_budget& budget() const { return budget_; }

    /** Adds a job to those whose progress has to be stored. */
    void mark_changed(const job_id& id) { changed_.insert(id); }

    /** Returns the jobs that changed since the last call. */
    std::set<job_id> take_changed() { return std::exchange(changed_, {}); }
    [[nodiscard]] bool has_changed() const { return !changed_.empty(); }

    [[nodiscard]] job_entry* find(const job_id& id);
    [[nodiscard]] const job_entry* find(const job_id& id) const;
    [[nodiscard]] task_entry* find(const task_id& task);
    [[nodiscard]] step_entry* find(const step_ref& step);
    [[nodiscard]] const step_spec* spec(const step_ref& step) const;

    [[nodiscard]] std::unordered_map<job_id, job_entry>& all() { return jobs_; }
    [[nodiscard]] const std::unordered_map<job_id, job_entry>& all() const {
        return jobs_;
    }

    /** Restores a job from the store. */
    void restore(job_entry job, mono_time now);

private:
    /** Marks steps whose predecessors are done as ready. */
    void mark_ready_steps(job_entry& job, repeat_entry& repeat, mono_time now);
    /**
     * Handles the completion of a step; completes the repeat and the job if it
     * was the last one.
     */
    void finish_step(job_entry& job, const step_ref& ref, std::int64_t wall_ms,
                     mono_time now);

    /** Counts the memory of a job anew. */
    void charge(job_entry& job, std::size_t bytes);

    std::unordered_map<job_id, job_entry> jobs_;
    std::set<job_id> changed_;
    state_budget budget_;
};

} // namespace rattan::dispatch
