/** @file The owner of a cell, which decides what runs where. */
#pragma once

#include "dispatch/advice_table.hpp"
#include "dispatch/crash_suspects.hpp"
#include "dispatch/estimate_correction.hpp"
#include "dispatch/fencing_tokens.hpp"
#include "dispatch/job_table.hpp"
#include "dispatch/lease_type.hpp"
#include "dispatch/rate_window.hpp"
#include "dispatch/route_type.hpp"
#include "dispatch/scheduling_policy.hpp"
#include "dispatch/speed_table.hpp"
#include "dispatch/state_reservations.hpp"
#include "dispatch/target_table.hpp"
#include "dispatch/wait_estimate.hpp"
#include "dispatch/work_order.hpp"

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattan::dispatch {

/** A record to write to the store. */
struct store_record {
    std::string key;
    std::string value; ///< Empty: the key is deleted.
};

/**
 * Carries out the actions of an `owner`. Results are passed back through the
 * event functions of `owner`.
 */
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
    /**
     * For a time, shows each new process of a target a fencing token as soon
     * as it can be reached, from several hosts. `owner::process_reached` is
     * called each time that one has been reached.
     */
    virtual void guard_restart(const target_address& target,
                               std::int64_t fencing_token, millis duration) = 0;
    virtual void ask_advice(const host_id& host, const step_ref& step,
                            const std::vector<std::string>& targets,
                            millis timeout) = 0;
    /**
     * Stores the records in order, each one whole; `owner::records_stored` is
     * called afterwards, and before it `owner::records_refused` if the store
     * does not accept some of them.
     */
    virtual void store(const std::vector<store_record>& records) = 0;
    /**
     * Deletes the stored records of jobs. Progress is deleted only after the
     * job records are gone; otherwise a later owner would take the jobs for new
     * ones.
     */
    virtual void remove_jobs(const std::vector<job_id>& jobs) = 0;
    /** The end of a job is stored: `state_of` returns it from now on. */
    virtual void end_stored(const job_id& job) = 0;
    /** A task has waited so long for a start without an answer. */
    virtual void start_wait_ended(millis /*waited*/) {}
    /** Logs a decision. */
    virtual void log(std::string_view event, const job_id& job,
                     const std::string& detail) = 0;
};

/** Settings of an `owner`. */
struct owner_settings {
    std::int64_t epoch = 0; ///< Also the last fencing token of its orders.
    /** Lease that each poll renews; a target ends its runs when it expires. */
    millis lease{3500};
    /** Targets shorten longer leases to this. */
    millis max_lease{6000};
    /**
     * No orders are sent if the store last confirmed the ownership longer ago
     * than this.
     */
    millis max_unconfirmed{3000};
    /** A stopped run has ended after this time. */
    millis stop_duration{200};
    /** Time for which the state of ended jobs can be queried. */
    millis state_retention{120'000};
    /** Time for which a tail latency may exceed its target. */
    millis tail_violation_limit{4000};
    /** The window over which a submission rate counts, and its tolerance. */
    millis rate_window{1000};
    double rate_overage = 0;
    double rate_slack_jobs = 0;
    /** How much longer a task takes away from its data or its peers. */
    double remote_factor = 1;
    millis checkpoint_interval{0}; ///< Work between two checkpoints.
    millis restore_time{0};        ///< To resume from a checkpoint.
    scheduling_policy scheduling;
    /** The order with `order_by_delay_cost`; tests compare it with others. */
    work_key (*work_order)(const work_input&) = delay_cost_key;
};

/** Current time, passed to the owner with each event. */
struct owner_clock {
    mono_time now{};
    std::int64_t wall_ms = 0; ///< Unix time.
};

/** Decides what runs where. Has no sockets, clocks or threads of its own. */
class owner {
public:
    owner(const owner_settings& settings, owner_output& output);

