#include "dispatch/crash_suspects.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace rattan::dispatch {

namespace {

/** A run that its target has reported for this long has survived its start. */
constexpr millis PROVEN_AFTER{1000};
/** The same for a task with `MIN_CRASHES` on record; also clears any task. */
constexpr millis CLEARED_AFTER{10'000};
/**
 * A task is convicted after this many crashes under runs that had begun, if it
 * alone is to blame for `MIN_SOLE_CRASHES`. One of the runs may have ended
 * unseen, on a target that was silent before it crashed.
 */
constexpr int MIN_CRASHES = 3;
constexpr int MIN_SOLE_CRASHES = 2;
/**
 * A task is convicted on any grounds after this many crashes, if
 * `MIN_BEGUN_CRASHES` were under runs that had begun. Specified by the users: a
 * task is started at most twice more after `MIN_CRASHES`.
 */
constexpr int MAX_CRASHES = 5;
/** Specified by the users: the fewest crashes for which a task is given up. */
constexpr int MIN_BEGUN_CRASHES = 2;
/** Longest wait of a suspect for a target that it shares with no other. */
constexpr millis MAX_SUSPECT_WAIT{1000};
/** Longest wait of a grave suspect for a target without unproven runs. */
constexpr millis MAX_GRAVE_SUSPECT_WAIT{2500};
/**
 * A target that is still listed this long after its runs were lost has not
 * crashed: its entry would have been removed.
 */
constexpr millis MAX_UNRESOLVED{15'000};

/**
 * If this many targets, and one in `TARGETS_PER_LOST` of all, gave their last
 * answers within this time, runs that had survived their start are not to
 * blame.
 */
constexpr std::size_t MIN_LOST_TARGETS = 5;
constexpr std::size_t TARGETS_PER_LOST = 8;
constexpr millis LOST_TOGETHER{1200};
/** If one target in this many was lost together, no task is alone to blame. */
constexpr std::size_t TARGETS_PER_MASS_LOST = 5;

/** Number of crashes of a task, by what they show. */
struct crash_count {
    int all = 0;
    int sole = 0;
    int begun = 0;

    void add(const crash_record& crash) {
        ++all;
        sole += crash.blame == crash_blame::sole ? 1 : 0;
        begun += crash.begun ? 1 : 0;
    }

    [[nodiscard]] bool convicts() const {
        return (begun >= MIN_CRASHES && sole >= MIN_SOLE_CRASHES) ||
               (begun >= MIN_BEGUN_CRASHES && all >= MAX_CRASHES);
    }
};

} // namespace

suspicion assess(const std::vector<crash_record>& crashes) {
    crash_count confirmed;
    crash_count all;
    int at_start = 0;
    int blamed = 0;
    for (const crash_record& crash : crashes) {
        all.add(crash);
        if (crash.confirmed)
            confirmed.add(crash);
        at_start += crash.blame == crash_blame::sole ||
                            crash.blame == crash_blame::shared
                        ? 1
                        : 0;
        blamed += crash.blame != crash_blame::none ? 1 : 0;
    }
    if (confirmed.convicts())
        return suspicion::convicted;
    if (all.convicts())
        return suspicion::held;
    if (blamed >= 2 || all.all >= MIN_CRASHES)
        return suspicion::grave_suspect;
    if (at_start > 0 || all.all >= 2)
        return suspicion::suspect;
    return suspicion::none;
}

crash_suspects::crash_suspects(job_table& jobs, target_table& targets,
                               log_function log)
    : jobs_(jobs), targets_(targets), log_(std::move(log)) {}

void crash_suspects::runs_expired(const target_state& target,
                                  const std::vector<task_id>& tasks) {
    if (!target.entry.draining)
        add_records(target, tasks, !target.listed);
}

void crash_suspects::target_listed(const target_state* known,
                                   const target_entry& entry) {
    if (known != nullptr)
        return;
    for (const auto& [id, target] : targets_.all())
        if (!target.responsive && !target.runs.empty() &&
            target.entry.address == entry.address && id != entry.id)
            process_ended(target);
}

void crash_suspects::target_delisted(const target_id& id) {
    const target_state* target = targets_.find(id);
    if (target == nullptr)
        confirm(id);
    else if (!target->responsive)
        process_ended(*target);
}

void crash_suspects::target_answered(const target_state& target,
                                     std::int64_t incarnation) {
    if (incarnation == 0 || incarnation == target.incarnation)
        refute(target.entry.id, target.incarnation, "answered");
}

void crash_suspects::process_ended(const target_state& target) {
    if (target.entry.draining)
        return; // It ended on purpose.
    std::vector<task_id> tasks;
    for (const auto& [task, run] : target.runs)
        tasks.push_back(task);
    add_records(target, tasks, true);
    confirm(target.entry.id);
}

void crash_suspects::add_records(const target_state& target,
                                 const std::vector<task_id>& tasks,
                                 bool confirmed) {
    std::set<task_id> unproven;
    for (const auto& [task, run] : target.runs)
        if (run.phase != run_phase::recording && !proven(task, run))
            unproven.insert(party_of(task));
    const std::size_t lost = lost_together(target);
    const std::size_t all = targets_.all().size();
    if (lost >= MIN_LOST_TARGETS && lost * TARGETS_PER_MASS_LOST >= all)
        mass_lost_at_ = target.clock_received_at;
    // Such a loss shows nothing about a single task.
    const bool in_mass =
        mass_lost_at_ != mono_time{} &&
        std::chrono::abs(mass_lost_at_ - target.clock_received_at) <=
            LOST_TOGETHER;
    const bool with_many =
        lost >= MIN_LOST_TARGETS && lost * TARGETS_PER_LOST >= all;
    for (const task_id& task : tasks) {
        const run_entry& run = target.runs.at(task);
        const job_entry* job = jobs_.find(task.step.job);
        task_entry* entry = jobs_.find(task);
        if (run.phase == run_phase::recording || entry == nullptr ||
            entry->phase == task_phase::done || job->ended())
            continue;
        // It outlives many targets.
        if (run.long_lived && run.survived >= PROVEN_AFTER)
            continue;
        if (with_many && run.survived >= PROVEN_AFTER &&
            entry->crashes.size() < MIN_CRASHES)
            continue;
        const bool known = std::any_of(
            entry->crashes.begin(), entry->crashes.end(),
            [&](const crash_record& crash) { return crash.run == run.run; });
        if (known)
            continue;
        crash_record crash{.target = target.entry.id,
                           .incarnation = target.incarnation,
                           .run = run.run,
                           .confirmed = confirmed,
                           .begun = run.started != mono_time{}};
        if (proven(task, run))
            crash.blame =
                unproven.empty() ? crash_blame::late : crash_blame::none;
        else // An inherited run may have survived under an earlier owner.
            crash.blame = unproven.size() == 1 && !in_mass &&
                                  run.phase != run_phase::inherited
                              ? crash_blame::sole
                              : crash_blame::shared;
        entry->crashes.push_back(crash);
        loss& known_loss = crashed_[target.entry.id];
        known_loss.tasks.insert(task);
        if (!confirmed)
            known_loss.since = {};
        jobs_.mark_changed(task.step.job);
        log(confirmed ? "crash_blamed" : "crash_suspected", task, crash,
            "unproven=" + std::to_string(unproven.size()));
        review(task);
    }
}

std::size_t crash_suspects::lost_together(const target_state& target) const {
    if (target.clock_received_at == mono_time{})
        return 0;
    const auto& all = targets_.all();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const auto& item) {
            const target_state& other = item.second;
            return !other.responsive &&
                   std::chrono::abs(other.clock_received_at -
                                    target.clock_received_at) <= LOST_TOGETHER;
        }));
}

