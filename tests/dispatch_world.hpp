/**
 * @file Simulation of a cell in virtual time with targets, advice service and
 * store, without a network.
 */
#pragma once

#include "dispatch/owner_base.hpp"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

namespace rattan::dispatch::testing {

/** Targets with the same first label. */
struct target_kind {
    std::string label;
    double slowness = 1; ///< Factor of all run times.
};

/** Size and latencies of a simulated cell. */
struct simulation_options {
    std::uint32_t seed = 1;
    int targets = 48;
    /** Milli-cores, before the size factor of the target. */
    std::int64_t target_cores = 32'000;
    int hosts = 6;            ///< Hosts that call the advice service.
    millis append_latency{8}; ///< Round trip of an append.
    millis order_latency{3};  ///< Round trip of an order.
    /** Between two probes of a guarded target whose process has ended. */
    millis probe_period{1};
    /** Time after which the list of targets shows a restart. */
    millis list_delay{1000};
    /** Longest lease that a target grants. */
    millis max_lease{6000};
    /** Rate of the targets' clocks. */
    double target_clock_rate = 1;
    /** Standard deviation of the logarithm of actual duration over estimate. */
    double estimate_error = 0;
    /** Settings of each owner, except for the epoch. */
    owner_settings settings;
    /** Kinds of targets in turn; empty: all of kind "a". */
    std::vector<target_kind> kinds;
    /** Milli-cores of the targets in turn; empty: by `target_cores`. */
    std::vector<std::int64_t> sizes;
    /** Runs take up to this many percent longer, by task and target. */
    int run_noise_percent = 0;
    /**
     * Runs end with the lease of their target also while nothing else happens
     * there; otherwise they end at the next event.
     */
    bool exact_lease_ends = false;
    /** Median of actual duration over estimate. */
    double estimate_factor = 1;
    /**
     * Members of a gang end together, and only if all of them run; otherwise
     * each one ends by itself.
     */
    bool gangs_end_together = false;
};

/** Distribution of the jobs of a queue. */
struct request_kind {
    std::string queue;
    double per_second = 1;
    double steps = 1.6;        ///< Mean number.
    double tasks_per_step = 6; ///< Mean.
    double task_ms = 800;      ///< Mean.
    double milli_cores = 2300;
    int priority = 0;
    double stretch = 1.5;
    millis objective{250};
    advice_config advice;
    /** Share of targets that may run a step. */
    double eligible_share = 0.7;
    /** Starts need no ticket. */
    bool without_advice = false;
};

/** How a target crashes and comes back. */
struct crash_options {
    millis downtime{3000};
    /** It comes back under its id; otherwise under a new one. */
    bool keeps_id = false;
    /** From its return until the list shows it again. */
    millis list_delay{0};
};

/** Outcome of a set of jobs. */
struct job_outcome {
    int jobs = 0;
    int in_time = 0; ///< Completed within their objective.
    int ended = 0;
    /** Not ended, since targets crashed under their tasks. */
    int given_up = 0;
};

/** Outcome of one job. */
struct single_outcome {
    std::string queue;
    std::string organisation;
    double work = 0; ///< Milli-core-milliseconds by the actual durations.
    std::int64_t objective_ms = 0;
    std::int64_t took_ms = 0; ///< From submission to end; 0: not ended.

    [[nodiscard]] bool in_time() const {
        return took_ms > 0 && took_ms <= objective_ms;
    }
};

/**
 * Runs an owner against simulated targets and counts violations such as
 * overlapping runs.
 */
class simulated_cell : public owner_output {
public:
    explicit simulated_cell(const simulation_options& options);

    /** The owner under test; replaced by `restart_owner`. */
    [[nodiscard]] owner& owner_under_test() { return *owner_; }
    [[nodiscard]] owner_clock clock() const;

    void add_queue(const request_kind& kind);
    /** @param limit Upper limit of what runs; 0: none. */
    void add_organisation(const std::string& name, double weight,
                          const resources& limit = {});
    /**
     * Submits random jobs for one organisation from `from` to `to`.
     * @param rate_factor Factor applied to the submission rate.
     */
    void submit_from(const request_kind& kind, const std::string& organisation,
                     millis from, millis to, double rate_factor = 1);
    job_id submit(const std::string& queue, const std::string& organisation,
                  job_spec spec);