    /** @name External events. */
    ///@{
    void set_config(const cell_config& config);
    void set_evacuated(std::set<data_centre_id> centres);
    void set_hosts(const std::vector<host_id>& hosts);
    /** A target's entry in the platform's list is new or has changed. */
    void target_listed(const target_entry& entry, const owner_clock& clock);
    /** The entry of a target is malformed: the target receives no new work. */
    void target_unreadable(const target_id& target);
    void target_delisted(const target_id& target);
    /** A job was accepted; repeated calls have no effect. */
    void job_accepted(job_record record, const owner_clock& clock);
    /**
     * An organisation asked to cancel a job; this has no effect on the jobs of
     * others.
     */
    void job_cancelled(const job_id& job, const organisation_id& requester,
                       const owner_clock& clock);
    /**
     * A host asks whether it may store a job, which room is kept for then.
     * @return False if the job would exceed the limit on the state of jobs.
     */
    [[nodiscard]] bool reserve_state(const job_id& job,
                                     const organisation_id& organisation,
                                     std::size_t bytes,
                                     const owner_clock& clock);
    /** Sets the limit on the state of jobs. */
    void set_state_limit(state_limit limit);
    /** Loads a job of an earlier owner before `take_over`. */
    void restore_job(job_entry job, const owner_clock& clock);
    /** The store confirmed that this host was still the owner at `at`. */
    void ownership_confirmed(mono_time at);
    /**
     * Reports how long the last `tick` took until `now`. If it contained a
     * placement round, the next one is spaced accordingly.
     */
    void tick_took(millis duration, mono_time now);
    /**
     * The process was suspended, so another host may have claimed ownership.
     * Orders wait until the ownership is confirmed again.
     */
    void process_suspended() { confirmed_at_ = {}; }
    ///@}

    /** @name Results of actions. */
    ///@{
    void start_answered(const target_id& target, const task_id& task,
                        std::int32_t run, const order_answer& answer,
                        const owner_clock& clock);
    void stop_answered(const target_id& target, const task_id& task,
                       std::int32_t run, const order_answer& answer,
                       const owner_clock& clock);
    void throttle_answered(const target_id& target, const task_id& task,
                           std::int32_t run, int percent,
                           const order_answer& answer);
    void poll_answered(const target_id& target, const poll_answer& answer,
                       mono_time sent_at, const owner_clock& clock);
    /** A guarded target, or its next process, has seen its token. */
    void process_reached(const target_id& target, const owner_clock& clock);
    void advice_answered(const host_id& host, const step_ref& step, bool slow,
                         const advice_answer& answer, const owner_clock& clock);
    /**
     * The store does not accept the records of some jobs in the last `store`
     * call. These jobs fail; the others continue.
     */
    void records_refused(const std::vector<job_id>& jobs,
                         const owner_clock& clock);
    /** The other records of the last `store` call have been stored. */
    void records_stored(const owner_clock& clock);
    ///@}

    /**
     * Begins the takeover from an earlier owner: runs recorded so far count as
     * inherited until their targets report them or their leases have ended.
     */
    void take_over(const owner_clock& clock);

    /**
     * Passes what the last owner stated when it resigned, before `take_over`.
     */
    void inherit_leases(lease_handover handover, mono_time received_at);

    /**
     * Ends the ownership; no order is sent from now on.
     * @return What the next owner has to know; nothing before `take_over`.
     */
    std::optional<lease_handover> resign(const owner_clock& clock);

    /** Does all work that is due. */
    void tick(const owner_clock& clock);

    /** Time at which `tick` has to be called even if no event occurs. */
    [[nodiscard]] mono_time next_due(const owner_clock& clock) const;

    /**
     * A target refused an order because it has seen a newer owner, or no
     * fencing token is left.
     */
    [[nodiscard]] bool superseded() const { return superseded_; }

