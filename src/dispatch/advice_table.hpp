/** @file Eligibility of targets for steps, and the hosts that query it. */
#pragma once

#include "dispatch/order_type.hpp"
#include "dispatch/route_type.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace rattan::dispatch {

/** Answers of the advice service about one step. */
struct step_advice {
    /** Permission to run the step on a target, valid until `expires`. */
    struct ticket {
        std::string text;
        mono_time expires{};
    };

    /**
     * Targets that may run the step. Eligibility is permanent; only the ticket
     * expires.
     */
    std::map<target_id, ticket> eligible;
    /** Targets that may not run the step, which is permanent as well. */
    std::set<target_id> ineligible;
    /** Targets named in the pending call. */
    std::vector<target_id> asked_targets;
    bool call_pending = false;
    queue_id queue;       ///< Queue that the pending call is for.
    mono_time retry_at{}; ///< Back-off after a failed call.
    int calls_ahead = 0;  ///< Made before the step was ready.

    /** The ticket of a target if it is valid at `now`, or null. */
    [[nodiscard]] const ticket* valid_ticket(const target_id& target,
                                             mono_time now) const;
};

/**
 * A host that calls the advice service, which handles the calls of one host
 * sequentially.
 */
struct advice_host {
    host_id host;
    int pending_calls = 0;
    bool has_slow_call = false;    ///< A pending call is slow.
    mono_time unavailable_until{}; ///< Back-off after a failure.
    bool last_call_failed = false;
};

/**
 * Assigns calls of the advice service to hosts and keeps the answers. A slow
 * call would delay the quick calls queued behind it on the same host by up to a
 * second, and quick calls in a backlog would leave no host idle for a slow one.
 * So a third of the hosts takes only quick calls. Of nine hosts or more,
 * another third takes at most one of them at a time.
 */
class advice_table {
public:
    /**
     * Sets the hosts. Of nine or more, the roles alternate, so that the hosts
     * of one data centre have different ones; of fewer, the first third takes
     * only quick calls. A single host takes all calls.
     */
    void set_hosts(const std::vector<host_id>& hosts);

    /** Tells whether `acquire_host` would return a host. */
    [[nodiscard]] bool has_host(millis duration, mono_time now) {
        return find_host(duration, now) != nullptr;
    }

    /**
     * Tells whether more than a third of the hosts that may take quick calls
     * have none. Calls ahead of need use only these hosts, so that calls that
     * steps wait for are not delayed.
     */
    [[nodiscard]] bool has_spare_host(mono_time now) const;

    /**
     * Assigns a host to a call of the given duration; nothing if all are busy.
     */
    std::optional<host_id> acquire_host(millis duration, mono_time now);

    /** Records the end of a call. */
    void release_host(const host_id& host, bool slow, bool failed,
                      mono_time now);

    [[nodiscard]] step_advice& for_step(const step_ref& step) {
        return steps_[step];
    }

    /** Begins a placement round, in which queues ask for calls. */
    void begin_round();

    /**
     * Tells whether a queue may have another call while other queues wait for
     * calls of the same kind, and counts it as such a queue. Without a share,
     * steps of an urgent queue that wait for room would ask again and again
     * and leave no host to other queues.
     */
    [[nodiscard]] bool within_share(const queue_id& queue, millis duration);

    /** Notes that a call about a step was sent. */
    void asked(const step_ref& step, const queue_id& queue,
               std::vector<target_id> targets);

    /**
     * Drops the tickets for a target, which are valid for one process of it.
     * The target stays eligible.
     */
    void drop_tickets(const target_id& target);

    /** A target has refused the ticket for a step. */
    void expire_ticket(const step_ref& step, const target_id& target,
                       mono_time now);

    /** Removes what is kept about the steps of a job. */
    void remove(const job_id& job);

    /** The same for one step, all tasks of which are done. */
    void remove(const step_ref& step);

    /**
     * Limits the targets kept over all steps; 0: no limit. Beyond it, answers
     * about other steps are dropped and asked for again when needed.
     */
    void set_max_targets(std::size_t targets) { max_targets_ = targets; }

    /** Targets kept over all steps, eligible or not. */
    [[nodiscard]] std::size_t target_count() const { return target_count_; }

    /** Records an answer. @param answered_at Time of its arrival. */
    void answered(const step_ref& step, const advice_answer& answer,
                  mono_time answered_at);

    /** Calls of at least this duration count as slow. */
    static constexpr millis SLOW_CALL_THRESHOLD{150};

private:
    /** Pending calls that a host, by index, may have of a kind. */
    [[nodiscard]] int max_calls(std::size_t host, bool slow) const;
    /**
     * The least busy host that may take a call, or null. Hosts whose last call
     * failed come last; they may have been removed or cut off.
     */
    advice_host* find_host(millis duration, mono_time now);
    /** Notes that the pending call of a step has ended. */
    void end_call(step_advice& step);
    /** Drops the answers about a step. */
    void clear_targets(step_advice& step);
    /** Drops answers about steps other than `kept` down to the limit. */
    void limit_targets(const step_ref& kept);

    std::vector<advice_host> hosts_;
    std::map<step_ref, step_advice> steps_;
    std::size_t max_targets_ = 0;
    std::size_t target_count_ = 0;
    step_ref next_dropped_; ///< Where the next search for answers begins.
    std::map<queue_id, int> pending_calls_;
    /** Queues that asked for calls, quick and slow, in this round. */
    std::array<std::set<queue_id>, 2> asking_;
    std::array<std::set<queue_id>, 2> asked_before_; ///< In the last round.
};

/** Time that the service needs for a call that names `targets` targets. */
millis advice_call_duration(const advice_config& config, std::size_t targets);

} // namespace rattan::dispatch
