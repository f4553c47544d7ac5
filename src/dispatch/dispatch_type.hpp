/** @file Jobs, queues and targets as the dispatcher sees them. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rattan::dispatch {

using queue_id = strong_name<struct queue_tag>;
using organisation_id = strong_name<struct organisation_tag>;
using service_id = strong_name<struct service_tag>;
using target_id = strong_name<struct target_tag>;

/** Tasks of one kind that run side by side. */
struct step_spec {
    std::int32_t count = 0;
    resources demand;         ///< Asked for by one task.
    millis estimate{0};       ///< Rough; may be off by half and more.
    std::vector<int> after;   ///< Earlier steps that must be done first.
    bool checkpoints = false; ///< Saves its progress while it runs.
    bool gang = false;        ///< Works only while all tasks are present.
    bool same_rack = false;   ///< Slower when spread over several racks.
    bool speculation_allowed = false; ///< Several runs of a task may overlap.
    bool long_lived = false;          ///< Runs until cancelled.
    bool best_effort = false;   ///< Takes processor time that others leave.
    std::string required_label; ///< Empty: any target.
    std::string preferred_rack; ///< Rack of the data; slower elsewhere.
    std::int32_t max_tasks_per_target =
        0;                            ///< Most tasks on one target; 0: any.
    std::string image;                ///< Tasks of one image behave alike.
    millis tail_latency_target{0};    ///< Of a serving task; 0: none.
    std::int32_t max_unavailable = 0; ///< 0: no limit.
};

/** What a caller hands in. */
struct job_spec {
    std::string payload; ///< Handed to each task unchanged.
    std::vector<step_spec> steps;
    std::int32_t repeats = 0;      ///< 0: runs once, at once.
    std::int64_t first_due_ms = 0; ///< Unix time of the first repeat.
    millis interval{0};            ///< Between repeats.
};

/** A job as it is kept in the store. */
struct job_record {
    job_id id;
    queue_id queue;
    organisation_id organisation; ///< Empty on open queues.
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Unix time at the accepting host.
};

/** What a caller is shown. */
enum class job_state {
    pending,   ///< No task has started.
    running,   ///< A task has started.
    completed, ///< All tasks ended well.
    failed,    ///< A task failed too often.
    cancelled, ///< On a caller's word.
    unknown,   ///< There is no such job.
};

/** A step of one repeat of a job. */
struct step_ref {
    job_id job;
    std::int32_t repeat = 0;
    std::int32_t step = 0;

    auto operator<=>(const step_ref&) const = default;
};

/** A task of a step. */
struct task_id {
    step_ref step;
    std::int32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

/** How a run ended, as its target lists it. */
enum class run_end {
    done,
    failed,          ///< Through its own fault or its target's.
    stopped,         ///< On our order.
    lease_expired,   ///< Its lease ran out.
    gang_broken,     ///< Another member of its gang ended.
    gang_incomplete, ///< The other members did not come in time.
};

/** A run that a target lists as present. */
struct listed_run {
    task_id task;
    std::int32_t run = 0;
    std::string checkpoint; ///< Empty: none.
    std::int32_t percent = 0;
    /** Tail in milliseconds of a serving task; else milli-cores in use. */
    std::int64_t measurement = 0;
};

/** A run that a target lists as ended. */
struct listed_end {
    std::int64_t sequence = 0; ///< Rises by one within a life of the target.
    task_id task;
    std::int32_t run = 0;
    run_end end = run_end::done;
    std::string checkpoint;
};

/** A target as it describes itself in the platform's list. */
struct target_entry {
    target_id id;
    std::string address;
    data_centre_id data_centre;
    service_id service;
    bool draining = false;
    resources capacity;
    std::vector<std::string> labels;
    std::string rack;             ///< Empty when no label names one.
    std::int64_t incarnation = 0; ///< Tells lives of one id apart.
};

} // namespace rattan::dispatch

template <>
struct std::hash<rattan::dispatch::step_ref> {
    std::size_t operator()(const rattan::dispatch::step_ref& step) const {
        return std::hash<std::string>()(step.job.value) * 31 +
               static_cast<std::size_t>(step.repeat * 64 + step.step);
    }
};
