/** @file Random histories of restarts and other faults, without a network. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <tuple>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 5;
constexpr int FAULTS_END_MS = 22'000;

/** Faults that occur besides restarts. */
enum fault : unsigned {
    OWNER_CHANGES = 1,
    SILENT_TARGETS = 2,
    STORE_OUTAGES = 4,
    LOST_START_ANSWERS = 8,
    ALL_FAULTS = 15,
    LAGGING_LIST = 16,
    LATE_STARTS = 32,
};

job_spec random_job(std::minstd_rand& random) {
    const auto draw = [&random](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
    };
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = draw(1, 5),
                          .demand = {1000 * draw(2, 12), 100, 0},
                          .estimate = millis(draw(5, 1500))});
    spec.steps[0].gang = draw(0, 3) == 0;
    return spec;
}

/** One history; returns what was violated in it. */
std::string play(std::uint32_t seed, unsigned faults,
                 start_recovery recovery = start_recovery::retry) {
    std::minstd_rand random(seed * 2654435761U + faults);
    const auto draw = [&random](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
    };
    simulated_cell cell(
        {.seed = seed,
         .targets = TARGETS,
         .list_delay = millis(faults & LAGGING_LIST ? draw(5000, 12'000)
                                                    : draw(10, 2500)),
         .settings = {.scheduling = {.recovery = recovery}}});
    cell.add_queue({.queue = "direct", .without_advice = true});
    cell.add_queue({.queue = "lasting", .without_advice = true});
    cell.add_queue({.queue = "advised",
                    .advice = {1, 0.01, millis(2500)},
                    .eligible_share = 1});
    cell.add_organisation("a", 1000);
    job_spec lasting{.payload = "p"};
    lasting.steps.push_back(
        {.count = 3, .demand = {1000, 100, 0}, .long_lived = true});
    job_id lasting_job;
    cell.at(millis(500),
            [&] { lasting_job = cell.submit("lasting", "a", lasting); });
    for (int at = 1000; at < FAULTS_END_MS; at += draw(20, 200)) {
        const std::string queue = draw(0, 1) == 0 ? "direct" : "advised";
        cell.at(millis(at), [&cell, queue, spec = random_job(random)] {
            cell.submit(queue, "a", spec);
        });
    }
    for (int at = 1500; at < FAULTS_END_MS; at += draw(50, 1500)) {
        const int target = draw(0, TARGETS - 1);
        cell.at(millis(at), [&cell, target] { cell.restart_target(target); });
    }
    if (faults & SILENT_TARGETS)
        for (int at = 2000; at < FAULTS_END_MS; at += draw(500, 3000)) {
            const int target = draw(0, TARGETS - 1);
            cell.at(millis(at),
                    [&cell, target] { cell.set_silent(target, true); });
            cell.at(millis(at + draw(50, 7000)),
                    [&cell, target] { cell.set_silent(target, false); });
        }
    if (faults & OWNER_CHANGES)
        for (int at = 3000; at < FAULTS_END_MS; at += draw(500, 6000))
            cell.at(millis(at), [&cell] { cell.restart_owner(); });
    if (faults & STORE_OUTAGES)
        for (int at = 3000; at < FAULTS_END_MS; at += draw(3000, 6000)) {
            cell.at(millis(at), [&cell] { cell.set_store_down(true); });
            cell.at(millis(at + draw(20, 2500)),
                    [&cell] { cell.set_store_down(false); });
        }
    if (faults & LOST_START_ANSWERS)
        for (int at = 3000; at < FAULTS_END_MS; at += draw(500, 3000)) {
            cell.at(millis(at), [&cell] { cell.drop_start_answers(true); });
            cell.at(millis(at + draw(10, 400)),
                    [&cell] { cell.drop_start_answers(false); });
        }
    if (faults & LATE_STARTS)
        for (int at = 3000; at < FAULTS_END_MS; at += draw(500, 3000)) {
            cell.at(millis(at), [&cell] { cell.delay_starts(0.3); });
            cell.at(millis(at + draw(10, 400)),
                    [&cell] { cell.delay_starts(0); });
        }
    cell.run_until(millis(FAULTS_END_MS + 60'000));
    std::string out;
    const auto report = [&out](const std::string& what, std::size_t count) {
        if (count != 0)
            out += " " + what + "=" + std::to_string(count);
    };
    report("overlapping",
           static_cast<std::size_t>(cell.overlapping_held_runs()));
    report("after_success",
           static_cast<std::size_t>(cell.starts_after_held_success()));
    report("overcommitted",
           static_cast<std::size_t>(cell.overcommitted_starts()));
    report("in_reached_process",
           static_cast<std::size_t>(cell.starts_in_reached_process()));
    for (const char* queue : {"direct", "advised"}) {
        const job_outcome result = cell.queue_result(queue);
        report(std::string("not_ended_") + queue,
               static_cast<std::size_t>(result.jobs - result.ended -
                                        result.given_up));
    }
    // A job may be given up if two targets crashed under one of its tasks.
    if (cell.runs_of(lasting_job) != 3 &&
        !cell.given_up_with_cause(lasting_job))
        out += " lasting=" + std::to_string(cell.runs_of(lasting_job));
    for (const auto& [id, target] : cell.owner_under_test().targets().all()) {
        const int index = std::stoi(id.value.substr(1)) - 100;
        if (target.runs.size() != cell.runs_on(index))
            out += " runs_of_" + id.value + "=" +
                   std::to_string(target.runs.size()) + "/" +
                   std::to_string(cell.runs_on(index));
    }
    return out;
}

/** Seeds per set of faults; more in a longer search. */
std::uint32_t seeds() {
    const char* number = std::getenv("RESTART_HISTORY_SEEDS");
    return number == nullptr ? 20
                             : static_cast<std::uint32_t>(std::stoi(number));
}

/** A set of faults and a seed. */
using history = std::tuple<unsigned, std::uint32_t>;

/** Each history is a test, so that a failing one can be listed by itself. */
class restart_history : public ::testing::TestWithParam<history> {
protected:
    static std::string play_with(unsigned further_faults) {
        const auto& [faults, seed] = GetParam();
        return play(seed, faults | further_faults);
    }
};

/** The same histories; tasks wait after starts without an answer. */
class restart_history_waiting : public restart_history {};

std::string history_name(const ::testing::TestParamInfo<history>& info) {
    const auto& [faults, seed] = info.param;
    return "faults" + std::to_string(faults) + "_seed" + std::to_string(seed);
}

} // namespace

// Restarts with each combination of other faults. Guards against tasks that run
// twice or never, and against capacity that is never freed.
TEST_P(restart_history, keeps_the_rules_under_random_faults) {
    EXPECT_EQ(play_with(0), "");
}

// The same with a list that shows restarts after 5 to 12 s. Guards against
// leases of a process not yet known that end earlier for the owner than there.
TEST_P(restart_history, keeps_the_rules_while_the_list_lags) {
    EXPECT_EQ(play_with(LAGGING_LIST), "");
}

// The same with start orders that arrive 3 s later. Guards against orders that
// reach a process other than the one that confirmed the stop.
TEST_P(restart_history, keeps_the_rules_with_late_starts) {
    EXPECT_EQ(play_with(LATE_STARTS), "");
}

// The same late starts; an owner has no answer to some of its starts, or has
// taken over from one that had none. Guards against tasks that run again before
// all starts of theirs have arrived or are void.
TEST_P(restart_history_waiting, keeps_the_rules_with_late_starts) {
    const auto& [faults, seed] = GetParam();
    EXPECT_EQ(play(seed, faults | LATE_STARTS, start_recovery::wait), "");
}

INSTANTIATE_TEST_SUITE_P(
    all, restart_history_waiting,
    ::testing::Combine(::testing::Range(0U, ALL_FAULTS + 1U),
                       ::testing::Range(std::uint32_t{1}, seeds() + 1)),
    history_name);

INSTANTIATE_TEST_SUITE_P(
    all, restart_history,
    ::testing::Combine(::testing::Range(0U, ALL_FAULTS + 1U),
                       ::testing::Range(std::uint32_t{1}, seeds() + 1)),
    history_name);
