#include "fold/fold_base.hpp"

#include "fold/record_codec.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>

namespace rattan {

bool cell_fold::accept_group(const log_group& group) {
    if (static_cast<std::int64_t>(group.entries.size()) > MAX_GROUP_ENTRIES)
        return false;
    writer_state& last = state_.writers[group.writer];
    if (group.incarnation < last.incarnation)
        return false;
    if (group.incarnation == last.incarnation &&
        group.sequence <= last.sequence)
        return false;
    last = {group.incarnation, group.sequence};
    return true;
}

void cell_fold::apply(std::int64_t offset, std::int64_t time_ms,
                      const std::string& body) {
    if (offset < state_.next_offset)
        return;
    state_.next_offset = offset + 1;
    // The timestamps of the log may go back; the state's time never does.
    state_.now_ms = std::max(state_.now_ms, time_ms);
    log_group group;
    try {
        group = decode_group(body);
    } catch (const decode_error&) {
        ++verdict_counts_["bad_group"];
        return;
    }
    if (!accept_group(group)) {
        ++verdict_counts_["repeated_group"];
        return;
    }
    for (size_t i = 0; i < group.entries.size(); ++i) {
        const entry_context context{
            .position = log_position(offset, static_cast<std::int64_t>(i)),
            .time_ms = state_.now_ms,
            .writer = group.writer};
        const fold_verdict verdict =
            apply_entry(state_, group.entries[i], context);
        ++verdict_counts_[verdict_name(verdict)];
        if (observer_)
            observer_(group.entries[i], context, verdict);
    }
    expire_state(state_);
}

} // namespace rattan