    /** @name Queries. */
    ///@{
    [[nodiscard]] job_state state_of(const job_id& job,
                                     const organisation_id& asking) const;
    /**
     * Tells whether a job has ended but a later owner would not know it, so
     * that `state_of` does not return the end yet.
     */
    [[nodiscard]] bool end_unstored(const job_id& job) const;
    /**
     * Tells whether the job ends with the runs that are placed now, so that its
     * end may come at any moment. Never if questions do not wait for that.
     */
    [[nodiscard]] bool last_runs_placed(const job_id& job) const;
    [[nodiscard]] std::int64_t waiting_in(const queue_id& queue) const;
    [[nodiscard]] const job_table& jobs() const { return jobs_; }
    [[nodiscard]] const target_table& targets() const { return targets_; }
    /** The memory that callers' jobs and requests take here. */
    [[nodiscard]] const state_budget& state() const { return jobs_.budget(); }
    /** Expected waits of new jobs; none unless work is ordered by cost. */
    [[nodiscard]] const wait_estimate& waits() const { return wait_estimate_; }
    [[nodiscard]] std::string dump() const;
    /** The estimate of a step, corrected by measured run times. */
    [[nodiscard]] millis corrected_estimate(const queue_id& queue,
                                            const step_ref& step) const;
    ///@}

private:
    /**
     * A step with waiting tasks, and what determines its position in the
     * scheduling order.
     */
    struct runnable_step {
        step_ref ref;
        int priority = 0;
        /** Its organisation exceeded its submission rate. */
        bool over_rate = false;
        int lateness = 0; ///< 0: in time, 1: late, 2: too late to be of value.
        /** Unix time at which the objective is missed. */
        std::int64_t due_ms = 0;
        /** From the start of the step to the end of the job, by estimates. */
        millis remaining{0};
        const step_spec* spec = nullptr;
        const queue_config* queue = nullptr;
        work_class order_class = work_class::in_time;
        /** Time for which it may wait without further loss to its caller. */
        millis slack{0};
        /** Tasks for which it may take room in this placement round. */
        std::int64_t max_tasks = std::numeric_limits<std::int64_t>::max();
    };

    // owner_base.cpp
    [[nodiscard]] bool may_send_orders(mono_time now) const;
    [[nodiscard]] target_address address_of(const target_state& t) const;
    void add_live_job(const job_entry& job);
    void start_due_repeats(const owner_clock& clock);
    void purge_expired(const owner_clock& clock);
    /** Keeps only the ends of jobs of which no run is recorded any more. */
    void drop_ended_definitions(const owner_clock& clock);
    void forget_early_cancels(std::int64_t cutoff_ms);
    /**
     * Begins to store all changes since the last time. They take several calls
     * if they are large; ends and starts wait for the last one.
     */
    void begin_store_round();
    void store_changes();
    /** The ends in the last `store` call are stored: they may be shown. */
    void confirm_job_ends(const owner_clock& clock);
    [[nodiscard]] bool consume_rate_credit(const job_record& record);

    // owner_order.cpp
    void record_run_time(const task_id& task, millis run_time);
    void record_job_work(const job_record& record);
    /** Counts a job towards its organisation's rate over `rate_window`. */
    [[nodiscard]] bool within_rate(const job_record& record);
    /** Judges the jobs of an earlier owner in the order of acceptance. */
    void classify_inherited_jobs();
    [[nodiscard]] std::vector<runnable_step>
    steps_by_delay_cost(const owner_clock& clock) const;
    void add_runnable_steps(const job_entry& job, const owner_clock& clock,
                            std::vector<runnable_step>& steps,
                            std::vector<work_key>& keys) const;

    // owner_room.cpp
    /** Places the steps in order and holds room for those that go first. */
    void place_by_delay_cost(std::vector<runnable_step>& steps,
                             const owner_clock& clock);
    /** Counts the capacity of the schedulable targets. */
    void measure_room();
    /** Tasks of a step for which room is left beside the room held. */
    [[nodiscard]] std::int64_t room_beside_held(const runnable_step& step);
    /** Tells whether a step will take room as soon as it has advice. */
    [[nodiscard]] bool about_to_take_room(const runnable_step& step,
                                          const owner_clock& clock);
    void log_placed_classes(const owner_clock& clock);

