/** @file One holder's slices of the teams' limits, spent locally. */
#pragma once

#include "rattan/cell_type.hpp"
#include "rattan/unit_type.hpp"

#include <map>
#include <optional>
#include <vector>

namespace rattan {

/**
 * Spends slices without a message and asks for more, or gives back, through
 * the log. What it has running never exceeds its slice as it will be when
 * all of its own records have taken effect.
 */
class quota_holder {
public:
    /** @param kinds What this holder's slices are of. */
    quota_holder(holder_id holder, std::vector<quota_kind> kinds)
        : holder_(std::move(holder)), kinds_(std::move(kinds)) {}

    /** Sets the claim under which records are written, and starts anew. */
    void reset(epoch owner);

    /** Tells whether `amount` more may run. */
    [[nodiscard]] bool can_acquire(const cell_state& state,
                                   const quota_key& key,
                                   std::int64_t amount) const;

    /** Counts what runs from now on. */
    void acquire(const quota_key& key, std::int64_t amount);

    /** Counts what provably runs no more. */
    void release(const quota_key& key, std::int64_t amount);

    /** Notes that `amount` more is needed now; forgotten at each `tick`. */
    void demand(const quota_key& key, std::int64_t amount);

    /** What runs by this holder's count. */
    [[nodiscard]] std::int64_t in_use(const quota_key& key) const;

    /** How far what runs is above this holder's part of a lowered limit. */
    [[nodiscard]] std::int64_t excess_in_use(const cell_state& state,
                                             const quota_key& key) const;

    /**
     * Decides on records: wants for unmet demand, cedes of what others need.
     * @param may_cede False while something may run that is not counted yet.
     */
    std::vector<log_entry> tick(const cell_state& state, mono_time now,
                                bool may_cede = true);

    /** Tells whether no record waits to be seen in the log. */
    [[nodiscard]] bool all_records_applied() const { return pending_.empty(); }

    [[nodiscard]] const holder_id& holder() const { return holder_; }

private:
    /** A record that may or may not have taken effect. */
    struct pending_record {
        std::int64_t serial = 0;
        std::int64_t ceded = 0; ///< Not to be spent while it is pending.
        log_entry entry;
        mono_time offered{};
    };

    /** The slice as folded; empty when there is none. */
    [[nodiscard]] quota_slice slice(const cell_state& state,
                                    const quota_key& key) const;
    /** A record for this limit, when one is due. */
    std::optional<pending_record>
    decide(const cell_state& state, const quota_key& key, bool may_cede) const;
    /** How much to give back now. */
    [[nodiscard]] std::int64_t surplus(const cell_state& state,
                                       const quota_key& key) const;

    holder_id holder_;
    std::vector<quota_kind> kinds_;
    epoch owner_;
    std::map<quota_key, std::int64_t> in_use_;
    std::map<quota_key, std::int64_t> demand_;
    std::map<quota_key, pending_record> pending_;
};

} // namespace rattan
