/** @file The owner of a cell: decides what runs where. */
#pragma once

#include "dispatch/advice_table.hpp"
#include "dispatch/job_table.hpp"
#include "dispatch/route_type.hpp"
#include "dispatch/target_table.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattan::dispatch {

/** A record for the store. */
struct store_record {
    std::string key;
    std::string value; ///< Empty: the key is dropped.
};

/** Carries the owner's orders out; answers come back through its events. */
class owner_output {
public:
    virtual ~owner_output() = default;

    virtual void start(const target_address& target,
                       const start_order& order) = 0;
    virtual void stop(const target_address& target, const task_id& task,
                      std::int32_t run, std::int64_t fencing_token) = 0;
    virtual void throttle(const target_address& target, const task_id& task,
                          std::int32_t run, int percent,
                          std::int64_t fencing_token) = 0;
    virtual void poll(const target_address& target,
                      const poll_order& order) = 0;
    virtual void ask_advice(const host_id& host, const step_ref& step,
                            const std::vector<std::string>& targets,
                            millis timeout) = 0;
    /** Stores records in order, all or none; `owner::stored` follows. */
    virtual void store(const std::vector<store_record>& records) = 0;
    /**
     * Drops what is kept of jobs: first the jobs, and only when these are
     * gone their progress, or a later owner would take them for new.
     */
    virtual void remove_jobs(const std::vector<job_id>& jobs) = 0;
    /** Writes a line that explains a decision. */
    virtual void log(std::string_view event, const job_id& job,
                     const std::string& detail) = 0;
};

/** Settings of the owner's decisions. */
struct owner_settings {
    std::int64_t epoch = 0; ///< The fence of its orders.
    /** What a target runs ends this long after the last look. */
    millis lease{3500};
    /** Orders may be sent so long after the store last confirmed us. */
    millis max_unconfirmed{3000};
    millis stop_duration{200};       ///< A stopped task is gone after this.
    millis state_retention{120'000}; ///< Ended jobs are shown this long.
    millis tail_violation_limit{
        4000}; ///< A tail may be over its target this long.
};

/** What the owner knows of time; given with each event. */
struct owner_clock {
    mono_time now{};
    std::int64_t wall_ms = 0; ///< Unix time.
};

/** Decides; has no sockets, clocks or threads. */
class owner {
public:
    owner(const owner_settings& settings, owner_output& output);

    /** @name Facts from outside. */
    ///@{
    void set_config(const cell_config& config) { config_ = config; }
    void set_evacuated(std::set<data_centre_id> centres);
    void set_hosts(const std::vector<host_id>& hosts);
    /** A target's entry in the list, new or changed. */
    void target_listed(const target_entry& entry, const owner_clock& clock);
    void target_delisted(const target_id& target);
    /** A job as accepted, new or again. */
    void job_accepted(job_record record, const owner_clock& clock);
    void job_cancelled(const job_id& job, const owner_clock& clock);
    /** A job that an earlier owner left. */
    void restore_job(job_entry job, const owner_clock& clock);
    /** The store has confirmed at `at` that nobody else has claimed. */
    void ownership_confirmed(mono_time at);
    /** The last `tick` took so long: rounds are made seldom enough. */
    void tick_took(millis duration) { round_cost_ = duration; }
    /** This process stood still: another may have claimed meanwhile. */
    void process_suspended() { confirmed_at_ = {}; }
    ///@}

    /** @name Answers to its orders. */
    ///@{
    void start_answered(const target_id& target, const task_id& task,
                        std::int32_t run, const order_answer& answer,
                        const owner_clock& clock);
    void stop_answered(const target_id& target, const task_id& task,
                       std::int32_t run, const order_answer& answer,
                       const owner_clock& clock);
    void poll_answered(const target_id& target, const poll_answer& answer,
                       mono_time sent_at, const owner_clock& clock);
    void advice_answered(const host_id& host, const step_ref& step, bool slow,
                         const advice_answer& answer, const owner_clock& clock);
    /** The records of the last `store` are in the store. */
    void records_stored(const owner_clock& clock);
    ///@}

    /** Begins the takeover: the jobs and targets so far are an old owner's. */
    void take_over(const owner_clock& clock);

    /** Does what is due. */
    void tick(const owner_clock& clock);

    /** When `tick` has something to do without a new event. */
    [[nodiscard]] mono_time next_due(const owner_clock& clock) const;

    /** A target has refused an order for a higher fence. */
    [[nodiscard]] bool superseded() const { return superseded_; }

    /** @name Questions. */
    ///@{
    [[nodiscard]] job_state state_of(const job_id& job,
                                     const organisation_id& asking) const;
    [[nodiscard]] std::int64_t waiting_in(const queue_id& queue) const;
    [[nodiscard]] const job_table& jobs() const { return jobs_; }
    [[nodiscard]] const target_table& targets() const { return targets_; }
    [[nodiscard]] std::string dump() const;
    ///@}

private:
    /** A step that has tasks to start, and its place in the order. */
    struct runnable_step {
        step_ref ref;
        int priority = 0;
        bool beyond_share = false; ///< Its organisation sent too many.
        int lateness = 0; ///< 0 in time, 1 late, 2 worth nothing any more.
        std::int64_t due_ms = 0; ///< Unix time of the job's objective.
        const step_spec* spec = nullptr;
        const queue_config* queue = nullptr;
    };