    // owner_gang.cpp
    /** Ends the hold for a gang that has been placed or held room for long. */
    void end_gang_hold(const owner_clock& clock);
    /** Holds targets for a gang that has waited for long. */
    void hold_for_gang(const runnable_step& step, const owner_clock& clock);
    /** Tells whether a target is held for a gang that a step can wait for. */
    [[nodiscard]] bool held_for_gang(const runnable_step& step,
                                     const target_state& target,
                                     const owner_clock& clock) const;

    // owner_refused.cpp
    /** The store refused the record of an ended job with its runs. */
    void store_end_without_runs(const job_id& id);

    // owner_attempts.cpp
    /** Nothing while the configuration does not name the job's queue. */
    [[nodiscard]] std::optional<int> max_attempts(const job_entry& job) const;
    /** Fails jobs that have no attempt left by a new configuration. */
    void apply_max_attempts(const owner_clock& clock);

    // owner_place.cpp, owner_start.cpp
    void schedule(const owner_clock& clock);
    void collect_schedulable(mono_time now);
    [[nodiscard]] std::vector<runnable_step>
    runnable_steps(const owner_clock& clock) const;
    void place_step(const runnable_step& step, const owner_clock& clock);
    void place_gang(const runnable_step& step,
                    const std::vector<target_state*>& candidates,
                    const owner_clock& clock);
    void place_task(const runnable_step& step, std::int32_t index,
                    std::int32_t run, target_state& target,
                    const owner_clock& clock);
    [[nodiscard]] std::vector<target_state*>
    candidate_targets(const runnable_step& step, const owner_clock& clock);
    [[nodiscard]] bool matches_constraints(const runnable_step& step,
                                           const target_state& target) const;
    [[nodiscard]] std::int32_t free_slots(const runnable_step& step,
                                          const target_state& target) const;
    /** Places the suspects of a step, each away from other unproven runs. */
    void place_suspects(const runnable_step& step,
                        const std::vector<target_state*>& candidates,
                        const owner_clock& clock);
    /** Gives up the jobs with tasks that crash their targets. */
    void give_up_convicted(const owner_clock& clock);
    [[nodiscard]] resources remaining_quota(const runnable_step& step) const;
    [[nodiscard]] resources remaining_quota(const organisation_id& name) const;
    /**
     * Asks for advice about a step if a host may call.
     * @param usable_until Tickets that expire sooner are asked for again.
     * @return True if a call was sent.
     */
    bool request_advice(const runnable_step& step, const owner_clock& clock,
                        mono_time usable_until);

    // owner_ahead.cpp
    /** All tasks of a step are placed: those that depend on it may follow. */
    void note_step_placed(const runnable_step& step);
    /** Asks for advice about steps whose predecessors run. */
    void ask_ahead(const owner_clock& clock);
    /** @return False if no step of the repeat waits for running tasks only. */
    bool ask_ahead(const job_entry& job, std::int32_t repeat,
                   const queue_config& queue, const owner_clock& clock);
    /** Tasks that targets have room for whose tickets last that long. */
    [[nodiscard]] std::int32_t slots_with_tickets(const runnable_step& step,
                                                  mono_time usable_until);

    void send_starts(const owner_clock& clock);
    void send_start(target_state& target, const task_id& task, run_entry& run,
                    const owner_clock& clock);

