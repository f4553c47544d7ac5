/**
 * @file Each allocation of the owner has an end: an answer of its target, a
 * stop, or the end of its lease.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr millis LEASE{3500};
/** The platform drops the entry of a silent target after this time. */
constexpr millis DELISTING_TIME{4500};
/** Leases, their margins and the timeouts of polls are over after this time. */
constexpr millis SETTLING_TIME{15'000};

request_kind check_requests() {
    return {.queue = "checks",
            .per_second = 4,
            .advice = {19, 0.28, millis(2500)},
            .eligible_share = 1};
}

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed, int targets) {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.seed = seed, .targets = targets});
    made->add_queue(check_requests());
    made->add_organisation("a", 1000);
    return made;
}

job_spec long_lived_job(int count) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = count, .demand = {1000, 100, 0}, .long_lived = true});
    return spec;
}

job_spec gang_job(int count, millis estimate) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = count,
                          .demand = {8000, 100, 0},
                          .estimate = estimate,
                          .gang = true});
    return spec;
}

std::string describe(const target_id& target, const task_id& task,
                     std::int32_t run) {
    return task.step.job.value + "." + std::to_string(task.step.step) + "." +
           std::to_string(task.index) + "#" + std::to_string(run) + "@" +
           target.value;
}

/** Runs that the owner counts and that no target has. */
std::vector<std::string> runs_without_target(simulated_cell& cell) {
    std::vector<std::string> out;
    for (const auto& [id, target] : cell.owner_under_test().targets().all())
        for (const auto& [task, run] : target.runs)
            if (!cell.has_run(id, task, run.run))
                out.push_back(describe(id, task, run.run));
    return out;
}

/** Tasks of ready steps that run nowhere although a target has room. */
std::vector<std::string> tasks_not_started(simulated_cell& cell) {
    const owner& owner = cell.owner_under_test();
    const auto has_room = [&](const resources& demand) {
        const auto& all = owner.targets().all();
        return std::any_of(all.begin(), all.end(), [&](const auto& item) {
            return cell.usable(item.first) &&
                   demand.fits_in(cell.free_capacity(item.first));
        });
    };
    std::vector<std::string> out;
    for (const auto& [id, job] : owner.jobs().all()) {
        if (job.ended())
            continue;
        for (const auto& [repeat_number, repeat] : job.repeats)
            for (std::size_t s = 0; s < repeat.steps.size(); ++s) {
                const step_entry& step = repeat.steps[s];
                if (!step.ready || !has_room(job.record.spec.steps[s].demand))
                    continue;
                for (std::size_t i = 0; i < step.tasks.size(); ++i) {
                    const task_entry& task = step.tasks[i];
                    const task_id name{
                        {id, repeat_number, static_cast<std::int32_t>(s)},
                        static_cast<std::int32_t>(i)};
                    if (task.phase == task_phase::done ||
                        (task.phase == task_phase::placed &&
                         cell.has_run(task.target, name, task.run)))
                        continue;
                    out.push_back(describe(task.target, name, task.run));
                }
            }
    }
    return out;
}

void expect_settled(simulated_cell& cell, std::uint32_t seed) {
    EXPECT_EQ(runs_without_target(cell), std::vector<std::string>())
        << "seed " << seed;
    EXPECT_EQ(tasks_not_started(cell), std::vector<std::string>())
        << "seed " << seed;
    EXPECT_EQ(cell.overlapping_runs(), 0) << "seed " << seed;
    EXPECT_EQ(cell.overcommitted_starts(), 0) << "seed " << seed;
}

/** Indices of the targets on which the owner counts a run of a job. */
std::vector<int> targets_of(simulated_cell& cell, const job_id& job,
                            int targets) {
    std::vector<int> out;
    for (int i = 0; i < targets; ++i) {
        const auto& all = cell.owner_under_test().targets().all();
        const auto found = all.find(simulated_cell::target_name(i));
        if (found != all.end() &&
            std::any_of(
                found->second.runs.begin(), found->second.runs.end(),
                [&](const auto& item) { return item.first.step.job == job; }))
            out.push_back(i);
    }
    return out;
}

} // namespace

