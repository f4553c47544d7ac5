/**
 * @file Simulation of a cell in virtual time with targets, advice service and
 * store, without a network.
 */
#pragma once

#include "dispatch/owner_base.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace rattan::dispatch::testing {

/** Size and latencies of a simulated cell. */
struct simulation_options {
    std::uint32_t seed = 1;
    int targets = 48;
    /** Milli-cores, before the size factor of the target. */
    std::int64_t target_cores = 32'000;
    int hosts = 6;            ///< Hosts that call the advice service.
    millis append_latency{8}; ///< Round trip of an append.
    millis order_latency{3};  ///< Round trip of an order.
    /** Rate of the targets' clocks. */
    double target_clock_rate = 1;
    /** Standard deviation of the logarithm of actual duration over estimate. */
    double estimate_error = 0;
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
};

/** Outcome of a set of jobs. */
struct job_outcome {
    int jobs = 0;
    int in_time = 0; ///< Completed within their objective.
    int ended = 0;
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
    void add_organisation(const std::string& name, double weight);
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
    void restart_target(int target);
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
    /** Multiplies the duration of a task on any target. */
    void slow_down_task(const task_id& task, double factor) {
        task_slowdowns_[task] = factor;
    }
    void drop_start_answers(bool drop) { drop_start_answers_ = drop; }
    /** This share of the start orders has no answer and arrives 3 s later. */
    void delay_starts(double share) { delayed_start_share_ = share; }
    /** Stop orders have no answer and no effect. */
    void ignore_stops(bool ignore) { ignore_stops_ = ignore; }
    /** A new owner takes over with the records in the store. */
    void restart_owner();
    /** The owner resigns and another one takes over. */
    void hand_over();
    void set_store_down(bool down);
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
    [[nodiscard]] int overlapping_runs() const { return overlapping_runs_; }
    [[nodiscard]] int overcommitted_starts() const {
        return overcommitted_starts_;
    }
    [[nodiscard]] int starts() const { return starts_; }
    [[nodiscard]] int ticks() const { return ticks_; }
    [[nodiscard]] std::size_t runs_of(const job_id& job) const;
    [[nodiscard]] std::size_t runs_on(int target) const {
        return targets_[static_cast<size_t>(target)].runs.size();
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
    void throttle(const target_address&, const task_id&, std::int32_t, int,
                  std::int64_t) override {}
    void poll(const target_address& target, const poll_order& order) override;
    void ask_advice(const host_id& host, const step_ref& step,
                    const std::vector<std::string>& targets,
                    millis timeout) override;
    void store(const std::vector<store_record>& records) override;
    void remove_jobs(const std::vector<job_id>&) override {}
    void log(std::string_view, const job_id&, const std::string&) override {}

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
        std::int64_t last_end = 0;
        std::int64_t lease_end_ms = 0;
        std::int64_t fencing_token = 0;
        /** Highest run number that may no longer start. */
        std::map<task_id, std::int32_t> stopped_runs;
        bool silent = false;
        bool listed = true;
        bool failing = false;
        double slowdown = 1;
        std::function<void()> pending_poll;
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
    /**
     * Delivers a start order to its target.
     * @param answer_arrives False: the answer to the owner is lost.
     */
    void deliver_start(const target_address& address, const start_order& order,
                       bool answer_arrives);
    void schedule_tick();
    void end_run(fake_target& target, task_id task, run_end how);
    void send_poll_answer(int target, const poll_order& order,
                          mono_time sent_at);
    void expire_leases(fake_target& target);
    [[nodiscard]] std::int64_t target_clock_ms(int target) const;
    void begin_ownership(std::optional<lease_handover> handover);
    /** Tells the owner, when the poll's timeout has passed, of no answer. */
    void time_out_poll(int target, const poll_order& order, mono_time sent_at);
    int index_of(const target_id& id) const;
    [[nodiscard]] millis actual_duration(const task_id& task);
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
    bool drop_start_answers_ = false;
    double delayed_start_share_ = 0;
    bool ignore_stops_ = false;
    std::map<task_id, double> task_slowdowns_;
    bool tick_pending_ = false;
    std::int64_t tick_at_ = 0;
    int overlapping_runs_ = 0;
    int overcommitted_starts_ = 0;
    int starts_ = 0;
    int ticks_ = 0;
    int next_job_ = 0;
};

} // namespace rattan::dispatch::testing