    // owner_expected_end.cpp
    /** Which targets a step takes first. */
    enum class speed_preference : std::uint8_t {
        fast,
        slow, ///< Meets its objective on the slow kind as well.
        none, ///< Best fit; only single slow targets come last.
    };
    /** Computes the expected speed of the schedulable targets. */
    void update_speeds(mono_time now);
    void record_speed(const target_state& target, const run_entry& run,
                      const task_id& task, mono_time now);
    /** Runs that take too long show a slow target before they end. */
    void record_unfinished(target_state& target, mono_time now);
    [[nodiscard]] speed_preference
    preferred_speed(const runnable_step& step, const owner_clock& clock) const;
    /** 0: a target that advice is asked about first; otherwise 1. */
    [[nodiscard]] int advice_rank(speed_preference preference,
                                  const target_state& target) const;
    /** Class of the slowest kind that a run of the step is on; -1: no run. */
    [[nodiscard]] int slowest_placed(const runnable_step& step);
    /**
     * Sorts the candidates by the expected end of a task there.
     * @return A target for each waiting task of a step that is not a gang, as
     * far as there is room.
     */
    std::vector<target_state*>
    order_by_expected_end(const runnable_step& step,
                          std::vector<target_state*>& candidates,
                          const owner_clock& clock);
    /** Targets of the members of a gang; empty if they don't fit. */
    [[nodiscard]] std::vector<target_state*>
    fastest_for_gang(const runnable_step& step,
                     const std::vector<target_state*>& candidates,
                     const owner_clock& clock) const;

    // owner_copies.cpp
    /** Tells whether a task of a step may run on two targets at once. */
    [[nodiscard]] bool may_copy(const step_spec& spec) const;
    /** Starts copies where free room is left that no step waits for. */
    void place_copies(const std::vector<runnable_step>& steps,
                      const owner_clock& clock);
    void place_copy(const task_id& task,
                    const std::vector<runnable_step>& steps,
                    const owner_clock& clock);
    /** Tells whether steps that are as urgent need the free processors. */
    [[nodiscard]] bool room_is_wanted(const std::vector<runnable_step>& steps,
                                      int priority, const resources& demand);
    void stop_other_runs(const task_id& task, const owner_clock& clock);
    /** A start of the task was sent and may still be carried out. */
    [[nodiscard]] bool other_start_unconfirmed(const task_id& task) const;
    /**
     * Sequence number of the last end that may be acknowledged once stored. A
     * successful end is held back while a start of its task may arrive: no
     * start may follow the acknowledgement.
     */
    [[nodiscard]] std::int64_t acknowledgeable_end(target_state& target) const;

    // owner_waits.cpp
    void note_submitted(const job_entry& job, const owner_clock& clock);
    void note_placed(const job_entry& job, const step_spec& spec);
    void update_expected_waits(const owner_clock& clock);

    // owner_poll.cpp
    void send_due_polls(const owner_clock& clock);
    /**
     * Polls at once and without waiting for an end, even while another poll is
     * pending.
     */
    void poll_concurrently(target_state& target, const owner_clock& clock);
    void send_poll(target_state& target, const owner_clock& clock);
    void process_end(target_state& target, const listed_end& end,
                     const owner_clock& clock);
    void process_running(target_state& target, const poll_answer& answer,
                         mono_time sent_at, const owner_clock& clock);
    void process_listed_run(target_state& target, const listed_run& run,
                            const owner_clock& clock);
    /**
     * Releases the runs that have ended, as a complete answer shows.
     * @param listed The runs in the answer.
     * @param sent_at When the poll was sent.
     */
    void release_unlisted_runs(target_state& target,
                               const std::set<task_id>& listed,
                               mono_time sent_at, const owner_clock& clock);

    // owner_restart.cpp
    /** Takes another process for the newest one of a target. */
    void replace_process(target_state& target, std::int64_t incarnation,
                         const owner_clock& clock);
    /** Time since the start of a target's process by the wall clock, for logs.
     */
    [[nodiscard]] static std::string process_age(const target_state& target,
                                                 const owner_clock& clock);
    /**
     * Discards what was known of the earlier process. Its runs ended with it,
     * but the new process may have carried out their starts.
     */
    void handle_restart(target_state& target, const owner_clock& clock);
    /**
     * Raises the token of a target, so that orders sent before are void in each
     * process that has received a later one.
     */
    void raise_fencing_token(target_state& target);
    /**
     * Tells whether a target refused an order because of its token. Gives up
     * the ownership if that was the newest token.
     */
    bool refused_as_stale(const target_id& target, const order_answer& answer);
    /** Tells whether a start was sent and may still be carried out. */
    [[nodiscard]] static bool start_outstanding(const target_state& target);