    /** Schedules a call. */
    void at(millis when, std::function<void()> call);
    /** Advances the virtual time. */
    void run_until(millis when);

    /** @name Fault injection. */
    ///@{
    void set_silent(int target, bool silent);
    /**
     * Replaces the process of a target: the new one has the same id, holds
     * nothing of the earlier one, and counts ends and time from the start.
     */
    void restart_target(int target) { restart_target(target, 1); }
    /** @param difference Incarnation of the new process minus the old one's. */
    void restart_target(int target, std::int64_t difference);
    /** The list of targets shows the newest process of a target. */
    void list_target(int target);
    /** The list of targets no longer shows a target. */
    void delist_target(int target);
    /**
     * The process of a target ends without notice; another one starts later at
     * its address. Its entry is removed from the list in between.
     */
    void crash_target(int target, const crash_options& options);
    /** Each run of the task crashes its target some time after its start. */
    void set_deadly(const task_id& task, millis fuse,
                    const crash_options& options) {
        deadly_tasks_[task] = {fuse, options};
    }
    /** Changes the capacity in a target's entry; its runs stay. */
    void set_capacity(int target, const resources& capacity);
    /** The target ends with its runs and never answers again. */
    void lose_target(int target);
    /**
     * Adds a target's current entry to the platform's list, or removes it. The
     * owner is told at once.
     */
    void set_listed(int target, bool listed);
    /** Ends the runs of a job's gangs as on the loss of a member. */
    void break_gangs(const job_id& job);
    void set_failing(int target, bool failing);
    void set_slow(int target, double factor);
    /** The target refuses all start orders. */
    void set_refusing(int target, bool refusing);
    /** Multiplies the duration of a task on any target. */
    void slow_down_task(const task_id& task, double factor) {
        task_slowdowns_[task] = factor;
    }
    void drop_start_answers(bool drop) { drop_start_answers_ = drop; }
    /** This share of the start orders has no answer and arrives later. */
    void delay_starts(double share, millis delay = millis(3000)) {
        delayed_start_share_ = share;
        start_delay_ = delay;
    }
    /** The next start orders have no answer: `deliver_held_start`. */
    void hold_starts(int count) { starts_to_hold_ = count; }
    /**
     * The oldest order held arrives, unless its target is down.
     * @return False if none is held that may still arrive.
     */
    bool deliver_held_start();
    /** Polls have no answer and arrive 3 s later. */
    void delay_polls(bool delay) { delay_polls_ = delay; }
    /** Stop orders have no answer and no effect. */
    void ignore_stops(bool ignore) { ignore_stops_ = ignore; }
    /** A new owner takes over with the records in the store. */
    void restart_owner();
    /** The owner resigns and another one takes over. */
    void hand_over();
    void set_store_down(bool down);
    /** The store refuses records over this size. */
    void set_max_record_bytes(std::size_t bytes) { max_record_bytes_ = bytes; }
    /** The owner, and any later one, has no configuration. */
    void withhold_config(bool withheld);
    /** Deletes all records of a job; its runs continue. */
    void delete_job(const job_id& job) {
        accepted_.erase(job);
        stored_.erase(progress_key(job));
    }
    ///@}

