/** @file One holder's slices of the quotas, counted locally. */
#pragma once

#include "rattan/cell_type.hpp"
#include "rattan/unit_type.hpp"

#include <map>
#include <optional>
#include <vector>

namespace rattan {

/**
 * A limit is divided into slices, one for each holder: a data centre or a
 * gate. A holder admits work within its slice without a message to others; it
 * requests more, or gives back, through records in the log. The amount in use
 * never exceeds the slice less what pending records give back.
 */
class quota_holder {
public:
    /** @param kinds Kinds of quota of which this holder has slices. */
    quota_holder(holder_id holder, std::vector<quota_kind> kinds)
        : holder_(std::move(holder)), kinds_(std::move(kinds)) {}

    /** Forgets use and demand; later records are under the claim `owner`. */
    void reset(epoch owner);

    /** Whether `amount` more may run. */
    [[nodiscard]] bool can_acquire(const cell_state& state,
                                   const quota_key& key,
                                   std::int64_t amount) const;

    /** Adds to the amount in use. */
    void acquire(const quota_key& key, std::int64_t amount);

    /** Subtracts from the amount in use. @pre The work has certainly ended. */
    void release(const quota_key& key, std::int64_t amount);

    /** Reports that work waits for `amount`; forgotten at each `tick`. */
    void demand(const quota_key& key, std::int64_t amount);

    /** The amount in use by this holder's count. */
    [[nodiscard]] std::int64_t in_use(const quota_key& key) const;

    /** The amount in use above this holder's share of a lowered limit. */
    [[nodiscard]] std::int64_t excess_in_use(const cell_state& state,
                                             const quota_key& key) const;

    /**
     * Returns the records to append: requests for unmet demand, and returns
     * of what other holders need.
     * @param may_cede False while work may run that is not counted yet.
     */
    std::vector<log_entry> tick(const cell_state& state, mono_time now,
                                bool may_cede = true);

    /** Whether every record of this holder has been read back from the log. */
    [[nodiscard]] bool all_records_applied() const { return pending_.empty(); }

    [[nodiscard]] const holder_id& holder() const { return holder_; }

private:
    /** A record that has not been read back from the log yet. */
    struct pending_record {
        std::int64_t serial = 0;
        std::int64_t ceded = 0; ///< Can't be acquired while it is pending.
        log_entry entry;
        mono_time offered{};
    };

    /** This holder's slice by the log; empty when there is none. */
    [[nodiscard]] quota_slice slice(const cell_state& state,
                                    const quota_key& key) const;
    /** The record that is due for this limit, if any. */
    std::optional<pending_record>
    decide(const cell_state& state, const quota_key& key, bool may_cede) const;
    /** The amount to give back now. */
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