namespace {

/**
 * A target of a gang and the owner are lost at once. The other members tell the
 * new owner that the gang is broken, and it orders the stop of the lost member
 * on a target that never answers it.
 * @param listed The target is in the platform's list when the owner changes.
 */
void lose_gang_member_and_owner(std::uint32_t seed, bool listed) {
    constexpr int TARGETS = 16;
    auto cell = make_cell(seed, TARGETS);
    const job_id job = cell->submit("checks", "a", gang_job(6, millis(60'000)));
    cell->run_until(millis(4000));
    ASSERT_EQ(cell->runs_of(job), 6U);
    const std::vector<int> used = targets_of(*cell, job, TARGETS);
    ASSERT_GT(used.size(), 1U);
    cell->lose_target(used.front());
    cell->break_gangs(job);
    if (!listed)
        cell->set_listed(used.front(), false);
    cell->restart_owner();
    cell->run_until(millis(4000) + DELISTING_TIME);
    cell->set_listed(used.front(), false);
    cell->run_until(millis(4000) + DELISTING_TIME + SETTLING_TIME);
    expect_settled(*cell, seed);
    EXPECT_EQ(cell->runs_of(job), 6U) << "seed " << seed;
}

} // namespace

// Guards against a stop that lasts for ever.
TEST(allocation_end, stop_on_target_that_never_answered_the_owner_ends) {
    for (std::uint32_t seed = 1; seed <= 4; ++seed)
        lose_gang_member_and_owner(seed, true);
}

// The same if the target has left the list, so the owner has no address of it.
TEST(allocation_end, stop_on_target_without_address_ends) {
    for (std::uint32_t seed = 1; seed <= 4; ++seed)
        lose_gang_member_and_owner(seed, false);
}

// A start order has no answer. Its target restarts under its id and is lost for
// good before it answers. Guards against a run that is kept for ever because
// the clock of the target's new process is not known.
TEST(allocation_end, unanswered_start_on_target_lost_after_restart_ends) {
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        constexpr int TARGETS = 8;
        auto cell = make_cell(seed, TARGETS);
        cell->run_until(millis(3000));
        for (int i = 0; i < TARGETS / 2; ++i)
            cell->set_silent(i, true);
        const job_id job = cell->submit("checks", "a", long_lived_job(60));
        cell->run_until(millis(3250));
        const std::vector<int> used = targets_of(*cell, job, TARGETS);
        ASSERT_FALSE(used.empty());
        ASSERT_LT(used.front(), TARGETS / 2);
        cell->run_until(millis(4500));
        for (int i = 0; i < TARGETS / 2; ++i) {
            cell->lose_target(i);
            cell->set_listed(i, true); // The entry of its new process.
        }
        cell->run_until(millis(4500) + DELISTING_TIME);
        for (int i = 0; i < TARGETS / 2; ++i)
            cell->set_listed(i, false);
        cell->run_until(millis(4500) + DELISTING_TIME + SETTLING_TIME);
        expect_settled(*cell, seed);
        EXPECT_EQ(cell->runs_of(job), 60U) << "seed " << seed;
    }
}

namespace {

/** Faults of a random history. */
enum class history_fault {
    silence,
    loss,
    loss_after_restart,
    restart,
    owner_change,
    store_outage,
    lost_answers,
    delayed_starts
};

void apply_fault(simulated_cell& cell, history_fault fault, int target,
                 millis at, millis duration) {
    switch (fault) {
    case history_fault::silence:
        cell.at(at, [&cell, target] { cell.set_silent(target, true); });
        cell.at(at + duration,
                [&cell, target] { cell.set_silent(target, false); });
        break;
    case history_fault::loss:
        cell.at(at, [&cell, target] { cell.lose_target(target); });
        cell.at(at + DELISTING_TIME,
                [&cell, target] { cell.set_listed(target, false); });
        break;
    case history_fault::loss_after_restart:
        cell.at(at, [&cell, target] { cell.set_silent(target, true); });
        cell.at(at + duration, [&cell, target] {
            cell.lose_target(target);
            cell.set_listed(target, true);
        });
        cell.at(at + duration + DELISTING_TIME,
                [&cell, target] { cell.set_listed(target, false); });
        break;
    case history_fault::restart:
        cell.at(at, [&cell, target] { cell.lose_target(target); });
        cell.at(at + duration, [&cell, target] {
            cell.set_silent(target, false);
            cell.set_listed(target, true);
        });
        break;
    case history_fault::owner_change:
        cell.at(at, [&cell] { cell.restart_owner(); });
        break;
    case history_fault::store_outage:
        cell.at(at, [&cell] { cell.set_store_down(true); });
        cell.at(at + duration, [&cell] { cell.set_store_down(false); });
        break;
    case history_fault::lost_answers:
        cell.at(at, [&cell] { cell.drop_start_answers(true); });
        cell.at(at + duration, [&cell] { cell.drop_start_answers(false); });
        break;
    case history_fault::delayed_starts:
        cell.at(at, [&cell] { cell.delay_starts(0.3); });
        cell.at(at + duration, [&cell] { cell.delay_starts(0); });
        break;
    }
}

/**
 * Plays a random history of the given faults, then checks that nothing is left
 * behind once they are over. Each target has one fault at most.
 */
void play_history(std::uint32_t seed,
                  const std::vector<history_fault>& faults) {
    constexpr int TARGETS = 24;
    constexpr int FAULTS = 10;
    constexpr millis FAULTS_END{20'000};
    constexpr millis MAX_DURATION{4000};
    std::mt19937 random(seed);
    const auto draw = [&](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
    };
    auto cell = make_cell(seed, TARGETS);
    cell->submit_from(check_requests(), "a", millis(2000), FAULTS_END);
    cell->submit("checks", "a", long_lived_job(30));
    for (int i = 0; i < 3; ++i) {
        const job_id gang =
            cell->submit("checks", "a", gang_job(6, millis(120'000)));
        // A loss that breaks a gang is noticed by the other members.
        for (int second = 4; second <= 20; ++second)
            cell->at(millis(second * 1000), [&cell, gang] {
                if (cell->runs_of(gang) < 6)
                    cell->break_gangs(gang);
            });
    }
    for (int i = 0; i < FAULTS; ++i)
        apply_fault(*cell,
                    faults[static_cast<std::size_t>(
                        draw(0, static_cast<int>(faults.size()) - 1))],
                    i, millis(draw(3000, 20'000 - 4000)),
                    millis(draw(200, static_cast<int>(MAX_DURATION.count()))));
    cell->run_until(FAULTS_END + DELISTING_TIME + LEASE + SETTLING_TIME);
    expect_settled(*cell, seed);
}

} // namespace

// Guards against allocations without an end under any order of these faults,
// which take room and hold back tasks that could run.
TEST(allocation_end, no_allocation_outlives_lost_targets_and_owners) {
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
        play_history(seed,
                     {history_fault::silence, history_fault::loss,
                      history_fault::owner_change, history_fault::owner_change,
                      history_fault::store_outage, history_fault::lost_answers,
                      history_fault::delayed_starts});
}

// The same with targets that restart under their ids, some of which are lost
// for good afterwards.
TEST(allocation_end, no_allocation_outlives_restarted_targets) {
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
        play_history(seed,
                     {history_fault::silence, history_fault::loss_after_restart,
                      history_fault::restart, history_fault::loss,
                      history_fault::owner_change, history_fault::lost_answers,
                      history_fault::delayed_starts});
}
