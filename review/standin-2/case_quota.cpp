#include "cases.hpp"

#include <iostream>

namespace review {

using nlohmann::json;

namespace {

constexpr int TARGETS = 7; ///< One of them is 0.143 of all.
constexpr int TASKS = 8;
constexpr std::int64_t TASK_MILLI_CORES = 1000;
constexpr std::int64_t MAX_MILLI_CORES = TASKS * TASK_MILLI_CORES;
constexpr double QUOTA_OVERAGE = 0.1;
constexpr int CUT_MS = 5500;
constexpr int CANCEL_AFTER_MS = 300;
constexpr int STOP_AFTER_MS = 900;

json job_of(const char* text) {
    const json step = {{"count", TASKS},
                       {"cpu", TASK_MILLI_CORES},
                       {"memMb", 100},
                       {"estimateMs", 20'000}};
    return {{"taskSpec", text}, {"jobSteps", {step}}};
}

} // namespace

outcome run_quota(const case_options& options) {
    deployment cell({.program = options.program,
                     .record_file = options.record_file,
                     .targets = TARGETS,
                     .max_milli_cores = MAX_MILLI_CORES,
                     .plan = [](const std::string&, const std::string&) {
                         return task_plan{.works_ms = 20'000,
                                          .milli_cores = TASK_MILLI_CORES};
                     }});
    if (!cell.submit(job_name(1), job_of("first")))
        return outcome::not_run;
    int busy = -1;
    const bool placed = deployment::wait_for(
        [&] {
            cell.in_loop([&] {
                for (int i = 0; i < TARGETS; ++i)
                    if (cell.target(i).runs() == TASKS)
                        busy = i;
            });
            return busy >= 0;
        },
        5000);
    const int owner = cell.owner();
    // The second job waits until the first one is over.
    if (!placed || owner == 0 || !cell.submit(job_name(2), job_of("second")))
        return outcome::not_run;
    std::this_thread::sleep_for(std::chrono::seconds(1));
    if (options.trouble)
        cell.in_loop([&] { cell.target(busy).set_cut(true); });
    const std::int64_t cut_at_ms = unix_ms();
    std::this_thread::sleep_for(std::chrono::milliseconds(CANCEL_AFTER_MS));
    const int other = 1 + owner % 3;
    if (cell.call(other, "DELETE", job_name(1)).status != 200)
        return outcome::not_run;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(cut_at_ms + STOP_AFTER_MS - unix_ms()));
    cell.terminate_host(owner);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(cut_at_ms + CUT_MS - unix_ms()));
    if (options.trouble)
        cell.in_loop([&] { cell.target(busy).set_cut(false); });
    cell.wait_for_exit(owner);
    cell.start_host(owner);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::vector<target_event> events;
    cell.in_loop([&] { events = cell.record().events(); });
    const usage_peak peak = find_usage_peak(events);
    const auto allowed = static_cast<std::int64_t>(
        static_cast<double>(MAX_MILLI_CORES) * (1 + QUOTA_OVERAGE) +
        static_cast<double>(TASK_MILLI_CORES));
    const std::string result =
        "most that ran at a start: " + std::to_string(peak.milli_cores) +
        " thousandths of a core, by the start of " + peak.at.task + " at " +
        std::to_string(peak.at.at_ms) + "; allowed " + std::to_string(allowed);
    cell.record().note(result);
    std::cout << result << "\n";
    return peak.milli_cores > allowed ? outcome::broken : outcome::held;
}

} // namespace review