void crash_suspects::confirm(const target_id& target) {
    const auto found = crashed_.find(target);
    if (found == crashed_.end())
        return;
    for (const task_id& task : found->second.tasks) {
        task_entry* entry = jobs_.find(task);
        if (entry == nullptr)
            continue;
        for (crash_record& crash : entry->crashes) {
            if (crash.target != target || std::exchange(crash.confirmed, true))
                continue;
            jobs_.mark_changed(task.step.job);
            log("crash_blamed", task, crash, "");
        }
        review(task);
    }
}

void crash_suspects::refute(const target_id& target, std::int64_t incarnation,
                            std::string_view cause) {
    const auto found = crashed_.find(target);
    if (found == crashed_.end())
        return;
    for (const task_id& task : found->second.tasks) {
        task_entry* entry = jobs_.find(task);
        if (entry == nullptr)
            continue;
        std::erase_if(entry->crashes, [&](const crash_record& crash) {
            if (crash.target != target || crash.incarnation != incarnation)
                return false;
            jobs_.mark_changed(task.step.job);
            log("crash_refuted", task, crash, cause);
            return true;
        });
    }
}

void crash_suspects::review(const task_id& task) {
    if (suspicion_of(task) == suspicion::convicted &&
        convicted_.insert(task).second)
        log("task_convicted", task, jobs_.find(task)->crashes.back(), "");
}

