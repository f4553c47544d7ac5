/** @file Log of runs that hold room although their leases must have ended. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** All leases end earlier than this, those of earlier owners as well. */
constexpr millis OVERDUE_AGE{12'000};
constexpr millis LOG_PERIOD{5000};
constexpr int MAX_LINES = 20; ///< In one period.

std::string_view name_of(run_phase phase) {
    switch (phase) {
    case run_phase::recording:
        return "recording";
    case run_phase::starting:
        return "starting";
    case run_phase::running:
        return "running";
    case run_phase::stopping:
        return "stopping";
    case run_phase::inherited:
        return "inherited";
    case run_phase::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

} // namespace

void owner::log_overdue_runs(const owner_clock& clock) {
    if (clock.now < next_overdue_log_)
        return;
    next_overdue_log_ = clock.now + LOG_PERIOD;
    int lines = 0;
    for (const auto& [id, target] : targets_.all()) {
        if (target.responsive)
            continue;
        for (const auto& [task, run] : target.runs) {
            const millis age =
                clock.now - std::max(run.phase_since, target.clock_received_at);
            if (age < OVERDUE_AGE || ++lines > MAX_LINES)
                continue;
            output_.log("run_overdue", task.step.job,
                        "task=" + std::to_string(task.step.repeat) + "." +
                            std::to_string(task.step.step) + "." +
                            std::to_string(task.index) + " run=" +
                            std::to_string(run.run) + " target=" + id.value +
                            " phase=" + std::string(name_of(run.phase)) +
                            " age_ms=" + std::to_string(age.count()) +
                            " clock_ms=" + std::to_string(target.clock_ms) +
                            " listed=" + (target.listed ? "yes" : "no"));
        }
    }
}

} // namespace rattan::dispatch
