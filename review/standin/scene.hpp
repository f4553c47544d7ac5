/** @file A small deployment of separate processes, and the record of a case. */
#pragma once

#include "harness_http.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** A run on a runner, from the runners' own output. */
struct seen_run {
    std::string runner;
    std::int64_t number = 0;
    std::int64_t begin = 0; ///< Steady time in ms.
    std::int64_t end = 0;   ///< Of its end, its runner's death or the case.
    std::string how;        ///< Empty: its runner died, or it runs on.
};

struct scene_options {
    int hosts = 6; ///< Entry hosts, spread over three zones.
    int runners = 16;
    std::int64_t cpu = 8'000; ///< Of each runner, in thousandths.
    int max_attempts = 4;
};

/**
 * Entry hosts in three zones, a store and runners. All processes are
 * children of this one and end with it.
 */
class scene {
public:
    scene(const std::string& record_file, scene_options options);
    ~scene();
    scene(const scene&) = delete;
    scene& operator=(const scene&) = delete;

    /** Starts everything and waits until a job has completed. */
    void start();

    void start_front(int host);
    void start_runner(int runner);
    /** Sends a signal to an entry host or a runner; SIGKILL also reaps it. */
    void signal_front(int host, int signal);
    void signal_runner(int runner, int signal);
    /** Waits until the store has a newer entry of a runner than `born`. */
    void wait_for_entry(int runner, std::int64_t after_born);
    [[nodiscard]] std::int64_t entry_born(int runner);

    rattan::standin::blocking_response call(int host, const std::string& method,
                                            const std::string& queue,
                                            const std::string& job,
                                            const std::string& body = "");
    /** Submits a job through any host until it is accepted. */
    std::string submit(const std::string& queue, const nlohmann::json& steps,
                       const std::string& spec);
    /** State from any host that answers; empty without an answer. */
    std::string state(const std::string& queue, const std::string& job);
    /** Calls a path of the store's admin address or of a runner. */
    void store_admin(const std::string& path, const std::string& body = "");
    void runner_admin(int runner, const std::string& path);
    void put_config(int version, bool with_plan = true);
    /** The entry host that owns the cell by its dump; 0 if none does. */
    int owner();

    /** Runs by task, from the runners' output so far. */
    [[nodiscard]] std::map<std::string, std::vector<seen_run>> runs();

    void note(const nlohmann::json& line);
    /**
     * Starts entry hosts again 0.4 s after they have ended by themselves.
     * @return How often each host has done so up to now.
     */
    const std::map<int, int>& restart_ended_fronts();
    /** Writes all runs so far to the record. */
    void note_runs();
    bool wait_until(std::int64_t ms, const std::function<bool()>& done,
                    std::int64_t pause_ms = 100);
    [[nodiscard]] static std::string runner_name(int runner);
    [[nodiscard]] static bool trouble();

private:
    pid_t spawn(const std::vector<std::string>& command, const std::string& log,
                const std::string& settings);

    std::ofstream record_;
    std::mutex record_mutex_;
    scene_options options_;
    std::string prefix_;
    std::filesystem::path work_dir_;
    std::map<std::string, pid_t> pids_;
    std::map<int, std::vector<std::int64_t>> deaths_; ///< By runner.
    std::map<int, int> own_ends_;                     ///< By entry host.
    std::map<int, std::int64_t> start_again_;         ///< When, by entry host.
    int next_job_ = 0;
    std::mutex job_mutex_;
};

void sleep_ms(std::int64_t ms);

/** Exit statuses of a case. */
constexpr int HELD = 0;
constexpr int BROKEN = 1;
constexpr int COULD_NOT_RUN = 2;

} // namespace review
