#include "fold/quota_cmd.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace rattan {

namespace {

const std::string CENTRE_PREFIX = "centre/";
const std::string GATE_PREFIX = "gate/";

/** The slice of a holder, or null. */
const quota_slice* find_slice(const cell_state& state, const quota_key& key,
                              const holder_id& holder) {
    const auto slices = state.quotas.find(key);
    if (slices == state.quotas.end())
        return nullptr;
    const auto slice = slices->second.find(holder);
    return slice == slices->second.end() ? nullptr : &slice->second;
}

/**
 * Tells whether the writer may change a holder's slice: the owner that of its
 * data centre, an entry host that of its gate.
 */
bool may_write_for(const cell_state& state, const holder_id& holder,
                   epoch owner, const entry_context& context) {
    if (holder.value.starts_with(GATE_PREFIX))
        return holder.value.substr(GATE_PREFIX.size()) == context.writer.value;
    if (!holder.value.starts_with(CENTRE_PREFIX))
        return false;
    const data_centre_id centre{holder.value.substr(CENTRE_PREFIX.size())};
    const auto found = state.owners.find(centre);
    return found != state.owners.end() && found->second.claim == owner &&
           found->second.host == context.writer;
}

/** Tells whether the holder's data centre or entry host is declared. */
bool is_declared(const cell_state& state, const holder_id& holder) {
    for (const auto& [id, centre] : state.config.in_force.data_centres) {
        if (holder == centre_holder(id))
            return true;
        for (const host_id& host : centre.entry_hosts)
            if (holder == gate_holder(host))
                return true;
    }
    return false;
}

/** Validates what both kinds of quota record have in common. */
template <typename Record>
fold_verdict validate_quota_record(const cell_state& state,
                                   const Record& record,
                                   const entry_context& context) {
    if (record.amount < 0)
        return fold_verdict::malformed;
    if (!may_write_for(state, record.holder, record.owner, context))
        return fold_verdict::not_owner;
    const quota_slice* slice =
        find_slice(state, {record.organisation, record.kind}, record.holder);
    if (record.serial != (slice == nullptr ? 0 : slice->serial))
        return fold_verdict::stale_serial;
    return fold_verdict::accepted;
}

} // namespace

holder_id centre_holder(const data_centre_id& centre) {
    return {CENTRE_PREFIX + centre.value};
}

holder_id gate_holder(const host_id& host) {
    return {GATE_PREFIX + host.value};
}

std::int64_t quota_limit(const cell_state& state, const quota_key& key) {
    const auto organisation =
        state.config.in_force.organisations.find(key.organisation);
    if (organisation == state.config.in_force.organisations.end())
        return 0;
    const auto limit = organisation->second.limits.find(key.kind);
    return limit == organisation->second.limits.end() ? 0 : limit->second;
}

std::int64_t quota_granted(const quota_slices& slices) {
    std::int64_t granted = 0;
    for (const auto& [holder, slice] : slices)
        granted += slice.amount;
    return granted;
}

void grant_wants(cell_state& state, const quota_key& key) {
    const auto found = state.quotas.find(key);
    if (found == state.quotas.end())
        return;
    quota_slices& slices = found->second;
    std::int64_t free = quota_limit(state, key) - quota_granted(slices);
    std::vector<quota_slice*> waiting;
    for (auto& [holder, slice] : slices)
        if (slice.want > 0 && slice.dropped_ms == 0)
            waiting.push_back(&slice);
    std::sort(waiting.begin(), waiting.end(),
              [](const quota_slice* a, const quota_slice* b) {
                  return a->want_at < b->want_at;
              });
    for (quota_slice* slice : waiting) {
        if (free <= 0)
            break;
        const std::int64_t grant = std::min(free, slice->want);
        slice->amount += grant;
        slice->want -= grant;
        free -= grant;
    }
}

fold_verdict validate_quota_want(const cell_state& state,
                                 const quota_want& want,
                                 const entry_context& context) {
    if (!state.config.in_force.organisations.contains(want.organisation) ||
        !is_declared(state, want.holder))
        return fold_verdict::not_allowed;
    return validate_quota_record(state, want, context);
}

void execute_quota_want(cell_state& state, const quota_want& want,
                        const entry_context& context) {
    const quota_key key{want.organisation, want.kind};
    quota_slice& slice = state.quotas[key][want.holder];
    if (slice.want == 0)
        slice.want_at = context.position;
    slice.want = want.amount;
    ++slice.serial;
    grant_wants(state, key);
}

fold_verdict validate_quota_cede(const cell_state& state,
                                 const quota_cede& cede,
                                 const entry_context& context) {
    const quota_slice* slice =
        find_slice(state, {cede.organisation, cede.kind}, cede.holder);
    if (slice == nullptr || cede.amount > slice->amount)
        return fold_verdict::malformed;
    return validate_quota_record(state, cede, context);
}

void execute_quota_cede(cell_state& state, const quota_cede& cede,
                        const entry_context&) {
    const quota_key key{cede.organisation, cede.kind};
    quota_slice& slice = state.quotas[key][cede.holder];
    slice.amount -= cede.amount;
    ++slice.serial;
    assert(slice.amount >= 0);
    grant_wants(state, key);
}

void refresh_quotas(cell_state& state) {
    state.any_dropped = false;
    for (auto& [key, slices] : state.quotas) {
        for (auto& [holder, slice] : slices) {
            if (is_declared(state, holder)) {
                slice.dropped_ms = 0;
                continue;
            }
            state.any_dropped = true;
            if (slice.dropped_ms == 0)
                slice.dropped_ms = std::max<std::int64_t>(state.now_ms, 1);
        }
        grant_wants(state, key);
    }
}

void reclaim_dropped(cell_state& state) {
    state.any_dropped = false;
    const std::int64_t isolation_limit_ms =
        state.config.in_force.cell.isolation_limit.count();
    for (auto& [key, slices] : state.quotas) {
        bool reclaimed = false;
        for (auto& [holder, slice] : slices) {
            if (slice.dropped_ms == 0 || slice.amount == 0)
                continue;
            if (state.now_ms - slice.dropped_ms <= isolation_limit_ms) {
                state.any_dropped = true;
                continue;
            }
            slice.amount = 0;
            slice.want = 0;
            ++slice.serial;
            reclaimed = true;
        }
        if (reclaimed)
            grant_wants(state, key);
    }
}

} // namespace rattan