void crash_suspects::log(std::string_view event, const task_id& task,
                         const crash_record& crash,
                         std::string_view cause) const {
    static constexpr const char* BLAME_NAMES[] = {"none", "late", "shared",
                                                  "sole"};
    const auto& crashes = jobs_.find(task)->crashes;
    const auto count = [&](auto selects) {
        return std::to_string(
            std::count_if(crashes.begin(), crashes.end(), selects));
    };
    log_(event, task.step.job,
         "task=" + std::to_string(task.step.repeat) + "." +
             std::to_string(task.step.step) + "." + std::to_string(task.index) +
             " run=" + std::to_string(crash.run) +
             " target=" + crash.target.value +
             " incarnation=" + std::to_string(crash.incarnation) +
             " blame=" + BLAME_NAMES[static_cast<int>(crash.blame)] +
             " crashes=" + std::to_string(crashes.size()) + " confirmed=" +
             count([](const crash_record& c) { return c.confirmed; }) +
             " sole=" + count([](const crash_record& c) {
                 return c.blame == crash_blame::sole;
             }) +
             " begun=" + count([](const crash_record& c) { return c.begun; }) +
             (cause.empty() ? "" : " " + std::string(cause)));
}

void crash_suspects::run_listed(target_state& target,
                                const listed_run& listed) {
    const auto found = target.runs.find(listed.task);
    const step_spec* spec = jobs_.spec(listed.task.step);
    if (found == target.runs.end() || found->second.run != listed.run ||
        spec == nullptr)
        return;
    // The members of a gang start to work when all are present.
    if (spec->gang && listed.percent == 0)
        return;
    run_entry& run = found->second;
    remove_crash_of_listed_run(target, listed);
    if (run.started_clock_ms == 0)
        run.started_clock_ms = target.clock_ms;
    run.survived =
        std::max(run.survived, millis(target.clock_ms - run.started_clock_ms));
    task_entry* task = jobs_.find(listed.task);
    if (task == nullptr || task->crashes.empty() ||
        run.survived < CLEARED_AFTER)
        return;
    log("suspect_cleared", listed.task, task->crashes.back(),
        "survived_ms=" + std::to_string(run.survived.count()));
    task->crashes.clear();
    jobs_.mark_changed(listed.task.step.job);
}

void crash_suspects::remove_crash_of_listed_run(const target_state& target,
                                                const listed_run& listed) {
    task_entry* task = jobs_.find(listed.task);
    if (task == nullptr)
        return;
    std::erase_if(task->crashes, [&](const crash_record& crash) {
        if (crash.target != target.entry.id || crash.run != listed.run)
            return false;
        jobs_.mark_changed(listed.task.step.job);
        log("crash_refuted", listed.task, crash, "run_of_new_process");
        return true;
    });
}

void crash_suspects::job_restored(const job_id& id) {
    const job_entry* job = jobs_.find(id);
    if (job == nullptr || job->ended())
        return;
    for (const auto& [number, repeat] : job->repeats)
        for (size_t s = 0; s < repeat.steps.size(); ++s)
            for (size_t i = 0; i < repeat.steps[s].tasks.size(); ++i) {
                const task_id task{{id, number, static_cast<std::int32_t>(s)},
                                   static_cast<std::int32_t>(i)};
                for (const crash_record& crash :
                     repeat.steps[s].tasks[i].crashes)
                    crashed_[crash.target].tasks.insert(task);
                review(task);
            }
}

void crash_suspects::run_inherited(const target_state& target,
                                   const task_id& task,
                                   std::int64_t incarnation) {
    task_entry& entry = *jobs_.find(task);
    // A run without a trace in the store but its placement may not have begun.
    if (incarnation == 0 || target.incarnation <= incarnation ||
        entry.crashes.empty())
        return;
    const crash_record crash{.target = target.entry.id,
                             .incarnation = incarnation,
                             .run = entry.run,
                             .blame = crash_blame::shared,
                             .confirmed = true};
    const bool known = std::any_of(
        entry.crashes.begin(), entry.crashes.end(),
        [&](const crash_record& other) { return other.run == entry.run; });
    if (known)
        return;
    entry.crashes.push_back(crash);
    crashed_[target.entry.id].tasks.insert(task);
    jobs_.mark_changed(task.step.job);
    log("crash_blamed", task, crash, "inherited");
    review(task);
}

std::vector<job_id> crash_suspects::take_convicted() {
    std::set<job_id> jobs;
    for (const task_id& task : std::exchange(convicted_, {}))
        if (suspicion_of(task) == suspicion::convicted)
            jobs.insert(task.step.job);
    return {jobs.begin(), jobs.end()};
}

void crash_suspects::remove_obsolete() {
    const auto is_obsolete = [this](const target_id& target,
                                    const task_id& task) {
        const job_entry* job = jobs_.find(task.step.job);
        const task_entry* entry = jobs_.find(task);
        return job == nullptr || entry == nullptr || job->ended() ||
               entry->phase == task_phase::done ||
               std::none_of(entry->crashes.begin(), entry->crashes.end(),
                            [&](const crash_record& crash) {
                                return crash.target == target;
                            });
    };
    for (auto& [target, loss] : crashed_)
        std::erase_if(loss.tasks, [&, &id = target](const task_id& task) {
            return is_obsolete(id, task);
        });
    std::erase_if(crashed_,
                  [](const auto& item) { return item.second.tasks.empty(); });
    std::erase_if(waiting_since_, [this](const auto& item) {
        const job_entry* job = jobs_.find(item.first.step.job);
        const task_entry* entry = jobs_.find(item.first);
        return job == nullptr || entry == nullptr || job->ended() ||
               entry->phase != task_phase::waiting;
    });
}