    [[nodiscard]] job_outcome queue_result(const std::string& queue) const;
    /** Outcome of the jobs of one organisation. */
    [[nodiscard]] job_outcome
    organisation_result(const std::string& organisation) const;
    /** Second copies of tasks that the owner has placed. */
    [[nodiscard]] int copies() const { return copies_; }
    /** A step that allows speculation may have two runs of a task. */
    /** Outcome of each job in the order of submission. */
    [[nodiscard]] std::vector<single_outcome> outcomes() const;
    /** Hash of all start orders with their times. */
    [[nodiscard]] std::uint64_t start_hash() const { return start_hash_; }
    [[nodiscard]] int overlapping_runs() const { return overlapping_runs_; }
    /** The same without runs that their target no longer holds a lease for. */
    [[nodiscard]] int overlapping_held_runs() const {
        return overlapping_held_runs_;
    }
    [[nodiscard]] int overcommitted_starts() const {
        return overcommitted_starts_;
    }
    /** Starts that brought the runs of an organisation above its limit. */
    [[nodiscard]] int starts_over_limit() const { return starts_over_limit_; }
    /** Starts of tasks of which a successful end was acknowledged. */
    [[nodiscard]] int starts_after_success() const {
        return starts_after_success_;
    }
    /**
     * The same without ends of targets whose lease lapsed before the
     * acknowledgement: such a task may have started elsewhere meanwhile.
     */
    [[nodiscard]] int starts_after_held_success() const {
        return starts_after_held_success_;
    }
    [[nodiscard]] int starts() const { return starts_; }
    /** Hash of the times, tasks, runs and targets of all start orders. */
    [[nodiscard]] std::uint64_t starts_hash() const { return starts_hash_; }
    /** Start orders for tasks of a queue to targets of a kind. */
    [[nodiscard]] int starts_on_kind(const std::string& queue,
                                     const std::string& label) const {
        const auto found = starts_by_kind_.find({queue, label});
        return found == starts_by_kind_.end() ? 0 : found->second;
    }
    [[nodiscard]] int starts_on(int target) const {
        const auto found = starts_by_target_.find(target);
        return found == starts_by_target_.end() ? 0 : found->second;
    }
    /** From submission to stored end, for the ended jobs of a queue. */
    [[nodiscard]] std::vector<millis>
    durations_of(const std::string& queue) const;
    [[nodiscard]] int polls() const { return polls_; }
    /** Requests of owners to guard a target. */
    [[nodiscard]] int guard_requests() const { return guard_requests_; }
    /** Time at which the last start order was sent. */
    [[nodiscard]] millis last_start_sent() const {
        return millis(last_start_sent_);
    }
    /**
     * Starts sent to an earlier process of their target that were carried out
     * by one which had answered a poll.
     */
    [[nodiscard]] int starts_in_reached_process() const {
        return starts_in_reached_process_;
    }
    /** Starts with a ticket for an earlier process of their target. */
    [[nodiscard]] int starts_with_old_ticket() const {
        return starts_with_old_ticket_;
    }
    /** Ends that a target still lists. */
    [[nodiscard]] std::size_t listed_ends(int target) const {
        return targets_[static_cast<size_t>(target)].ended.size();
    }
    /** Start orders for a task that targets carried out. */
    [[nodiscard]] int starts_of(const task_id& task) const {
        const auto found = starts_by_task_.find(task);
        return found == starts_by_task_.end() ? 0 : found->second;
    }
    /**
     * Tells whether a job was given up because targets crashed under one of its
     * tasks, at least twice.
     */
    [[nodiscard]] bool given_up_with_cause(const job_id& job) const;
    [[nodiscard]] job_state state_of(const job_id& job) const {
        return owner_->state_of(job, accepted_.at(job).organisation);
    }
    /** Jobs without deadly tasks that were ended as failed. */
    [[nodiscard]] int sound_jobs_failed() const;
    /** Target that a task runs on; -1: none. */
    [[nodiscard]] int target_of(const task_id& task) const;
    [[nodiscard]] int ticks() const { return ticks_; }
    [[nodiscard]] std::size_t runs_of(const job_id& job) const;
    [[nodiscard]] std::size_t runs_on(int target) const {
        return targets_[static_cast<size_t>(target)].runs.size();
    }
    /** The target that runs a task of a job. */
    [[nodiscard]] std::optional<int> target_of(const job_id& job) const;
    /** Number of jobs whose records the owner has asked to delete. */
    [[nodiscard]] int removed_jobs() const { return removed_jobs_; }
    /** Tells whether an owner has reported that the end of a job is stored. */
    [[nodiscard]] bool end_reported(const job_id& job) const {
        return stored_ends_.contains(job);
    }
    [[nodiscard]] bool has_run(const target_id& target, const task_id& task,
                               std::int32_t run) const;
    /** Tells whether a target answers and is in the platform's list. */
    [[nodiscard]] bool usable(const target_id& target) const;
    /** Capacity that no run on the target uses. */
    [[nodiscard]] resources free_capacity(const target_id& target) const;
    [[nodiscard]] static target_id target_name(int target);

