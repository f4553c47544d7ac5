#include "cases.hpp"

#include <iostream>

namespace review {

using nlohmann::json;

namespace {

constexpr int TARGETS = 7; ///< One of them is 0.143 of all.
constexpr int CORES = 8;
constexpr std::int64_t TASK_MILLI_CORES = 1000;
constexpr int WORK_MS = 3000;
/** A period of the flapping; down for half of it. */
constexpr int PERIOD_MS = 1400;
constexpr int FLAP_MS = 6500;
const std::string LASTS = "lasts";

json job_of(const std::string& text, int tasks, bool lasts) {
    json step = {{"count", tasks},
                 {"cpu", TASK_MILLI_CORES},
                 {"memMb", 100},
                 {"estimateMs", WORK_MS}};
    if (lasts)
        step["longLived"] = true;
    return {{"taskSpec", text}, {"jobSteps", {step}}};
}

} // namespace

outcome run_flap(const case_options& options) {
    deployment cell(
        {.program = options.program,
         .record_file = options.record_file,
         .targets = TARGETS,
         .plan = [](const std::string&, const std::string& payload) {
             return task_plan{.works_ms = payload == LASTS ? 0 : WORK_MS,
                              .milli_cores = TASK_MILLI_CORES};
         }});
    // Tasks that last take all room but that of one target.
    if (!cell.submit(job_name(1), job_of(LASTS, (TARGETS - 1) * CORES, true)))
        return outcome::not_run;
    int idle = -1;
    const bool full = deployment::wait_for(
        [&] {
            int runs = 0;
            cell.in_loop([&] {
                for (int i = 0; i < TARGETS; ++i) {
                    const auto here = static_cast<int>(cell.target(i).runs());
                    runs += here;
                    if (here == 0)
                        idle = i;
                }
            });
            return runs == (TARGETS - 1) * CORES;
        },
        10'000);
    if (!full || idle < 0)
        return outcome::not_run;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::int64_t began_ms = unix_ms();
    if (!cell.submit(job_name(2), job_of("work", 1, false)))
        return outcome::not_run;
    for (int cycle = 0; (cycle + 1) * PERIOD_MS <= FLAP_MS; ++cycle) {
        std::this_thread::sleep_for(
            std::chrono::milliseconds(PERIOD_MS - PERIOD_MS / 2));
        if (options.trouble)
            cell.in_loop([&] { cell.target(idle).crash(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(PERIOD_MS / 2));
        if (options.trouble)
            cell.in_loop([&] { cell.target(idle).start_again(); });
    }
    cell.record().note("the flapping is over after " +
                       std::to_string(unix_ms() - began_ms) + " ms");
    std::string state;
    deployment::wait_for(
        [&] {
            state = cell.state(1, job_name(2));
            return state == "completed" || state == "failed";
        },
        20'000);
    std::vector<target_event> events;
    cell.in_loop([&] { events = cell.record().events(); });
    int failed_ends = 0;
    for (const target_event& event : events)
        failed_ends +=
            event.what == target_event::kind::end && event.how == "failed" ? 1
                                                                           : 0;
    const std::string result = "state of the job: " + state + "; " +
                               std::to_string(failed_ends) +
                               " runs ended `failed`";
    cell.record().note(result);
    std::cout << result << "\n";
    // Only ends `failed` count as attempts, and there were none.
    return state == "completed" ? outcome::held : outcome::broken;
}

} // namespace review
