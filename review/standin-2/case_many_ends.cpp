#include "cases.hpp"

#include <functional>
#include <iostream>

namespace review {

using nlohmann::json;

namespace {

constexpr int HOSTS = 3;
constexpr int JOBS = 20;
constexpr int TASKS_PER_JOB = 100;
constexpr int TASK_MILLI_CORES = 30;
constexpr int TASK_MEMORY_MIB = 50;
/** The tasks of all jobs end within this time. */
constexpr int END_SPREAD_MS = 800;
constexpr int WORK_MS = 9000;
/** The owner's host stands still from this long after the first end. */
constexpr int FREEZE_AFTER_MS = 30;
constexpr int FREEZE_MS = 4000;

} // namespace

outcome run_many_ends(const case_options& options) {
    const std::int64_t first_end_ms = unix_ms() + 8000 + WORK_MS;
    deployment cell({.program = options.program,
                     .record_file = options.record_file,
                     .hosts = HOSTS,
                     .targets = 2,
                     .milli_cores = 64'000,
                     .memory_mib = 131'072,
                     .plan = [&](const std::string& task, const std::string&) {
                         // All work until a common time, some a bit longer.
                         const auto extra = static_cast<std::int64_t>(
                             std::hash<std::string>()(task) % END_SPREAD_MS);
                         return task_plan{.ends_at_ms = first_end_ms + extra,
                                          .milli_cores = TASK_MILLI_CORES};
                     }});
    const json step = {{"count", TASKS_PER_JOB},
                       {"cpu", TASK_MILLI_CORES},
                       {"memMb", TASK_MEMORY_MIB},
                       {"estimateMs", WORK_MS}};
    for (int i = 0; i < JOBS; ++i)
        if (!cell.submit(job_name(i), {{"taskSpec", "until the cut-off"},
                                       {"jobSteps", {step}}}))
            return outcome::not_run;
    std::size_t most_on_one = 0;
    const bool all_run = deployment::wait_for(
        [&] {
            std::size_t runs = 0;
            most_on_one = 0;
            cell.in_loop([&] {
                for (int i = 0; i < 2; ++i) {
                    runs += cell.target(i).runs();
                    most_on_one = std::max(most_on_one, cell.target(i).runs());
                }
            });
            return runs == JOBS * TASKS_PER_JOB;
        },
        10'000);
    const int owner = cell.owner();
    if (!all_run || owner == 0 || unix_ms() > first_end_ms - 500)
        return outcome::not_run;
    cell.record().note("all tasks run, " + std::to_string(most_on_one) +
                       " on one target; host " + std::to_string(owner) +
                       " is the owner");
    const auto freeze_at = first_end_ms + FREEZE_AFTER_MS;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(freeze_at - unix_ms()));
    if (options.trouble) {
        cell.freeze_host(owner);
        std::this_thread::sleep_for(std::chrono::milliseconds(FREEZE_MS));
        cell.wake_host(owner);
    }
    int completed = 0;
    deployment::wait_for(
        [&] {
            completed = 0;
            for (int i = 0; i < JOBS; ++i)
                completed +=
                    cell.state(1 + i % HOSTS, job_name(i)) == "completed" ? 1
                                                                          : 0;
            return completed == JOBS;
        },
        40'000);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::vector<target_event> events;
    cell.in_loop([&] { events = cell.record().events(); });
    const auto broken = find_twice(events);
    for (const std::string& line : broken)
        cell.record().note("TWICE: " + line);
    const std::string result = std::to_string(broken.size()) +
                               " starts broke TWICE; " +
                               std::to_string(completed) + " of " +
                               std::to_string(JOBS) + " jobs completed";
    cell.record().note(result);
    std::cout << result << "\n";
    return broken.empty() ? outcome::held : outcome::broken;
}

} // namespace review