    // owner_output
    void start(const target_address& target, const start_order& order) override;
    void stop(const target_address& target, const task_id& task,
              std::int32_t run, std::int64_t fencing_token) override;
    void throttle(const target_address& target, const task_id& task,
                  std::int32_t run, int percent, std::int64_t) override {
        deliver_answer([this, target, task, run, percent] {
            owner_->throttle_answered(
                target.id, task, run, percent,
                {.answered = true, .sent = true, .done = true});
        });
    }
    void poll(const target_address& target, const poll_order& order) override;
    void guard_restart(const target_address& target, std::int64_t fencing_token,
                       millis duration) override;
    void ask_advice(const host_id& host, const step_ref& step,
                    const std::vector<std::string>& targets,
                    millis timeout) override;
    void store(const std::vector<store_record>& records) override;
    void remove_jobs(const std::vector<job_id>& jobs) override {
        removed_jobs_ += static_cast<int>(jobs.size());
    }
    void end_stored(const job_id& job) override { stored_ends_.insert(job); }
    void log(std::string_view event, const job_id& job,
             const std::string&) override {
        if (event == "job_given_up")
            given_up_.insert(job);
        if (event == "straggler_copied")
            ++copies_;
    }

private:
    struct fake_run {
        std::int32_t run = 0;
        std::int64_t started_at = 0;
        std::int64_t ends_at = 0;
        resources demand;
    };
    struct fake_target {
        target_entry entry;
        std::map<task_id, fake_run> runs;
        std::vector<listed_end> ended;
        /** When each end occurred, by sequence number. */
        std::map<std::int64_t, std::int64_t> ended_at;
        std::int64_t last_end = 0;
        std::int64_t lease_end_ms = 0;
        std::int64_t lapsed_at = -1;   ///< When its lease last ended.
        std::int64_t clock_offset = 0; ///< Its clock minus the virtual time.
        std::int64_t fencing_token = 0;
        /** Highest run number that may no longer start. */
        std::map<task_id, std::int32_t> stopped_runs;
        bool silent = false;
        bool down = false;    ///< Its process has ended.
        int lives = 1;        ///< Processes so far.
        bool reached = false; ///< The process has answered a poll.
        bool failing = false;
        bool refusing = false;
        double slowness = 1; ///< Of its kind.
        double slowdown = 1;
        std::function<void()> pending_poll;
    };
    /** The last guard of a target. */
    struct target_guard {
        std::int64_t fencing_token = 0;
        std::int64_t until = 0;
        int reached_life = 0; ///< Process that has seen the token.
        /** The owner has to learn of the next one that is reached. */
        bool out_of_reach = false;
        bool running = false;
        /** Goes on when the state of the target changes. */
        bool idle = false;
        /** Probes are sent while it is idle; none is answered. */
        bool probing = false;
    };
    struct event {
        std::int64_t at;
        std::int64_t order;
        std::function<void()> call;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct submitted {
        std::string queue;
        std::string organisation;
        std::int64_t at = 0;
        std::int64_t objective = 0;
        std::int64_t ended_at = 0;
    };

    [[nodiscard]] job_outcome
    count(const std::function<bool(const submitted&)>& selects) const;
    void after(millis delay, std::function<void()> call);
    void deliver_answer(std::function<void()> call);
    /** What the owner hears of a start order that its target carries out. */
    enum class start_answer {
        arrives,
        lost,      ///< It learns at once that there is no answer.
        timed_out, ///< It has learned so before.
    };
    /**
     * Delivers a start order to its target.
     * @param sent_in_life Process of the target when the order was sent.
     */
    void deliver_start(const target_address& address, const start_order& order,
                       start_answer to_owner, int sent_in_life);
    void schedule_tick();
    void end_run(fake_target& target, task_id task, run_end how);
    /** Ends the runs of a gang, or one that runs without the others. */
    void end_gang(fake_target& target, const task_id& member);
    void send_poll_answer(const target_id& target, const poll_order& order,
                          mono_time sent_at);
    /** Probes a guarded target if it has a new process. */
    void run_guard(const target_id& target);
    /** A probe of a guarded target arrives. */
    void probe_guarded(const target_id& target);
    /** Goes on with the idle guards of a target whose state has changed. */
    void resume_guards(int target);
    /** The owner learns that a poll has no answer. */
    void fail_poll(const target_id& target, const poll_order& order,
                   mono_time sent_at, millis delay);
    /** Tells whether a process with this id answers. */
    [[nodiscard]] bool answers(const target_id& id) const;
    void list_target(const target_entry& entry);
    /** Ends the process of a target. */
    void reset(fake_target& target);
    void expire_leases(fake_target& target);
    /** Counts starts above the limit of the organisation of a job. */
    void check_limit(const job_id& job);
    void extend_lease(fake_target& target, std::int64_t lease_end_ms) const;
    /** The owner will not hear of these ends again. */
    void acknowledge_ends(fake_target& target, std::int64_t last_seen);
    [[nodiscard]] std::int64_t clock_of(const fake_target& target) const {
        return local_time() + target.clock_offset;
    }
    /** Virtual time at the rate of the targets' clocks. */
    [[nodiscard]] std::int64_t local_time() const {
        return static_cast<std::int64_t>(static_cast<double>(now_) *
                                         options_.target_clock_rate);
    }
    /** Ends the process of a target; another one takes its place. */
    void replace_process(int target, std::int64_t difference);
    void begin_ownership(std::optional<lease_handover> handover);
    int index_of(const target_id& id) const;
    [[nodiscard]] millis actual_duration(const task_id& task);
    /** Run time of a task on a target. */
    [[nodiscard]] millis run_time(const task_id& task, int target);
    void count_start(int target, const start_order& order);
    /** The job with actual durations in place of the estimates. */
    [[nodiscard]] job_spec actual_spec(const job_spec& spec, const job_id& job);
    void flush_store();

