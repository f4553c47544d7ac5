/** @file Decisions of a data centre's placer, without sockets and clocks. */
#pragma once

#include "base/record_outbox.hpp"
#include "fold/fold_cmd.hpp"
#include "placer/packing_func.hpp"
#include "placer/placer_type.hpp"
#include "quota/quota_holder.hpp"
#include "rattan/cell_type.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>

namespace rattan {

/** Input of a tick besides the folded state. */
struct tick_input {
    mono_time now{};
    bool log_reachable = true;
    /**
     * The state is fresh, or this process is cut off from the log and no peer
     * has a newer state.
     */
    bool may_decide = true;
};

/**
 * Places the jobs of one data centre on its workers. The placers of a data
 * centre elect an owner through claims in the log; only the owner decides.
 * Events are passed in with the current time; `tick` returns the orders to
 * workers and the records for the log.
 */
class placer_base {
public:
    placer_base(placer_options options, const packing_policy& policy);

    /** Handles a record that was folded. @pre Called in log order. */
    void on_entry(const cell_state& state, const log_entry& entry,
                  fold_verdict verdict, mono_time now);

    /** Handles the replacement of the whole state by a snapshot. */
    void on_restore(const cell_state& state, mono_time now);

    /** Takes the platform's current list of targets. */
    void on_hosts(const host_list& hosts);

    /** Handles a worker's answer to the order of that owner and sequence. */
    void on_answer(const worker_id& id, epoch owner, std::int64_t sequence,
                   const worker_answer& answer, mono_time now);

    /** Handles a missing or broken answer: the order may have been obeyed. */
    void on_no_answer(const worker_id& id, epoch owner, std::int64_t sequence);

    /** Handles the owner's reply to a ping. */
    void on_owner_alive(epoch owner, mono_time now);

    /**
     * Handles a ping of another entry host of this data centre.
     * @param no_live_lease Every lease that the peer renewed has ended.
     */
    void on_peer_ping(const host_id& peer, bool no_live_lease, mono_time now);

    /** Makes all decisions that are due. */
    placer_output tick(const cell_state& state, const tick_input& input);

    /** The claim under which this placer is the owner, or 0. */
    [[nodiscard]] epoch owner() const { return owner_; }

    /**
     * Whether every lease that this entry host has renewed has ended, those
     * of its earlier processes included.
     */
    [[nodiscard]] bool has_no_live_lease(mono_time now) const;

    /** The whole state, for operators. */
    [[nodiscard]] nlohmann::json dump(mono_time now) const;

    /** One job: its tasks' workers and phases, and why it waits. */
    [[nodiscard]] nlohmann::json dump_job(const job_id& job) const;

    [[nodiscard]] const std::map<worker_id, worker_view>& workers() const {
        return workers_;
    }
    [[nodiscard]] const std::map<job_id, job_view>& jobs() const {
        return jobs_;
    }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& counters() const {
        return counters_;
    }

private:
    /** Sort key of a job in its organisation's queue. */
    struct queue_entry {
        bool not_urgent = false; ///< Urgent jobs sort first.
        std::int64_t accepted_at = 0;
        job_id job;

        auto operator<=>(const queue_entry&) const = default;
    };

    // placer_takeover.cpp: ownership, takeover and standby.
    void update_ownership(const cell_state& state, mono_time now);
    void begin_ownership(const cell_state& state, mono_time now);
    void end_ownership();
    void claim_if_owner_silent(const cell_state& state, mono_time now);
    /** Keeps tasks alive while neither the owner nor the log is reachable. */
    void renew_as_standby(const cell_state& state, mono_time now);
    /** Takes over what a worker lists in its first answer to this owner. */
    void adopt_listing(worker_view& worker);
    /** Ends or queues jobs that were not found running after a takeover. */
    void resolve_uncertain_jobs(mono_time now);
    [[nodiscard]] std::int32_t running_tasks(const job_id& id,
                                             const job_view& job) const;
    /** Whether tasks of an earlier owner may run that are not known yet. */
    [[nodiscard]] bool takeover_pending() const;
    /** Index of this entry host among those of its data centre. */
    [[nodiscard]] std::int64_t host_rank(const cell_state& state) const;