    // owner_base.cpp
    [[nodiscard]] bool may_order(mono_time now) const;
    [[nodiscard]] target_address address_of(const target_state& t) const;
    void open_due_repeats(const owner_clock& clock);
    void forget_old(const owner_clock& clock);
    void flush(const owner_clock& clock);
    [[nodiscard]] int max_attempts(const job_entry& job) const;
    [[nodiscard]] bool takes_share(const job_record& record);

    // owner_start.cpp
    void schedule(const owner_clock& clock);
    void collect_usable(mono_time now);
    [[nodiscard]] std::vector<runnable_step>
    runnable(const owner_clock& clock) const;
    void place_step(const runnable_step& step, const owner_clock& clock);
    void place_gang(const runnable_step& step,
                    const std::vector<target_state*>& usable,
                    const owner_clock& clock);
    void place_on(const runnable_step& step, std::int32_t index,
                  std::int32_t run, target_state& target,
                  const owner_clock& clock);
    [[nodiscard]] std::vector<target_state*>
    targets_for(const runnable_step& step, const owner_clock& clock);
    [[nodiscard]] bool matches_constraints(const runnable_step& step,
                                           const target_state& target) const;
    [[nodiscard]] std::int32_t slots(const runnable_step& step,
                                     const target_state& target) const;
    [[nodiscard]] resources quota_left(const runnable_step& step) const;
    void ask(const runnable_step& step, const owner_clock& clock);
    void send_starts(const owner_clock& clock);
    void send_start(target_state& target, const task_id& task, run_entry& run,
                    const owner_clock& clock);

    // owner_poll.cpp
    void send_looks(const owner_clock& clock);
    /** Looks at once, without waiting, also beside a look under way. */
    void look_besides(target_state& target, const owner_clock& clock);
    /** Takes a run's gain since the last list as a sample of its target. */
    void note_progress(target_state& target, run_entry& run,
                       const listed_run& listed);
    /** Leaves a target that works too slowly, and moves its tasks. */
    void judge_pace(target_state& target, const owner_clock& clock);
    /** Stops chosen runs, each task once, so that they begin elsewhere. */
    void move_runs(
        target_state& target, const owner_clock& clock,
        const std::function<bool(const step_entry&, const run_entry&)>& chosen);
    /** Moves runs that are far behind ended ones of their step. */
    void move_stragglers(target_state& target, const owner_clock& clock);
    [[nodiscard]] bool too_many_sluggish() const;
    void look_now(target_state& target, const owner_clock& clock);
    void take_end(target_state& target, const listed_end& end,
                  const owner_clock& clock);
    void take_running(target_state& target, const poll_answer& answer,
                      mono_time sent_at, const owner_clock& clock);
    void adopt(target_state& target, const listed_run& run,
               const owner_clock& clock);
    void new_life(target_state& target, std::int64_t incarnation,
                  const owner_clock& clock);
    void expire(target_state& target, const owner_clock& clock);
    void pace_fillers(target_state& target);

    // owner_stop.cpp
    void stop_run(target_state& target, const task_id& task,
                  const owner_clock& clock);
    /** A run has to be told, or told again, to stop. */
    void order_stop(target_state& target, const task_id& task, run_entry& run);
    void send_stops(const owner_clock& clock);
    void stop_job(const job_entry& job, const owner_clock& clock);
    void stop_gang(const step_ref& step, const owner_clock& clock);
    void drop_run(target_state& target, const task_id& task);
    void run_ended(target_state& target, const run_entry& run,
                   const listed_end& end, const owner_clock& clock);
    void judge_target(target_state& target, const listed_end& end,
                      const owner_clock& clock);

    owner_settings settings_;
    owner_output& output_;
    cell_config config_;
    std::set<data_centre_id> evacuated_;
    job_table jobs_;
    target_table targets_;
    advice_table advice_;
    std::set<job_id> live_; ///< Jobs that have not ended.
    /** Jobs that an organisation may still send within its weight. */
    struct share {
        double jobs = 0;
        std::int64_t at_ms = 0; ///< Unix time of the last job.
    };
    std::map<organisation_id, share> shares_;
    millis round_cost_{0}; ///< Of the last `tick`.
    /** Cancelled before their job came, and when: ways overtake each other. */
    std::map<job_id, std::int64_t> early_cancels_;
    bool storing_ = false;
    bool superseded_ = false;
    bool schedule_due_ = false;
    mono_time next_schedule_{};
    /** Targets that may get work, and the largest room, of this round. */
    std::vector<target_state*> usable_;
    resources largest_room_;
    /** Runs that have to be told to stop. */
    std::set<std::pair<target_id, task_id>> to_stop_;
    mono_time confirmed_at_{};
    mono_time suspects_until_{}; ///< Leases of earlier owners end by then.
    mono_time next_sweep_{};
    std::vector<std::pair<target_id, task_id>> recording_; ///< In `store`.
    std::vector<std::pair<target_id, task_id>> chosen_;    ///< For the next.
    std::map<target_id, std::int64_t> storing_ends_;
};

/** Keys of the store's topics. */
std::string job_key(const job_id& job);
std::string cancel_key(const job_id& job);
std::string progress_key(const job_id& job);

} // namespace rattan::dispatch