void crash_suspects::begin_round(mono_time now) {
    if (!active() && round_time_ == mono_time{})
        return;
    round_time_ = now;
    for (auto& [id, target] : targets_.all()) {
        target.unproven_runs = 0;
        target.unproven_suspect = false;
        target.exclusive = false;
    }
    remove_obsolete();
    if (!active()) {
        round_time_ = {};
        return;
    }
    for (auto& [id, loss] : crashed_) {
        if (loss.since == mono_time{})
            loss.since = now;
        const target_state* target = targets_.find(id);
        if (target == nullptr || !target->listed ||
            now - loss.since < MAX_UNRESOLVED)
            continue;
        loss.since = now;
        for (const task_id& task : loss.tasks)
            std::erase_if(jobs_.find(task)->crashes,
                          [&, &lost = id](const crash_record& crash) {
                              if (crash.target != lost || crash.confirmed)
                                  return false;
                              jobs_.mark_changed(task.step.job);
                              log("crash_refuted", task, crash, "still_listed");
                              return true;
                          });
    }
    for (auto& [id, target] : targets_.all())
        for (const auto& [task, run] : target.runs)
            if (!proven(task, run))
                placed(target, task);
}

suspicion crash_suspects::suspicion_of(const task_id& task) const {
    const task_entry* entry = jobs_.find(task);
    return entry == nullptr || entry->crashes.empty() ? suspicion::none
                                                      : assess(entry->crashes);
}

bool crash_suspects::accepts(const target_state& target, const task_id& task,
                             suspicion level) const {
    if (level >= suspicion::held)
        return false;
    const auto waiting = waiting_since_.find(task);
    const millis waited = waiting == waiting_since_.end()
                              ? millis(0)
                              : round_time_ - waiting->second;
    if (level == suspicion::grave_suspect)
        return waited > MAX_GRAVE_SUSPECT_WAIT ||
               (target.unproven_runs == 0 && !target.unproven_suspect);
    return waited > MAX_SUSPECT_WAIT || !target.unproven_suspect;
}

target_state* crash_suspects::choose(
    const task_id& task, const std::vector<target_state*>& candidates,
    const std::function<bool(const target_state&)>& has_room) {
    const suspicion level = suspicion_of(task);
    target_state* best = nullptr;
    for (target_state* target : candidates) {
        if (!has_room(*target) || !accepts(*target, task, level))
            continue;
        const auto rank = [&](const target_state& t) {
            // A crash of a grave suspect should affect few other runs.
            return std::pair(t.unproven_runs, level == suspicion::grave_suspect
                                                  ? t.runs.size()
                                                  : 0);
        };
        if (best == nullptr || rank(*target) < rank(*best))
            best = target;
    }
    if (best == nullptr)
        waiting_since_.try_emplace(task, round_time_);
    else
        waiting_since_.erase(task);
    return best;
}

void crash_suspects::select_for_gang(const step_ref& step,
                                     std::vector<target_state*>& candidates) {
    const step_entry* entry = jobs_.find(step);
    suspicion level = suspicion::none;
    for (const task_entry& task : entry->tasks)
        level = std::max(level, assess(task.crashes));
    if (level == suspicion::none)
        return;
    const task_id first{step, 0};
    std::erase_if(candidates, [&](const target_state* target) {
        return !accepts(*target, first, level);
    });
    waiting_since_.try_emplace(first, round_time_);
}

void crash_suspects::placed(target_state& target, const task_id& task) {
    if (!active())
        return;
    const suspicion level = suspicion_of(task);
    ++target.unproven_runs;
    target.unproven_suspect |= level != suspicion::none;
    target.exclusive |= level >= suspicion::grave_suspect;
}

task_id crash_suspects::party_of(const task_id& task) const {
    const step_spec* spec = jobs_.spec(task.step);
    return spec != nullptr && spec->gang ? task_id{task.step, 0} : task;
}

bool crash_suspects::proven(const task_id& task, const run_entry& run) const {
    if (run.survived < PROVEN_AFTER || run.survived >= CLEARED_AFTER)
        return run.survived >= CLEARED_AFTER;
    const task_entry* entry = jobs_.find(task);
    return entry == nullptr || entry->crashes.size() < MIN_CRASHES;
}

} // namespace rattan::dispatch