    // owner_guard.cpp
    /**
     * When the last start that any later process of a target accepts had no
     * answer, whichever owner sent it; zero: never.
     */
    [[nodiscard]] mono_time
    unguarded_start_at(const target_state& target) const;
    /**
     * Has a target guarded if its next process would accept a start that was
     * meant for the process before.
     */
    void guard_restart(target_state& target, const owner_clock& clock);

    // owner_recovery.cpp
    /**
     * Tells whether tasks of a step have to wait after a start without an
     * answer and without a ticket, by the policy.
     */
    [[nodiscard]] bool waits_after_start(const step_ref& step) const;
    /** Handles a start without an answer. */
    void recover_start(target_state& target, const task_id& task,
                       run_entry& run, mono_time sent_at,
                       const owner_clock& clock);
    /**
     * The task of a run waits until its start can't be carried out.
     * @param sent_at When the order was sent at the latest.
     */
    void await_start(const target_state& target, const task_id& task,
                     run_entry& run, mono_time sent_at,
                     const owner_clock& clock);
    /** The same for a start that an earlier owner may have sent. */
    void await_inherited_start(const task_id& task, run_entry& run,
                               const owner_clock& clock) const;
    /**
     * Time after which the start of a run can't be carried out any more; zero
     * if the task need not wait, the maximum while the start is on its way.
     */
    [[nodiscard]] mono_time start_void_at(const task_id& task,
                                          const run_entry& run) const;
    /**
     * Tells whether a run that an answer does not list will not start later,
     * or need not be waited for by the policy.
     * @param sent_at When the poll with that answer was sent.
     */
    [[nodiscard]] bool start_excluded(const target_state& target,
                                      const task_id& task, const run_entry& run,
                                      mono_time sent_at) const;
    /**
     * Tells whether a run on a silent target has not started, or has lost its
     * lease since.
     */
    [[nodiscard]] bool start_expired(const task_id& task, const run_entry& run,
                                     mono_time now) const;
    /** Tells whether an answer without delay may tell more about a run. */
    [[nodiscard]] static bool run_state_unclear(const target_state& target,
                                                const run_entry& run,
                                                mono_time now);
    /**
     * After this time no start of this owner can be carried out any more that
     * had no answer so far. Nothing if tasks do not wait for that.
     */
    [[nodiscard]] std::optional<millis>
    longest_start_wait(const owner_clock& clock) const;
    /** The start of a run is awaited until `start_void_at`. */
    void begin_start_wait(const target_state& target, const task_id& task,
                          run_entry& run, const owner_clock& clock);
    /** Ends the wait for the start of a run, if there is one. */
    void end_start_wait(const target_state& target, const task_id& task,
                        run_entry& run, std::string_view outcome,
                        const owner_clock& clock);
    /**
     * The target has confirmed a start. A later owner need not wait for it if
     * that is recorded.
     */
    void confirm_start(const task_id& task, run_entry& run);
    /** Tells whether the configuration demands tickets for a job's starts. */
    [[nodiscard]] bool needs_ticket(const job_entry& job) const;

    // owner_lease.cpp
    /** Time by which a lease ends that any process of a target receives now. */
    [[nodiscard]] mono_time latest_lease_end(mono_time now) const;
    void grant_lease(target_state& target, std::int64_t lease_end_ms,
                     mono_time now) const;
    [[nodiscard]] bool run_expired(const target_state& target,
                                   const run_entry& run, mono_time now) const;
    void expire_runs(target_state& target, const owner_clock& clock);

