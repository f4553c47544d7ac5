/** @file The placer of a data centre: decisions without sockets or clocks. */
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

/** What a tick needs to know of the world besides the folded state. */
struct placer_surroundings {
    mono_time now{};
    bool log_reachable = true;
    /** The state is fresh, or provably as fresh as can be had. */
    bool may_decide = true;
};

/**
 * Owns the workers of one data centre and the jobs that are to run there.
 * Events come in with the time; orders to workers and records for the log
 * come out of `tick`.
 */
class placer_base {
public:
    placer_base(placer_options options, const packing_policy& policy);

    /** A record was folded. @pre Called in the log's order. */
    void on_entry(const cell_state& state, const log_entry& entry,
                  fold_verdict verdict, mono_time now);

    /** The state was replaced as a whole. */
    void on_restore(const cell_state& state, mono_time now);

    /** The platform's list of targets has come. */
    void on_hosts(const host_list& hosts);

    /** A worker answered the order of that owner and sequence. */
    void on_answer(const worker_id& id, epoch owner, std::int64_t sequence,
                   const worker_answer& answer, mono_time now);

    /** No whole answer came; the order may or may not have been obeyed. */
    void on_no_answer(const worker_id& id, epoch owner, std::int64_t sequence);

    /** The owner of this data centre answered a ping. */
    void on_owner_alive(epoch owner, mono_time now);

    /**
     * Another entry host of this data centre has been heard.
     * @param quiet It has renewed no lease for as long as one can last.
     */
    void on_peer_heard(const host_id& peer, bool quiet, mono_time now);

    /** Decides on everything that is due. */
    placer_output tick(const cell_state& state,
                       const placer_surroundings& around);

    /** The claim under which this placer decides, or 0. */
    [[nodiscard]] epoch owner() const { return owner_; }

    /**
     * Tells whether no lease can be alive that this entry host has renewed,
     * with an earlier process of it counted in.
     */
    [[nodiscard]] bool is_quiet(mono_time now) const;

    /** Everything known, for operators. */
    [[nodiscard]] nlohmann::json dump(mono_time now) const;

    /** One job: phase, place and the reason for its wait. */
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
    /** Orders the queue of a team. */
    struct queue_place {
        bool later = false; ///< Not urgent.
        std::int64_t accepted_at = 0;
        job_id job;

        auto operator<=>(const queue_place&) const = default;
    };

    // placer_takeover.cpp: who owns the data centre.
    void follow_ownership(const cell_state& state, mono_time now);
    void begin_ownership(const cell_state& state, mono_time now);
    void end_ownership();
    void consider_claim(const cell_state& state, mono_time now);
    void take_care(const cell_state& state, mono_time now);
    void adopt_listing(worker_view& worker);
    void resolve_doubts(mono_time now);
    [[nodiscard]] std::int32_t running_tasks(const job_id& id,
                                             const job_view& job) const;
    [[nodiscard]] bool takeover_pending() const;
    [[nodiscard]] std::int64_t host_rank(const cell_state& state) const;

    // placer_lease.cpp: which workers there are, when their leases ended.
    void follow_hosts(const cell_state& state, mono_time now);
    void drop_lapsed(const cell_state& state, mono_time now);
    bool drop_unheard(const cell_state& state, worker_view& worker,
                      mono_time now);
    [[nodiscard]] bool peers_quiet_since(const cell_state& state,
                                         mono_time since, mono_time now) const;
    [[nodiscard]] millis lease_bound() const;

    // placer_order.cpp: orders and answers.
    void forget_process(worker_view& worker, mono_time now);
    void reconcile(worker_view& worker, mono_time now);
    void take_events(worker_view& worker, const std::vector<task_event>& events,
                     mono_time now);
    [[nodiscard]] millis poll_period(const worker_view& worker,
                                     mono_time now) const;
    void build_orders(mono_time now);
    void send_order(worker_view& worker, mono_time now);
    [[nodiscard]] bool is_sendable(const placed_task& placed) const;
    void fill_order(worker_view& worker, worker_order& order);
    void put_task(worker_view& worker, const task_ref& task,
                  const placed_task& placed);
    void remove_task(worker_view& worker, const task_ref& task);
    void forget_events(const job_id& job);

    // placer_job.cpp: the life of a job.
    void add_job(const job_id& id, const live_job& job, mono_time now);
    void erase_job(const job_id& id);
    void cancel_job(const job_id& id, mono_time now);
    void task_gone(const worker_id& worker, const task_ref& task,
                   task_outcome outcome, mono_time now);
    void task_failed(job_view& job, mono_time now);
    void task_vanished(job_view& job, mono_time now);
    void pursue(job_view& job, job_goal goal, job_outcome outcome,
                const std::string& reason);
    void stop_tasks(const job_id& id, job_view& job);
    void stop_task(const job_id& id, job_view& job, std::int32_t index);
    void settle_jobs(const cell_state& state, mono_time now);
    void settle_job(const cell_state& state, const job_id& id, job_view& job,
                    mono_time now);
    void advance_job(const cell_state& state, const job_id& id, job_view& job,
                     mono_time now);
    void start_tasks(const job_id& id, job_view& job);
    void enqueue(const job_id& id, const job_view& job);
    void dequeue(const job_id& id, const job_view& job);

    // placer_schedule.cpp: what runs where, and what makes room.
    void schedule(const cell_state& state, mono_time now);
    bool try_place(const cell_state& state, const job_id& id, job_view& job,
                   mono_time now);
    bool place_tasks(const job_id& id, job_view& job,
                     const std::vector<std::int32_t>& indices, mono_time now);
    bool check_quota(const cell_state& state, job_view& job,
                     std::int64_t tasks);
    void shed_overspent(const cell_state& state);
    void drain_centre(const cell_state& state);
    void drain_leaving();
    void leave_centre(const cell_state& state, const job_id& id, job_view& job,
                      mono_time now);
    [[nodiscard]] resources total_owned() const;

    placer_options options_;
    const packing_policy& policy_;
    epoch owner_;
    mono_time owned_since_{};
    mono_time owner_alive_{};
    epoch owner_seen_;
    host_list hosts_;
    bool hosts_known_ = false;
    std::map<worker_id, worker_view> workers_;
    std::map<job_id, job_view> jobs_;
    std::map<organisation_name, std::set<queue_place>> queues_;
    std::set<job_id> unsettled_; ///< To be looked at in this tick.
    std::map<organisation_name, resources> usage_;
    quota_holder quota_;
    record_outbox outbox_;
    std::vector<outgoing_order> orders_;
    bool may_start_ = false;                 ///< In this tick.
    std::map<worker_id, worker_view> cared_; ///< Renewed as a standby.
    mono_time last_renewal_{};               ///< As an owner or as a standby.
    mono_time born_{};                       ///< First tick of this process.
    mono_time care_until_{}; ///< No care for others beyond this.
    struct heard_peer {
        mono_time at{};
    };
    std::map<host_id, heard_peer> quiet_peers_;
    std::map<std::string, std::uint64_t> counters_;
};

} // namespace rattan
