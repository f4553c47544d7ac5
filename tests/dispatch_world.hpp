/** @file A cell in virtual time: targets, advice service and store, no net. */
#pragma once

#include "dispatch/owner_base.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace rattan::dispatch::testing {

/** What a world is made of. */
struct world_options {
    std::uint32_t seed = 1;
    int targets = 48;
    std::int64_t target_cores = 32'000; ///< Milli-cores, before its size.
    int hosts = 6;                      ///< Entry hosts that ask for advice.
    millis store_time{8};               ///< An append, there and back.
    millis order_time{3};               ///< An order, there and back.
    double estimate_spread = 0; ///< Of real times about their estimates.
};

/** A kind of request, as the users' sheets describe it. */
struct request_kind {
    std::string queue;
    double per_second = 1;
    double steps = 1.6;   ///< Mean.
    double width = 6;     ///< Mean tasks a step.
    double task_ms = 800; ///< Mean.
    double milli_cores = 2300;
    int priority = 0;
    double stretch = 1.5;
    millis objective{250};
    advice_config advice;
    double good_share = 0.7; ///< Of targets that may run a step.
};

/** What became of the jobs of a kind. */
struct kind_result {
    int jobs = 0;
    int in_time = 0; ///< Ended within their objective.
    int ended = 0;
};

/** Plays an owner against targets whose every run is checked. */
class world : public owner_output {
public:
    explicit world(const world_options& options);

    /** The owner under test; made anew by `restart_owner`. */
    [[nodiscard]] owner& decisions() { return *owner_; }
    [[nodiscard]] owner_clock clock() const;

    void add_queue(const request_kind& kind);
    void add_organisation(const std::string& name, double weight);
    /** Jobs of a kind come from `from` to `to`, for one organisation. */
    void submit_from(const request_kind& kind, const std::string& organisation,
                     millis from, millis to, double factor = 1);
    /** Submits one job now. */
    job_id submit(const std::string& queue, const std::string& organisation,
                  job_spec spec);

    /** Calls at a time. */
    void at(millis when, std::function<void()> call);
    /** Plays until a time. */
    void run_until(millis when);

    /** @name Faults. */
    ///@{
    void silence(int target, bool silent);
    void restart_target(int target);
    void set_failing(int target, bool failing);
    void set_slow(int target, double factor);
    /** One task takes so many times as long, wherever it runs. */
    void slow_task(const task_id& task, double factor) {
        slow_tasks_[task] = factor;
    }
    void lose_start_answers(bool lose) { lose_answers_ = lose; }
    /** This share of the starts has no answer and arrives 3 s later. */
    void delay_starts(double share) { late_share_ = share; }
    /** Orders to stop have no answer and no effect. */
    void ignore_stops(bool ignore) { ignore_stops_ = ignore; }
    /** Another owner takes over from what the store holds. */
    void restart_owner();
    void set_store_down(bool down);
    /** Nothing of a job is kept any more; what runs of it runs on. */
    void lose_job(const job_id& job) {
        accepted_.erase(job);
        stored_.erase(progress_key(job));
    }
    ///@}

    [[nodiscard]] kind_result result(const std::string& queue) const;
    /** Jobs of one organisation that ended in time, and all of them. */
    [[nodiscard]] kind_result result_of(const std::string& organisation) const;
    [[nodiscard]] int overlapping_runs() const { return overlaps_; }
    [[nodiscard]] int overcommitted_starts() const { return overcommitted_; }
    [[nodiscard]] int starts() const { return starts_; }
    [[nodiscard]] int ticks() const { return ticks_; }
    [[nodiscard]] std::size_t running(const job_id& job) const;
    [[nodiscard]] std::size_t running_on(int target) const {
        return targets_[static_cast<size_t>(target)].runs.size();
    }
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
        std::int64_t begun_at = 0;
        std::int64_t ends_at = 0;
        resources demand;
    };
    struct fake_target {
        target_entry entry;
        std::map<task_id, fake_run> runs;
        std::vector<listed_end> ended;
        std::int64_t last_end = 0;
        std::int64_t until = 0;
        std::int64_t fencing_token = 0;
        std::map<task_id, std::int32_t> closed; ///< Highest run not to start.
        bool silent = false;
        bool failing = false;
        double slow = 1;
        std::function<void()> waiting_look;
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

    [[nodiscard]] kind_result
    count(const std::function<bool(const submitted&)>& counts) const;
    void after(millis delay, std::function<void()> call);
    void deliver(std::function<void()> call);
    /** A start reaches its target. @param told Its answer reaches the owner. */
    void arrive(const target_address& address, const start_order& order,
                bool told);
    void tick_soon();
    void end_run(fake_target& target, task_id task, run_end how);
    void send_look_answer(int target, const poll_order& order,
                          mono_time sent_at);
    void expire_leases(fake_target& target);
    int index_of(const target_id& id) const;
    [[nodiscard]] millis real_time(const task_id& task);
    /** The job's steps as long as they really take. */
    [[nodiscard]] job_spec real_spec(const job_spec& spec, const job_id& job);
    void flush_store();

    world_options options_;
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
    std::map<job_id, job_spec> real_; ///< With real times as estimates.
    std::map<host_id, std::int64_t> advice_free_at_;
    std::vector<std::vector<store_record>> waiting_store_;
    bool store_down_ = false;
    bool lose_answers_ = false;
    double late_share_ = 0;
    bool ignore_stops_ = false;
    std::map<task_id, double> slow_tasks_;
    bool tick_pending_ = false;
    std::int64_t tick_at_ = 0;
    int overlaps_ = 0;
    int overcommitted_ = 0;
    int starts_ = 0;
    int ticks_ = 0;
    int next_job_ = 0;
};

} // namespace rattan::dispatch::testing
