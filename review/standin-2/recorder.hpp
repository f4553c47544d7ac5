/** @file What clients sent and got, and what targets did, with times. */
#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** Unix time in milliseconds. */
std::int64_t unix_ms();

/** Something that a target did. */
struct target_event {
    enum class kind { start, end, crash, lapse, acknowledged };
    kind what = kind::start;
    std::int64_t at_ms = 0;
    std::string target;
    std::int64_t born = 0; ///< Process of the target.
    std::string task;
    std::int64_t run = 0;
    std::string how;           ///< Of an end: `done`, `failed`, ...
    std::int64_t sequence = 0; ///< Of an end, or the highest acknowledged.
    std::int64_t milli_cores = 0;
};

/** Writes all events to a file and keeps those of the targets. */
class recorder {
public:
    explicit recorder(const std::string& file) : out_(file) {}

    void note(const std::string& line);
    void add(const target_event& event);
    [[nodiscard]] std::vector<target_event> events() const;

private:
    mutable std::mutex mutex_;
    std::ofstream out_;
    std::vector<target_event> events_;
};

/**
 * Violations of the rule TWICE: two runs of a task at the same time, or a start
 * after a run ended `done` whose end is taken note of without a lapse of the
 * lease in between.
 */
std::vector<std::string> find_twice(const std::vector<target_event>& events);

/** Highest processor demand of the tasks of jobs that ran at a start. */
struct usage_peak {
    std::int64_t milli_cores = 0;
    target_event at;
};
usage_peak find_usage_peak(const std::vector<target_event>& events);

} // namespace review
