#include "dispatch/target_book.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rattan::dispatch {

resources room_taken(const resources& each, bool filling) {
    resources out = each;
    if (filling)
        out.milli_cores = 0;
    return out;
}

target_state& target_book::enlist(const target_entry& entry) {
    target_state& target = targets_[entry.id];
    target.entry = entry;
    target.listed = true;
    return target;
}

void target_book::delist(const target_id& id) {
    if (target_state* target = find(id))
        target->listed = false;
}

void target_book::sweep() {
    std::erase_if(targets_, [](const auto& item) {
        const target_state& target = item.second;
        return !target.listed && target.runs.empty() && !target.looking;
    });
}

run_entry& target_book::add_run(target_state& target, const task_id& task,
                                run_entry run) {
    assert(!target.runs.contains(task));
    target.used += room_taken(run.each, run.filling);
    if (run.filling)
        target.filling_cores += run.each.milli_cores;
    usage_[run.organisation] += run.each;
    return target.runs[task] = std::move(run);
}

void target_book::remove_run(target_state& target, const task_id& task) {
    const auto found = target.runs.find(task);
    if (found == target.runs.end())
        return;
    const run_entry& run = found->second;
    target.used -= room_taken(run.each, run.filling);
    if (run.filling)
        target.filling_cores -= run.each.milli_cores;
    usage_[run.organisation] -= run.each;
    target.runs.erase(found);
}

void target_book::set_clock(target_state& target, std::int64_t clock_ms,
                            mono_time now) {
    if (clock_ms <= 0)
        return;
    target.clock_ms = clock_ms;
    target.clock_at = now;
}

bool target_book::lapsed(const target_state& target, mono_time now,
                         millis margin) {
    const double passed =
        static_cast<double>((now - target.clock_at - margin).count()) *
        SLOWEST_CLOCK;
    return static_cast<double>(target.clock_ms) + passed >
           static_cast<double>(target.until_ms);
}

resources target_book::usage(const organisation_id& organisation) const {
    const auto found = usage_.find(organisation);
    return found == usage_.end() ? resources{} : found->second;
}

target_state* target_book::find(const target_id& id) {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace rattan::dispatch
