/** @file Applies the records of the log to the cell's state. */
#pragma once

#include "fold/fold_cmd.hpp"
#include "rattan/cell_type.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace rattan {

/** Called after each entry, whatever its verdict. */
using entry_observer =
    std::function<void(const log_entry&, const entry_context&, fold_verdict)>;

/**
 * The replicated state machine of a cell, a left fold over the log. It is
 * deterministic: the same records give the same state in every process.
 */
class cell_fold {
public:
    [[nodiscard]] const cell_state& state() const { return state_; }

    /** Replaces the state, for example by that of a snapshot. */
    void restore(cell_state state) { state_ = std::move(state); }

    void observe(entry_observer observer) { observer_ = std::move(observer); }

    /**
     * Applies one record of the log. An unreadable or repeated record only
     * advances the offset and the time; a record before
     * `state().next_offset` is ignored.
     */
    void apply(std::int64_t offset, std::int64_t time_ms,
               const std::string& body);

    /** Number of entries by verdict, and of skipped groups by reason. */
    [[nodiscard]] const std::map<std::string, std::uint64_t>&
    verdict_counts() const {
        return verdict_counts_;
    }

private:
    /** Accepts a group unless it is too large or a repeat. */
    bool accept_group(const log_group& group);

    cell_state state_;
    entry_observer observer_;
    std::map<std::string, std::uint64_t> verdict_counts_;
};

} // namespace rattan
