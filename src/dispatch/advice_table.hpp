/** @file Which targets may run a step, and which host asks about it. */
#pragma once

#include "dispatch/order_type.hpp"
#include "dispatch/route_type.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace rattan::dispatch {

/** What is known about the targets of one step. */
struct step_advice {
    /** A ticket and until when it may be used. */
    struct ticket {
        std::string text;
        mono_time expires{};
    };

    std::map<target_id, ticket> eligible; ///< May run the step; this stays so.
    std::set<target_id> bad;              ///< May not.
    std::vector<target_id> asked;         ///< Named in the call under way.
    bool asking = false;
    mono_time retry_at{}; ///< After a call that failed.

    /** The ticket of a target that can be used at `now`, or null. */
    [[nodiscard]] const ticket* valid_ticket(const target_id& target,
                                             mono_time now) const;
};

/** A host that can ask; the service answers its calls one at a time. */
struct advice_lane {
    host_id host;
    int calls = 0;       ///< Under way.
    bool slow = false;   ///< One of them takes long.
    mono_time resting{}; ///< After a failure: unused before.
};

/**
 * Shares the hosts among calls. A call of a slow queue would delay quick ones
 * behind it by up to a second, so some hosts are kept for quick calls.
 */
class advice_table {
public:
    /** Sets the hosts; the first third answers quick calls only. */
    void set_hosts(const std::vector<host_id>& hosts);

    /** Tells whether `take_lane` would give a host. */
    [[nodiscard]] bool has_lane(millis length, mono_time now) {
        return find_lane(length, now) != nullptr;
    }

    /** A host for a call of that length, or nothing when all are busy. */
    std::optional<host_id> take_lane(millis length, mono_time now);

    /** A call has ended. */
    void free_lane(const host_id& host, bool slow, bool failed, mono_time now);

    [[nodiscard]] step_advice& of(const step_ref& step) { return steps_[step]; }

    /** Forgets a step that is done or given up. */
    void forget(const job_id& job);

    /** Takes an answer. @param taken_at When it came. */
    void answered(const step_ref& step, const advice_answer& answer,
                  mono_time taken_at);

    /** Calls at least this long count as slow. */
    static constexpr millis SLOW_CALL_THRESHOLD{150};

private:
    /** The best host for a call, or null. */
    advice_lane* find_lane(millis length, mono_time now);

    std::vector<advice_lane> lanes_;
    std::map<step_ref, step_advice> steps_;
};

/** How long the service works on a call that names some targets. */
millis advice_length(const advice_config& terms, std::size_t targets);

} // namespace rattan::dispatch
