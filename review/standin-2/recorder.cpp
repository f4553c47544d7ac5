#include "recorder.hpp"

#include <chrono>
#include <map>
#include <set>
#include <tuple>

namespace review {

namespace {

using kind = target_event::kind;

const char* name_of(kind what) {
    switch (what) {
    case kind::start:
        return "start";
    case kind::end:
        return "end";
    case kind::crash:
        return "crash";
    case kind::lapse:
        return "lapse";
    case kind::acknowledged:
        return "last_seen";
    }
    return "";
}

/** A run that a target works on. */
struct present_run {
    std::string target;
    std::int64_t born = 0;
    std::int64_t run = 0;
    std::int64_t milli_cores = 0;
};

std::string describe(const target_event& event) {
    return event.task + " run " + std::to_string(event.run) + " on " +
           event.target + " at " + std::to_string(event.at_ms);
}

/** Follows which runs are present; calls `on_start` before each start. */
template <typename OnStart>
void follow_runs(const std::vector<target_event>& events, OnStart on_start) {
    std::multimap<std::string, present_run> present; // By task.
    for (const target_event& event : events) {
        if (event.what == kind::start) {
            on_start(event, present);
            present.emplace(event.task,
                            present_run{event.target, event.born, event.run,
                                        event.milli_cores});
            continue;
        }
        for (auto at = present.begin(); at != present.end();) {
            const present_run& run = at->second;
            const bool same_process =
                run.target == event.target && run.born == event.born;
            const bool over = same_process && (event.what == kind::crash ||
                                               (event.what == kind::end &&
                                                at->first == event.task &&
                                                run.run == event.run));
            at = over ? present.erase(at) : std::next(at);
        }
    }
}

} // namespace

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void recorder::note(const std::string& line) {
    const std::lock_guard lock(mutex_);
    out_ << unix_ms() << " " << line << std::endl;
}

void recorder::add(const target_event& event) {
    const std::lock_guard lock(mutex_);
    out_ << event.at_ms << " target " << event.target << " born " << event.born
         << " " << name_of(event.what);
    if (!event.task.empty())
        out_ << " " << event.task << " run " << event.run;
    if (!event.how.empty())
        out_ << " " << event.how;
    if (event.sequence > 0)
        out_ << " number " << event.sequence;
    out_ << "\n";
    events_.push_back(event);
}

std::vector<target_event> recorder::events() const {
    const std::lock_guard lock(mutex_);
    return events_;
}

std::vector<std::string> find_twice(const std::vector<target_event>& events) {
    std::vector<std::string> out;
    // Ends `done` that were taken note of without a lapse before that.
    struct pending_end {
        std::int64_t sequence = 0;
        std::size_t index = 0;
    };
    std::map<std::pair<std::string, std::int64_t>, std::vector<pending_end>>
        pending;
    std::set<std::size_t> noted;
    for (std::size_t i = 0; i < events.size(); ++i) {
        const target_event& event = events[i];
        auto& ends = pending[{event.target, event.born}];
        if (event.what == kind::end && event.how == "done")
            ends.push_back({event.sequence, i});
        if (event.what == kind::lapse || event.what == kind::crash)
            ends.clear();
        if (event.what == kind::acknowledged)
            std::erase_if(ends, [&](const pending_end& end) {
                if (end.sequence > event.sequence)
                    return false;
                noted.insert(end.index);
                return true;
            });
    }
    std::map<std::string, std::size_t> done; // First noted end of each task.
    for (const std::size_t index : noted)
        done.try_emplace(events[index].task, index);
    follow_runs(events, [&](const target_event& start, const auto& present) {
        const auto [first, last] = present.equal_range(start.task);
        for (auto at = first; at != last; ++at)
            out.push_back("at the same time: " + describe(start) +
                          ", while run " + std::to_string(at->second.run) +
                          " is on " + at->second.target);
        const auto ended = done.find(start.task);
        if (ended == done.end())
            return;
        const target_event& end = events[ended->second];
        if (end.at_ms < start.at_ms)
            out.push_back("after its end: " + describe(start) + ", run " +
                          std::to_string(end.run) + " ended done on " +
                          end.target + " at " + std::to_string(end.at_ms));
    });
    return out;
}

usage_peak find_usage_peak(const std::vector<target_event>& events) {
    usage_peak peak;
    follow_runs(events, [&](const target_event& start, const auto& present) {
        std::int64_t sum = start.milli_cores;
        for (const auto& [task, run] : present)
            sum += run.milli_cores;
        if (sum > peak.milli_cores)
            peak = {sum, start};
    });
    return peak;
}

} // namespace review