    // placer_lease.cpp: the list of workers and the expiry of leases.
    void apply_host_list(const cell_state& state, mono_time now);
    /** Gives up the tasks of workers whose leases have ended. */
    void expire_leases(const cell_state& state, mono_time now);
    /**
     * Handles a worker that has not answered this owner.
     * @return Whether the worker can be retired.
     */
    bool resolve_unheard_worker(const cell_state& state, worker_view& worker,
                                mono_time now);
    /**
     * Whether every peer has reported after `since` that it has no live lease,
     * or standby renewals have ended by their limit.
     */
    [[nodiscard]] bool peer_leases_expired_since(const cell_state& state,
                                                 mono_time since,
                                                 mono_time now) const;
    /** Longest duration of a lease by this host's clock. */
    [[nodiscard]] millis lease_bound() const;

    // placer_order.cpp: orders and answers.
    void on_worker_restart(worker_view& worker, mono_time now);
    /** Compares the tasks placed on a worker with those that it lists. */
    void reconcile(worker_view& worker, mono_time now);
    void handle_events(worker_view& worker,
                       const std::vector<task_event>& events, mono_time now);
    [[nodiscard]] millis poll_period(const worker_view& worker,
                                     mono_time now) const;
    void build_orders(mono_time now);
    void send_order(worker_view& worker, mono_time now);
    [[nodiscard]] bool is_sendable(const placed_task& placed) const;
    void fill_order(worker_view& worker, worker_order& order);
    void put_task(worker_view& worker, const task_ref& task,
                  const placed_task& placed);
    void remove_task(worker_view& worker, const task_ref& task);
    /** Drops the events of a job whose end or move is in the log. */
    void forget_events(const job_id& job);

    // placer_job.cpp: the life cycle of a job.
    void add_job(const job_id& id, const live_job& job, mono_time now);
    void erase_job(const job_id& id);
    void cancel_job(const job_id& id, mono_time now);
    void on_task_ended(const worker_id& worker, const task_ref& task,
                       task_outcome outcome, mono_time now);
    void on_task_failed(job_view& job, mono_time now);
    void on_task_lost(job_view& job, mono_time now);
    void set_goal(job_view& job, job_goal goal, job_outcome outcome,
                  const std::string& reason);
    void stop_tasks(const job_id& id, job_view& job);
    void stop_task(const job_id& id, job_view& job, std::int32_t index);
    /** Takes the next step of every job that has changed. */
    void update_jobs(const cell_state& state, mono_time now);
    void update_job(const cell_state& state, const job_id& id, job_view& job,
                    mono_time now);
    void start_if_prepared(const cell_state& state, const job_id& id,
                           job_view& job, mono_time now);
    void start_tasks(const job_id& id, job_view& job);
    void enqueue(const job_id& id, const job_view& job);
    void dequeue(const job_id& id, const job_view& job);

    // placer_schedule.cpp: placement, preemption and draining.
    void schedule(const cell_state& state, mono_time now);
    bool try_place(const cell_state& state, const job_id& id, job_view& job,
                   mono_time now);
    bool place_tasks(const job_id& id, job_view& job,
                     const std::vector<std::int32_t>& indices, mono_time now);
    bool check_quota(const cell_state& state, job_view& job,
                     std::int64_t tasks);
    /** Stops jobs that exceed a lowered limit. */
    void preempt_over_quota(const cell_state& state);
    void drain_data_centre(const cell_state& state);
    void drain_leaving_workers();
    void move_job(const cell_state& state, const job_id& id, job_view& job,
                  mono_time now);
    [[nodiscard]] resources total_owned() const;

    placer_options options_;
    const packing_policy& policy_;
    epoch owner_;
    mono_time owned_since_{};
    mono_time owner_last_heard_{};
    epoch current_claim_;
    host_list hosts_;
    bool hosts_known_ = false;
    std::map<worker_id, worker_view> workers_;
    std::map<job_id, job_view> jobs_;
    std::map<organisation_name, std::set<queue_entry>> queues_;
    std::set<job_id> dirty_jobs_; ///< To be updated in this tick.
    std::map<organisation_name, resources> usage_;
    quota_holder quota_;
    record_outbox outbox_;
    std::vector<outgoing_order> orders_;
    bool may_start_ = false; ///< Whether this tick may start tasks.
    /** Workers whose leases this placer renews while it is a standby. */
    std::map<worker_id, worker_view> standby_workers_;
    mono_time last_renewal_{};          ///< As owner or as standby.
    mono_time first_tick_{};            ///< Of this process.
    mono_time standby_renewal_until_{}; ///< End of renewals as a standby.
    struct peer_report {
        mono_time at{};
    };
    /** Last reports of peers that they have no live lease. */
    std::map<host_id, peer_report> peers_without_leases_;
    std::map<std::string, std::uint64_t> counters_;
};

} // namespace rattan
