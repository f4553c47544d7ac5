/** @file Choice of targets by expected end (`scheduling.placement`). */
#include "dispatch/owner_base.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace rattan::dispatch {

namespace {

/** Between two computations of the speeds of all targets. */
constexpr millis RANKING_PERIOD{50};
/** Between two lines with the speeds of all kinds. */
constexpr millis SPEED_LOG_PERIOD{10'000};
/** Between two checks of the runs that go on at a target. */
constexpr millis UNFINISHED_PERIOD{200};
/**
 * A target this much slower than the others gets no work: the wait for another
 * one is likely to be shorter.
 */
constexpr double AVOIDED_SLOWNESS = 2;
/**
 * If more than one target in this many is that slow, they are used: the cell
 * needs their capacity.
 */
constexpr std::size_t TARGETS_PER_AVOIDED = 8;
/** Objectives of a lower stretch are missed on the slow kind. */
constexpr double MIN_SLACK_STRETCH = 1.9;
/** A step with shorter tasks is quick and has no slack. */
constexpr millis MIN_SLACK_ESTIMATE{2000};
/**
 * Factor of the expected time, since half of all tasks take 1.5 times their
 * estimate or longer.
 */
constexpr double SLACK_MARGIN = 1.5;
/** The tasks of a step that one target gets if others are as fast. */
constexpr std::int32_t MIN_TASKS_TOGETHER = 2;

} // namespace

void owner::update_speeds(mono_time now) {
    if (now < next_ranking_)
        return;
    next_ranking_ = now + RANKING_PERIOD;
    speeds_.begin_round(now);
    std::size_t avoided = 0;
    for (target_state* target : schedulable_) {
        target->speed = speeds_.expected(target->entry, now);
        target->avoided = target->speed.slow_itself &&
                          target->speed.slowness >=
                              AVOIDED_SLOWNESS * target->speed.kind_slowness;
        avoided += target->avoided ? 1 : 0;
    }
    if (avoided * TARGETS_PER_AVOIDED > schedulable_.size())
        for (target_state* target : schedulable_)
            target->avoided = false;
    if (now < next_speed_log_ || placed_by_class_.empty())
        return;
    next_speed_log_ = now + SPEED_LOG_PERIOD;
    std::string line = speeds_.describe(now) + " starts_by_class=";
    for (const auto& [level, starts] : placed_by_class_)
        line += std::to_string(level) + ":" + std::to_string(starts) + ",";
    line.pop_back();
    placed_by_class_.clear();
    output_.log("target_speeds", {}, line);
}

void owner::record_speed(const target_state& target, const run_entry& run,
                         const task_id& task, mono_time now) {
    const step_spec* spec = jobs_.spec(task.step);
    // A run that resumed from a checkpoint took only a part of its time, and
    // the start of one of an earlier owner is not known.
    if (!settings_.scheduling.place_by_expected_end || spec == nullptr ||
        !run.timed || run.best_effort || run.long_lived || spec->gang ||
        (spec->checkpoints && run.run > 1))
        return;
    speeds_.add(task.step, target.entry,
                std::chrono::duration_cast<millis>(now - run.started), now);
}

void owner::record_unfinished(target_state& target, mono_time now) {
    if (!settings_.scheduling.place_by_expected_end ||
        now < target.next_unfinished_check)
        return;
    target.next_unfinished_check = now + UNFINISHED_PERIOD;
    for (const auto& [task, run] : target.runs) {
        const step_spec* spec = jobs_.spec(task.step);
        if (spec != nullptr && !spec->gang && run.phase == run_phase::running &&
            run.timed && !run.best_effort && !run.long_lived)
            speeds_.add_unfinished(
                task.step, target.entry,
                std::chrono::duration_cast<millis>(now - run.started), now);
    }
}

owner::speed_preference owner::preferred_speed(const runnable_step& step,
                                               const owner_clock& clock) const {
    const step_spec& spec = *step.spec;
    if (spec.best_effort)
        return speed_preference::none;
    // Too late to be of value, or without an end: others use a fast target
    // better.
    constexpr int WORTHLESS = 2;
    if (spec.long_lived || step.lateness >= WORTHLESS)
        return speed_preference::slow;
    const auto [least, most] =
        std::minmax_element(config_.queues.begin(), config_.queues.end(),
                            [](const queue_config& a, const queue_config& b) {
                                return a.priority < b.priority;
                            });
    const bool urgent =
        least->priority != most->priority && step.priority <= least->priority;
    if (urgent || step.queue->stretch < MIN_SLACK_STRETCH ||
        spec.estimate < MIN_SLACK_ESTIMATE)
        return speed_preference::fast;
    // Ended tasks show the error of the estimate.
    const millis longest = jobs_.find(step.ref.job)
                               ->repeats.at(step.ref.repeat)
                               .steps[static_cast<size_t>(step.ref.step)]
                               .longest_run_time;
    const millis remaining =
        step.remaining + std::max(millis(0), longest - spec.estimate);
    const double expected_ms = SLACK_MARGIN * speeds_.slowest_kind() *
                               static_cast<double>(remaining.count());
    return expected_ms <= static_cast<double>(step.due_ms - clock.wall_ms)
               ? speed_preference::slow
               : speed_preference::none;
}

int owner::advice_rank(speed_preference preference,
                       const target_state& target) const {
    const int level = speed_class(target.speed.kind_slowness);
    switch (preference) {
    case speed_preference::fast:
        return level == 0 && !target.speed.slow_itself ? 0 : 1;
    case speed_preference::slow:
        return level == speed_class(speeds_.slowest_kind()) ? 0 : 1;
    case speed_preference::none:
        break;
    }
    return 0;
}

int owner::slowest_placed(const runnable_step& step) {
    const step_entry& entry = *jobs_.find(step.ref);
    int out = -1;
    if (entry.waiting + entry.done ==
        static_cast<std::int32_t>(entry.tasks.size()))
        return out;
    for (const task_entry& task : entry.tasks)
        if (task.phase == task_phase::placed)
            if (const target_state* target = targets_.find(task.target))
                out = std::max(out, speed_class(target->speed.kind_slowness));
    return out;
}

std::vector<target_state*>
owner::order_by_expected_end(const runnable_step& step,
                             std::vector<target_state*>& candidates,
                             const owner_clock& clock) {
    struct ranked_target {
        bool unproven = false;
        bool avoid_rack = false;
        int rank = 0;
        bool far = false;
        std::int64_t room = 0; ///< Best fit first.
        target_state* target = nullptr;
        std::int32_t slots = 0;
        int level = 0; ///< Class of the expected end.

        [[nodiscard]] auto group() const {
            return std::tuple(unproven, avoid_rack, rank, far);
        }
        bool operator<(const ranked_target& other) const {
            return std::tuple(group(), room, target->entry.id) <
                   std::tuple(other.group(), other.room,
                              other.target->entry.id);
        }
    };
    if (candidates.empty())
        return {};
    const step_spec& spec = *step.spec;
    const speed_preference preference = preferred_speed(step, clock);
    const std::int32_t waiting = jobs_.find(step.ref)->waiting;
    std::vector<ranked_target> ranked;
    ranked.reserve(candidates.size());
    std::map<int, std::int32_t> slots_by_level;
    for (target_state* target : candidates) {
        const bool far = !spec.preferred_rack.empty() &&
                         target->entry.rack != spec.preferred_rack;
        const double slowness =
            target->speed.slowness *
            (far ? std::max(1.0, settings_.remote_factor) : 1.0);
        const std::int64_t room = target->free_resources().milli_cores;
        ranked.push_back({.unproven = target->unproven_suspect,
                          // The price of distance is unknown.
                          .avoid_rack = far && settings_.remote_factor <= 1,
                          .far = far,
                          .room = spec.best_effort ? -room : room,
                          .target = target,
                          .slots = free_slots(step, *target),
                          .level = speed_class(slowness)});
        slots_by_level[ranked.back().level] += ranked.back().slots;
    }
    // A step ends with its slowest task. If only slow targets have room for all
    // of them, the faster ones are left to steps that fit there as a whole.
    int needed_level = -1;
    if (preference == speed_preference::fast && !spec.gang) {
        std::int32_t slots = 0;
        for (const auto& [level, count] : slots_by_level)
            if ((slots += count) >= waiting) {
                needed_level = level;
                break;
            }
        needed_level = std::max(needed_level, slowest_placed(step));
    }
    for (ranked_target& item : ranked) {
        const expected_speed& speed = item.target->speed;
        switch (preference) {
        case speed_preference::fast:
            item.rank = item.level <= needed_level ? needed_level - item.level
                                                   : item.level;
            break;
        case speed_preference::slow:
            item.rank = speed.slow_itself ? item.level
                                          : -speed_class(speed.kind_slowness);
            break;
        case speed_preference::none:
            item.rank = speed.slow_itself ? 1 : 0;
            break;
        }
    }
    std::sort(ranked.begin(), ranked.end());
    candidates.clear();
    for (const ranked_target& item : ranked)
        candidates.push_back(item.target);
    // One target gets about half of the tasks if others are as fast. That
    // bounds what is lost if it turns slow, and leaves other runs to compare
    // with; more spreading would break up the room for large tasks.
    std::vector<target_state*> slots;
    if (spec.gang)
        return slots;
    const std::int32_t together =
        std::max(MIN_TASKS_TOGETHER, (spec.count + 1) / 2);
    const auto wanted = static_cast<std::size_t>(waiting);
    for (auto group = ranked.begin();
         group != ranked.end() && slots.size() < wanted;) {
        auto end = group;
        while (end != ranked.end() && end->group() == group->group())
            ++end;
        const auto add = [&](std::int32_t most) {
            for (auto item = group; item != end; ++item)
                for (std::int32_t n = std::min(item->slots, most);
                     n > 0 && slots.size() < wanted; --n, --item->slots)
                    slots.push_back(item->target);
        };
        add(together);
        add(std::numeric_limits<std::int32_t>::max());
        group = end;
    }
    return slots;
}

std::vector<target_state*>
owner::fastest_for_gang(const runnable_step& step,
                        const std::vector<target_state*>& candidates,
                        const owner_clock& clock) const {
    const auto count = static_cast<std::size_t>(step.spec->count);
    const auto collect = [&](const std::string* rack) {
        std::vector<target_state*> out;
        for (target_state* target : candidates) {
            if (rack != nullptr && target->entry.rack != *rack)
                continue;
            for (std::int32_t n = free_slots(step, *target);
                 n > 0 && out.size() < count; --n)
                out.push_back(target);
        }
        if (out.size() < count)
            out.clear();
        return out;
    };
    const bool fast = preferred_speed(step, clock) == speed_preference::fast;
    // All members end together, with the slowest one.
    const auto level = [&](const std::vector<target_state*>& members,
                           double factor) {
        int out = 0;
        for (const target_state* member : members)
            if (fast || member->speed.slow_itself)
                out =
                    std::max(out, speed_class(member->speed.slowness * factor));
        return out;
    };
    std::vector<target_state*> best;
    if (step.spec->same_rack) {
        std::set<std::string> racks;
        for (const target_state* target : candidates)
            racks.insert(target->entry.rack);
        for (const std::string& rack : racks) {
            std::vector<target_state*> members = collect(&rack);
            if (!members.empty() &&
                (best.empty() || level(members, 1) < level(best, 1)))
                best = std::move(members);
        }
    }
    std::vector<target_state*> spread = collect(nullptr);
    const double remote = settings_.remote_factor;
    const bool spread_ends_first = fast && remote > 1 && !spread.empty() &&
                                   level(spread, remote) < level(best, 1);
    return best.empty() || spread_ends_first ? spread : best;
}

} // namespace rattan::dispatch
