#include "quota/quota_holder.hpp"

#include "base/record_outbox.hpp"
#include "fold/quota_cmd.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace rattan {

namespace {

/** Idle holders together keep a limit divided by this. */
constexpr std::int64_t IDLE_SLICE_DIVISOR = 2;
/** Requested above the need, in percent of it, to save appends. */
constexpr std::int64_t HEADROOM_PERCENT = 10;

/** Number of holders that share a limit, by the configuration. */
std::int64_t declared_holders(const cell_state& state, quota_kind kind) {
    std::int64_t count = 0;
    for (const auto& [id, centre] : state.config.in_force.data_centres)
        count += kind == quota_kind::checks
                     ? static_cast<std::int64_t>(centre.entry_hosts.size())
                     : 1;
    return std::max<std::int64_t>(count, 1);
}

/** What an idle holder keeps, so that it can serve while cut off. */
std::int64_t idle_slice(const cell_state& state, const quota_key& key) {
    return quota_limit(state, key) /
           (IDLE_SLICE_DIVISOR * declared_holders(state, key.kind));
}

/** The sum of what other holders request. */
std::int64_t wanted_by_others(const quota_slices& slices,
                              const holder_id& holder) {
    std::int64_t wanted = 0;
    for (const auto& [id, slice] : slices)
        if (id != holder && slice.dropped_ms == 0)
            wanted += slice.want;
    return wanted;
}

/** The sum of the requests that are older than `want_at`. */
std::int64_t wanted_before(const quota_slices& slices, std::int64_t want_at) {
    std::int64_t wanted = 0;
    for (const auto& [id, slice] : slices)
        if (slice.want > 0 && slice.want_at < want_at && slice.dropped_ms == 0)
            wanted += slice.want;
    return wanted;
}

std::int64_t value_or_zero(const std::map<quota_key, std::int64_t>& values,
                           const quota_key& key) {
    const auto found = values.find(key);
    return found == values.end() ? 0 : found->second;
}

} // namespace

void quota_holder::reset(epoch owner) {
    owner_ = owner;
    in_use_.clear();
    demand_.clear();
    pending_.clear();
}

quota_slice quota_holder::slice(const cell_state& state,
                                const quota_key& key) const {
    const auto slices = state.quotas.find(key);
    if (slices == state.quotas.end())
        return {};
    const auto found = slices->second.find(holder_);
    return found == slices->second.end() ? quota_slice{} : found->second;
}

bool quota_holder::can_acquire(const cell_state& state, const quota_key& key,
                               std::int64_t amount) const {
    if (amount == 0)
        return true;
    const quota_slice mine = slice(state, key);
    std::int64_t usable = mine.amount;
    const auto pending = pending_.find(key);
    if (pending != pending_.end() && pending->second.serial == mine.serial)
        usable -= pending->second.ceded;
    // After a limit was lowered nothing starts until the slices fit into it.
    const auto slices = state.quotas.find(key);
    if (slices == state.quotas.end() ||
        quota_granted(slices->second) > quota_limit(state, key))
        return false;
    return in_use(key) + amount <= usable;
}

void quota_holder::acquire(const quota_key& key, std::int64_t amount) {
    if (amount != 0)
        in_use_[key] += amount;
}

void quota_holder::release(const quota_key& key, std::int64_t amount) {
    if (amount == 0)
        return;
    assert(in_use_[key] >= amount);
    in_use_[key] -= amount;
}

void quota_holder::demand(const quota_key& key, std::int64_t amount) {
    if (amount != 0)
        demand_[key] += amount;
}

std::int64_t quota_holder::in_use(const quota_key& key) const {
    return value_or_zero(in_use_, key);
}

std::int64_t quota_holder::excess_in_use(const cell_state& state,
                                         const quota_key& key) const {
    const auto slices = state.quotas.find(key);
    if (slices == state.quotas.end())
        return 0;
    const std::int64_t limit = quota_limit(state, key);
    const std::int64_t granted = quota_granted(slices->second);
    if (granted <= limit)
        return 0;
    const std::int64_t fair = slice(state, key).amount * limit / granted;
    return std::max<std::int64_t>(0, in_use(key) - fair);
}