    simulation_options options_;
    std::mt19937 random_;
    std::int64_t now_ = 1'000;
    std::int64_t next_event_ = 0;
    std::priority_queue<event> events_;
    std::vector<fake_target> targets_;
    cell_config config_;
    std::map<std::string, request_kind> kinds_;
    std::unique_ptr<owner> owner_;
    std::int64_t epoch_ = 0;
    std::map<std::string, std::string> stored_;
    std::map<job_id, job_record> accepted_;
    std::map<job_id, submitted> jobs_;
    /** Specifications with the actual durations in place of the estimates. */
    std::map<job_id, job_spec> actual_specs_;
    std::map<host_id, std::int64_t> advice_free_at_;
    std::vector<std::vector<store_record>> pending_appends_;
    bool store_down_ = false;
    std::size_t max_record_bytes_ = std::numeric_limits<std::size_t>::max();
    bool config_withheld_ = false;
    bool drop_start_answers_ = false;
    double delayed_start_share_ = 0;
    millis start_delay_{0};
    int starts_to_hold_ = 0;
    struct held_start {
        std::int64_t sent_at = 0;
        target_address address;
        start_order order;
        int sent_in_life = 0;
    };
    std::deque<held_start> held_starts_;
    bool delay_polls_ = false;
    bool ignore_stops_ = false;
    std::map<task_id, double> task_slowdowns_;
    struct deadly_task {
        millis fuse{0};
        crash_options options;
    };
    std::map<task_id, deadly_task> deadly_tasks_;
    std::map<task_id, int> starts_by_task_;
    /** Processes of targets that ended while they ran a task. */
    std::map<task_id, int> crashes_by_task_;
    std::set<job_id> given_up_;
    /** The platform's list of targets. */
    std::map<target_id, target_entry> listed_;
    bool tick_pending_ = false;
    std::int64_t tick_at_ = 0;
    int overlapping_runs_ = 0;
    int overlapping_held_runs_ = 0;
    int overcommitted_starts_ = 0;
    int starts_over_limit_ = 0;
    int starts_after_success_ = 0;
    int starts_after_held_success_ = 0;
    /** Time of the last start of each task. */
    std::map<task_id, std::int64_t> last_starts_;
    /** Tasks with an acknowledged successful end. */
    std::set<task_id> succeeded_;
    std::set<task_id> held_successes_;
    int copies_ = 0;
    int starts_ = 0;
    std::uint64_t starts_hash_ = 0;
    std::map<std::pair<std::string, std::string>, int> starts_by_kind_;
    std::map<int, int> starts_by_target_;
    std::uint64_t start_hash_ = 0;
    int polls_ = 0;
    int guard_requests_ = 0;
    std::map<target_id, target_guard> guards_;
    std::int64_t last_start_sent_ = 0;
    int starts_with_old_ticket_ = 0;
    int starts_in_reached_process_ = 0;
    int removed_jobs_ = 0;
    std::set<job_id> stored_ends_;
    int ticks_ = 0;
    int next_job_ = 0;
};

} // namespace rattan::dispatch::testing
