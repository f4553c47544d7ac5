#include "cases.hpp"

#include <iostream>

namespace review {

using nlohmann::json;

namespace {

constexpr int TARGETS = 7; ///< One of them is 0.143 of all.
constexpr int WORK_MS = 25'000;
/** An order without an answer is carried out 2 to 12 s later. */
constexpr int DELAY_MS = 9000;
constexpr int DOWN_MS = 5000; ///< Of a crash, if nothing else is said.
/** From the job's acceptance to the crash; a start waits 350 ms. */
constexpr int CRASH_AFTER_MS = 200;

} // namespace

outcome run_late_start(const case_options& options) {
    deployment cell({.program = options.program,
                     .record_file = options.record_file,
                     .targets = TARGETS,
                     .plan = [](const std::string&, const std::string&) {
                         return task_plan{.works_ms = WORK_MS,
                                          .milli_cores = 1000};
                     }});
    std::this_thread::sleep_for(std::chrono::seconds(4));
    if (options.trouble)
        cell.in_loop([&] {
            for (int i = 0; i < TARGETS; ++i)
                cell.target(i).delay_next_start(millis(DELAY_MS));
        });
    const json step = {
        {"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", WORK_MS}};
    const json job = {{"taskSpec", "work"}, {"jobSteps", {step}}};
    if (!cell.submit(job_name(1), job))
        return outcome::not_run;
    int delayed = -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(CRASH_AFTER_MS));
    if (options.trouble) {
        cell.in_loop([&] {
            for (int i = 0; i < TARGETS; ++i) {
                if (!cell.target(i).start_delayed())
                    delayed = i;
                cell.target(i).delay_next_start(millis(0));
            }
            if (delayed >= 0)
                cell.target(delayed).crash();
        });
        if (delayed < 0)
            return outcome::not_run;
        std::this_thread::sleep_for(std::chrono::milliseconds(DOWN_MS));
        cell.in_loop([&] { cell.target(delayed).start_again(); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(16));
    std::vector<target_event> events;
    cell.in_loop([&] { events = cell.record().events(); });
    const auto broken = find_twice(events);
    for (const std::string& line : broken)
        cell.record().note("TWICE: " + line);
    const std::string result =
        std::to_string(broken.size()) + " starts broke TWICE";
    cell.record().note(result);
    std::cout << result << "\n";
    return broken.empty() ? outcome::held : outcome::broken;
}

} // namespace review