std::int64_t quota_holder::surplus(const cell_state& state,
                                   const quota_key& key) const {
    const quota_slice mine = slice(state, key);
    const auto slices = state.quotas.find(key);
    if (slices == state.quotas.end() || mine.amount == 0)
        return 0;
    const std::int64_t limit = quota_limit(state, key);
    const std::int64_t unused = mine.amount - in_use(key);
    const std::int64_t excess = quota_granted(slices->second) - limit;
    if (excess > 0)
        return std::clamp<std::int64_t>(unused, 0, excess);
    const std::int64_t wanted = wanted_by_others(slices->second, holder_);
    if (wanted == 0)
        return 0;
    // This holder's demand comes first, even if others requested earlier.
    const std::int64_t needed = in_use(key) + value_or_zero(demand_, key);
    const std::int64_t kept = std::max(needed, idle_slice(state, key));
    if (mine.amount > kept)
        return std::min(mine.amount - kept, wanted);
    // The unused rest is too little for the work that waits here. All holders
    // give such rests to the oldest request, so that they add up to enough.
    if (value_or_zero(demand_, key) == 0 || mine.want == 0)
        return 0;
    return std::clamp<std::int64_t>(
        unused, 0, wanted_before(slices->second, mine.want_at));
}

std::optional<quota_holder::pending_record>
quota_holder::decide(const cell_state& state, const quota_key& key,
                     bool may_cede) const {
    const quota_slice mine = slice(state, key);
    const std::int64_t cede = may_cede ? surplus(state, key) : 0;
    if (cede > 0)
        return pending_record{.serial = mine.serial,
                              .ceded = cede,
                              .entry =
                                  quota_cede{.holder = holder_,
                                             .owner = owner_,
                                             .organisation = key.organisation,
                                             .kind = key.kind,
                                             .amount = cede,
                                             .serial = mine.serial}};
    const std::int64_t needed = in_use(key) + value_or_zero(demand_, key);
    const std::int64_t idle = idle_slice(state, key);
    const std::int64_t target =
        std::min(std::max(idle, needed + needed * HEADROOM_PERCENT / 100),
                 quota_limit(state, key));
    const std::int64_t want =
        std::max(needed, idle) > mine.amount
            ? std::max<std::int64_t>(0, target - mine.amount)
            : 0;
    const bool unmet = want > mine.want;
    const bool unneeded = want == 0 && mine.want > 0;
    if (!unmet && !unneeded)
        return std::nullopt;
    return pending_record{.serial = mine.serial,
                          .entry = quota_want{.holder = holder_,
                                              .owner = owner_,
                                              .organisation = key.organisation,
                                              .kind = key.kind,
                                              .amount = want,
                                              .serial = mine.serial}};
}

std::vector<log_entry> quota_holder::tick(const cell_state& state,
                                          mono_time now, bool may_cede) {
    std::vector<log_entry> records;
    std::set<quota_key> keys;
    for (const auto& [key, amount] : demand_)
        keys.insert(key);
    for (const auto& [key, slices] : state.quotas)
        if (slices.contains(holder_))
            keys.insert(key);
    for (const auto& [organisation, declared] :
         state.config.in_force.organisations)
        for (const quota_kind kind : kinds_)
            keys.insert({organisation, kind});
    for (const quota_key& key : keys) {
        auto pending = pending_.find(key);
        if (pending != pending_.end() &&
            pending->second.serial != slice(state, key).serial) {
            pending_.erase(pending);
            pending = pending_.end();
        }
        if (pending == pending_.end()) {
            auto record = decide(state, key, may_cede);
            if (!record)
                continue;
            pending = pending_.emplace(key, std::move(*record)).first;
        } else if (now - pending->second.offered < APPEND_RETRY_INTERVAL) {
            continue;
        }
        pending->second.offered = now;
        records.push_back(pending->second.entry);
    }
    demand_.clear();
    return records;
}

} // namespace rattan
