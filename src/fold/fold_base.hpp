/** @file Folds the log's records into the cell's state. */
#pragma once

#include "fold/fold_cmd.hpp"
#include "rattan/cell_type.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace rattan {

/** Called after each entry, whether it took effect or not. */
using entry_observer =
    std::function<void(const log_entry&, const entry_context&, fold_verdict)>;

/** The one fold: the same records give the same state in every process. */
class cell_fold {
public:
    [[nodiscard]] const cell_state& state() const { return state_; }

    /** Starts from a state that was folded elsewhere. */
    void restore(cell_state state) { state_ = std::move(state); }

    /** Sets who is told of each entry. */
    void observe(entry_observer observer) { observer_ = std::move(observer); }

    /**
     * Folds one record of the log. Bad records change nothing but the offset.
     * @pre `offset` is `state().next_offset` or follows it; records before
     *      it are passed over.
     */
    void apply(std::int64_t offset, std::int64_t time_ms,
               const std::string& body);

    /** Verdicts and bad records so far, by name. */
    [[nodiscard]] const std::map<std::string, std::uint64_t>&
    verdict_counts() const {
        return verdict_counts_;
    }

private:
    /** Tells whether a group is new, and notes it. */
    bool take_group(const log_group& group);

    cell_state state_;
    entry_observer observer_;
    std::map<std::string, std::uint64_t> verdict_counts_;
};

} // namespace rattan
