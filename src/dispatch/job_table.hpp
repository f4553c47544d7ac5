/** @file Every job, its steps, and where each of its tasks stands. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::dispatch {

/** Where a task stands. */
enum class task_phase : std::uint8_t {
    waiting, ///< No run of it can exist.
    placed,  ///< A run of it may exist on its target.
    done,    ///< Ended well.
};

/** One task of a step. */
struct task_entry {
    task_phase phase = task_phase::waiting;
    std::int32_t run = 0;             ///< Highest run number given out.
    std::vector<std::int32_t> failed; ///< Runs that ended as failed.
    target_id target;                 ///< While a run of it may exist.
    std::int64_t incarnation = 0;     ///< Life of that target.
    std::string checkpoint;           ///< Newest seen; empty: none.
    target_id avoid;                  ///< Where its last run failed.
    bool moved = false;               ///< From a slow target; again it stays.
};

/** One step of one repeat. */
struct step_entry {
    std::vector<task_entry> tasks;
    std::int32_t done = 0;
    std::int32_t waiting = 0;
    bool open = false;            ///< All steps before it are done.
    std::int32_t failed_runs = 0; ///< Of a gang.
    std::int32_t last_failed = 0; ///< Run number of the last of these.
    mono_time opened{};
    millis took{0}; ///< Longest good run of its tasks so far.
};

/** All steps of one repeat. */
struct repeat_entry {
    std::vector<step_entry> steps;
    std::int32_t steps_done = 0;
};

/** One job. */
struct job_entry {
    job_record record;
    std::map<std::int32_t, repeat_entry> repeats; ///< Those under way.
    std::int32_t repeats_done = 0;
    std::int32_t next_repeat = 0;
    job_state state = job_state::pending;
    std::int64_t ended_ms = 0; ///< Unix time; 0: not ended.
    millis chain{0};           ///< Longest chain of estimated work.
    bool beyond_share = false; ///< Its organisation sent too many at once.

    [[nodiscard]] bool ended() const {
        return state == job_state::completed || state == job_state::failed ||
               state == job_state::cancelled;
    }
};

/** Longest chain of estimated work through the steps of a job. */
millis longest_chain(const job_spec& spec);

/** Work of one repeat: what steps took where they are done, else estimates. */
struct repeat_outlook {
    millis chain{0};           ///< Longest chain through all steps.
    std::vector<millis> tails; ///< Longest chain from each step to the end.
};
repeat_outlook outlook_of(const job_spec& spec, const repeat_entry& repeat);

/**
 * The jobs of a cell. Changes go through its commands; each says whether it
 * had an effect, and a changed job is in `take_changed` until it is stored.
 */
class job_table {
public:
    /** Adds a job. @return False when it is known. */
    bool accept(job_record record);

    /** Opens the repeats of a job that are due. @return True if any. */
    bool open_due(job_entry& job, std::int64_t wall_ms, mono_time now);

    /** Unix time of the next repeat that is not open; none: max. */
    [[nodiscard]] static std::int64_t next_due_ms(const job_entry& job);

    /** Gives a waiting task to a target, with a run number above all others. */
    void place(const task_id& task, std::int32_t run, const target_entry& on);

    /** Says that no run of a task can exist any more. */
    void release(const task_id& task);

    /** Keeps how long a good run took. */
    void note_time(const task_id& task, millis took);

    /** Takes a run's good end; of a gang's member, that of all. */
    void complete(const task_id& task, std::int64_t wall_ms, mono_time now);

    /**
     * Takes a run's failure, once: targets list an end again to a new owner.
     * @param max_attempts Failed runs after which the job has failed.
     * @return True if the job has failed now.
     */
    bool fail(const task_id& task, std::int32_t run, int max_attempts,
              std::int64_t wall_ms);

    /** Ends a job that has not ended. @return False when it had. */
    bool cancel(const job_id& id, std::int64_t wall_ms);

    /** Keeps the newest checkpoint of a task. */
    void keep_checkpoint(const task_id& task, const std::string& checkpoint);

    /** Forgets a job. */
    void forget(const job_id& id);

    /** Marks a job as changed, so that it is stored. */
    void touch(const job_id& id) { changed_.insert(id); }

    /** Jobs that changed since the last call. */
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

    /** Restores a job as it was stored. */
    void restore(job_entry job, mono_time now);

private:
    /** Opens the steps whose predecessors are done. */
    void open_steps(job_entry& job, repeat_entry& repeat, mono_time now);
    /** Ends a step, perhaps its repeat, perhaps the job. */
    void finish_step(job_entry& job, const step_ref& ref, std::int64_t wall_ms,
                     mono_time now);

    std::unordered_map<job_id, job_entry> jobs_;
    std::set<job_id> changed_;
};

} // namespace rattan::dispatch
