/**
 * @file Model check of starts without an answer: all orders of a few faults,
 * played on an owner with two targets.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <tuple>
#include <vector>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

/** What may happen next; at no time passes before the next but in `pass*`. */
enum class action : std::uint8_t {
    pass,           ///< 2 s pass: all but the late starts is answered.
    pass_long,      ///< 16 s pass: no start sent before can arrive.
    restart_first,  ///< The target of the first start has a new process.
    restart_second, ///< The same for the other target.
    silence_first,  ///< The first target can't be reached, or can again.
    owner_change,
    late_start, ///< The oldest start without an answer arrives.
};

struct action_rule {
    const char* name;
    int limit; ///< Occurrences in one history.
};

constexpr std::array<action_rule, 7> RULES{{
    {"2 s pass", 3},
    {"16 s pass", 1},
    {"first target restarts", 2},
    {"second target restarts", 1},
    {"first target falls silent or answers again", 2},
    {"owner changes", 1},
    {"late start arrives", 2},
}};

using history = std::vector<action>;

std::string text_of(const history& steps) {
    std::string out;
    for (const action step : steps)
        out += (out.empty() ? "" : "; ") +
               std::string(RULES[static_cast<size_t>(step)].name);
    return out;
}

/** Kinds of tasks whose starts have no answer. */
enum class work : std::uint8_t { single, gang, lasting };

job_spec job_of(work kind) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = kind == work::gang ? 2 : 1,
                          .demand = {20'000, 100, 0},
                          .estimate = millis(300),
                          .gang = kind == work::gang,
                          .long_lived = kind == work::lasting});
    return spec;
}

/** The scope of a search. */
struct scope {
    work kind = work::single;
    int held = 1; ///< The first starts that have no answer.
};

/** Plays a history; returns what it violates. */
std::string play(const history& steps, const scope& in,
                 start_recovery recovery) {
    simulated_cell cell({.targets = 2,
                         .hosts = 1,
                         .list_delay = millis(1500),
                         .settings = {.scheduling = {.recovery = recovery}},
                         .gangs_end_together = true});
    cell.add_queue({.queue = "direct", .without_advice = true});
    cell.add_organisation("a", 1000);
    millis now{3000};
    job_id job;
    cell.at(now, [&] {
        cell.hold_starts(in.held);
        job = cell.submit("direct", "a", job_of(in.kind));
    });
    now += millis(100);
    cell.run_until(now);
    const int first = cell.starts_on(0) > 0 ? 0 : 1;
    bool silent = false;
    bool started_after_end = false;
    for (const action step : steps) {
        switch (step) {
        case action::pass:
            now += millis(2000);
            break;
        case action::pass_long:
            now += millis(16'000);
            break;
        case action::restart_first:
            cell.restart_target(first);
            break;
        case action::restart_second:
            cell.restart_target(1 - first);
            break;
        case action::silence_first:
            silent = !silent;
            cell.set_silent(first, silent);
            break;
        case action::owner_change:
            cell.restart_owner();
            break;
        case action::late_start: {
            const auto runs = cell.runs_of(job);
            cell.deliver_held_start();
            started_after_end |=
                cell.end_reported(job) && cell.runs_of(job) > runs;
            break;
        }
        }
        cell.run_until(now);
    }
    cell.set_silent(first, false);
    cell.run_until(now + millis(45'000));
    std::string out;
    if (cell.overlapping_held_runs() != 0)
        out += " two runs at the same time";
    if (cell.starts_after_held_success() != 0 || started_after_end)
        out += " a run after the end of the task";
    if (cell.overcommitted_starts() != 0)
        out += " more runs than a target has room for";
    if (in.kind == work::lasting ? cell.runs_of(job) != 1
                                 : cell.state_of(job) != job_state::completed)
        out += " a task that never runs";
    return out;
}

/** Tells whether a history can differ from all that are played before it. */
bool worth_playing(const history& steps) {
    std::array<int, RULES.size()> count{};
    for (const action step : steps)
        if (++count[static_cast<size_t>(step)] >
            RULES[static_cast<size_t>(step)].limit)
            return false;
    // Nothing more is to be seen after the last late start but time.
    return steps.back() == action::late_start ||
           steps.back() == action::owner_change;
}

/** Extends a history by each action, in their order. */
bool advance(history& steps) {
    for (auto position = steps.rbegin(); position != steps.rend(); ++position) {
        if (*position != action::late_start) {
            *position = static_cast<action>(static_cast<int>(*position) + 1);
            return true;
        }
        *position = action::pass;
    }
    return false;
}

struct finding {
    history steps; ///< Empty: none.
    std::string violated;
    int played = 0;
};

/** Searches all histories in the order of their length. */
finding search(const scope& in, start_recovery recovery,
               std::size_t max_steps) {
    finding out;
    for (std::size_t length = 1; length <= max_steps; ++length) {
        history steps(length, action::pass);
        do {
            if (!worth_playing(steps))
                continue;
            ++out.played;
            out.violated = play(steps, in, recovery);
            if (!out.violated.empty()) {
                out.steps = steps;
                return out;
            }
        } while (advance(steps));
    }
    return out;
}

/** Length of the longest histories; less where the code runs slowly. */
std::size_t max_steps() {
    const char* number = std::getenv("RECOVERY_MODEL_STEPS");
    return number == nullptr ? 6 : std::stoul(number);
}

/** Kind of the tasks, and the starts that have no answer. */
using parameters = std::tuple<work, int>;

class start_recovery_model : public ::testing::TestWithParam<parameters> {
protected:
    static scope in_scope() {
        const auto& [kind, held] = GetParam();
        return {.kind = kind, .held = held};
    }
};

std::string work_name(const ::testing::TestParamInfo<parameters>& info) {
    constexpr std::array NAMES{"single", "gang", "lasting"};
    const auto& [kind, held] = info.param;
    return std::string(NAMES[static_cast<size_t>(kind)]) + "_" +
           std::to_string(held) + "_unanswered";
}

} // namespace

// Guards against a wait that some order of faults gets round.
TEST_P(start_recovery_model, no_history_breaks_a_rule_with_wait) {
    const finding found = search(in_scope(), start_recovery::wait, max_steps());
    EXPECT_TRUE(found.steps.empty())
        << text_of(found.steps) << ":" << found.violated;
    RecordProperty("histories", found.played);
}

// The shortest counterexamples of the other policies. Guards against a model
// that can't show the fault.
TEST_P(start_recovery_model, shortest_counterexample_of_the_other_policies) {
    constexpr std::size_t LONGEST = 5;
    const work kind = std::get<work>(GetParam());
    // A task that lasts runs on the same target until that restarts.
    const std::string race = "first target restarts; late start arrives";
    const std::string first = kind == work::lasting
                                  ? "first target restarts; 2 s pass; "
                                  : "2 s pass; ";
    const std::string if_silent =
        kind == work::lasting ? "2 s pass; " + first : first;
    EXPECT_EQ(
        text_of(search({.kind = kind}, start_recovery::retry, LONGEST).steps),
        first + race);
    EXPECT_EQ(
        text_of(search({.kind = kind}, start_recovery::wait_if_silent, LONGEST)
                    .steps),
        if_silent + race);
}

INSTANTIATE_TEST_SUITE_P(all, start_recovery_model,
                         ::testing::Combine(::testing::Values(work::single,
                                                              work::gang,
                                                              work::lasting),
                                            ::testing::Values(1, 2)),
                         work_name);