    // owner_speed.cpp
    /**
     * Adds the progress of a run since the last poll to the health of its
     * target.
     */
    void record_progress(target_state& target, run_entry& run,
                         const listed_run& listed);
    /**
     * Avoids a target that works too slowly and moves its tasks if it is
     * stalled. Stragglers are moved from any target.
     */
    void assess_speed(target_state& target, const owner_clock& clock);
    /**
     * Stops the selected runs so that their tasks restart on other targets.
     * Each task is moved at most once.
     */
    void move_runs(target_state& target, const owner_clock& clock,
                   const std::function<bool(const task_id&, const step_entry&,
                                            const run_entry&)>& selected);
    /**
     * Moves runs that take much longer than the completed ones of their step.
     */
    void move_stragglers(target_state& target, const owner_clock& clock);
    [[nodiscard]] bool too_many_degraded() const;
    void throttle_best_effort(target_state& target);
    void send_speed(target_state& target, const task_id& task, run_entry& run);

    // owner_takeover.cpp
    /** Counts the recorded runs of a job's tasks. */
    void inherit_task_runs(const job_entry& job, const owner_clock& clock);
    /** Counts and stops the recorded runs for which no task waits. */
    void inherit_leftover_runs(const job_entry& job, const owner_clock& clock);
    /** Returns the target of a recorded run; adds it if it is not listed. */
    target_state& inherit_target(const recorded_run& run,
                                 const owner_clock& clock);
    run_entry& inherit_run(target_state& target, const recorded_run& run,
                           const owner_clock& clock);

    // owner_handover.cpp
    /** When the leases of a target that earlier owners granted have ended. */
    [[nodiscard]] mono_time
    inherited_leases_end(const target_state& target) const;
    [[nodiscard]] mono_time
    all_earlier_leases_end(const owner_clock& clock) const;
    void apply_handover();

    // owner_overdue.cpp
    /** Logs runs that a silent target should have ended long ago. */
    void log_overdue_runs(const owner_clock& clock);

    // owner_stop.cpp
    void stop_run(target_state& target, const task_id& task,
                  const owner_clock& clock);
    /** Schedules a stop order for a run, even if one was sent before. */
    void request_stop(target_state& target, const task_id& task,
                      run_entry& run);
    void send_stops(const owner_clock& clock);
    void stop_job(const job_entry& job, const owner_clock& clock);
    void stop_gang(const step_ref& step, const owner_clock& clock);
    /** Forgets a run that has ended. */
    void remove_run(target_state& target, const task_id& task);
    /** The same; its task is placed again if it waits for this run. */
    void release_run(target_state& target, const task_id& task);
    void apply_run_end(target_state& target, const run_entry& run,
                       const listed_end& end, const owner_clock& clock);
    void update_backoff(target_state& target, const listed_end& end,
                        const owner_clock& clock);

    owner_settings settings_;
    owner_output& output_;
    cell_config config_;
    bool tickets_everywhere_ = true; ///< All queues of `config_` need them.
    std::set<data_centre_id> evacuated_;
    fencing_tokens tokens_;
    job_table jobs_;
    state_reservations reservations_;
    target_table targets_;
    advice_table advice_;
    /** Repeats with a step to ask about before it is ready. */
    std::set<std::pair<job_id, std::int32_t>> ahead_;
    mono_time next_look_ahead_{};
    std::int64_t calls_ahead_ = 0; ///< Sent since the start.
    crash_suspects suspects_;
    speed_table speeds_;
    /** Stragglers for which the next placement round seeks room. */
    std::set<task_id> copies_wanted_;
    mono_time next_ranking_{};
    mono_time next_speed_log_{};
    /** Runs placed since the last line in the log, by class of their target. */
    std::map<int, int> placed_by_class_;
    wait_estimate wait_estimate_;
    /** Jobs that have not ended, or whose end is not stored yet. */
    std::set<job_id> live_jobs_;
    /** Live jobs that start repeats at times of their own. */
    std::set<job_id> repeating_jobs_;
    /** Ended jobs that still have their definitions. */
    std::set<job_id> ended_with_definition_;
    /** Jobs whose end the pending `store` call records. */
    std::vector<job_id> job_ends_in_store_call_;
    /** Token bucket for the submission rate of an organisation. */
    struct rate_bucket {
        double credit = 0;
        std::int64_t updated_ms = 0; ///< Unix time of the last submission.
    };
    std::map<organisation_id, rate_bucket> rate_buckets_;
    /** Submissions of each organisation, for the order by cost of delay. */
    std::map<organisation_id, rate_window> rate_windows_;
    estimate_correction corrections_;
    /** Capacity of the targets of a service, in milli-cores. */
    struct service_room {
        std::int64_t capacity = 0;
        std::int64_t free = 0;
        /** Held for steps of a class and priority. */
        std::map<std::pair<work_class, int>, std::int64_t> held;
    };
    std::map<service_id, service_room> room_; ///< In this placement round.
    /** Tasks placed since the last log line, by class. */
    std::array<std::int64_t, WORK_CLASSES> placed_by_work_class_{};
    mono_time next_class_log_{};
    /** Targets that are held for one gang. */
    struct gang_hold {
        step_ref gang;
        std::set<target_id> targets;
        mono_time since{};
    };
    std::optional<gang_hold> gang_hold_;
    mono_time next_gang_hold_{}; ///< No hold begins before.
    int gang_hold_attempts_ = 0; ///< In this placement round.
    /** Work of a typical job of each queue, by uncorrected estimates. */
    std::map<queue_id, running_median> typical_work_;
    bool placed_in_tick_ = false; ///< The last tick had a placement round.
    /** Requests to cancel a job that is not known. */
    struct early_cancel {
        std::int64_t at_ms = 0; ///< Unix time of the last one.
        std::set<organisation_id> requesters;
    };
    /**
     * Jobs cancelled before their acceptance arrived. The two take different
     * paths and may overtake each other.
     */
    std::map<job_id, early_cancel> early_cancels_;
    bool store_pending_ = false;
    mono_time stored_at_{}; ///< When the store last confirmed records.
    bool superseded_ = false;
    bool schedule_due_ = false;
    /** Attempts counted so far have not been compared with `config_`. */
    bool attempts_due_ = true;
    mono_time next_schedule_{};
    /**
     * Targets that may receive work in this placement round, and the maximum of
     * each resource that is free on one of them.
     */
    std::vector<target_state*> schedulable_;
    resources largest_free_;
    /** Runs whose stop order is not confirmed yet. */
    std::set<std::pair<target_id, task_id>> runs_to_stop_;
    mono_time confirmed_at_{};
    /** All leases granted by earlier owners have ended by this time. */
    mono_time inherited_leases_end_{};
    /** The same for targets that were silent before. */
    std::map<target_id, mono_time> inherited_ends_;
    /**
     * When this owner took over from one whose starts may still arrive, as it
     * does not know which had no answer; zero: there are none.
     */
    mono_time earlier_starts_at_{};
    std::optional<lease_handover> handover_;
    mono_time handover_received_at_{};
    mono_time next_purge_{};
    mono_time next_overdue_log_{};
    /** Changed jobs that this round of `store` calls has not recorded yet. */
    std::set<job_id> unrecorded_jobs_;
    /** Runs recorded by the pending `store` call; they start after it. */
    std::vector<std::pair<target_id, task_id>> runs_in_store_call_;
    /** Runs that the next `store` call will record. */
    std::vector<std::pair<target_id, task_id>> unstored_runs_;
    /** Last end of each target whose effects the pending call stores. */
    std::map<target_id, end_position> ends_in_store_call_;
};

/** Keys of the records of a job in the store. */
std::string job_key(const job_id& job);
/** Each organisation that asks has its own key. */
std::string cancel_key(const job_id& job, const organisation_id& requester);
/** Common beginning of the keys of all cancellations of a job. */
std::string cancel_key_prefix(const job_id& job);
/** Job of the key of a cancellation; empty for any other key. */
std::optional<job_id> cancelled_job(const std::string& key);
std::string progress_key(const job_id& job);

} // namespace rattan::dispatch
