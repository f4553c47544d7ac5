/** @file Jobs, runs and targets of the dispatcher. */
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

/** A group of identical tasks that may run in parallel. */
struct step_spec {
    std::int32_t count = 0;
    resources demand;       ///< Resources of one task.
    millis estimate{0};     ///< Run time of a task; may be off by half or more.
    std::vector<int> after; ///< Indices of the steps that this one depends on.
    bool checkpoints = false; ///< Tasks save checkpoints while they run.
    bool gang = false;        ///< All tasks have to run at the same time.
    /** Tasks run slower when spread over several racks. */
    bool same_rack = false;
    /** Several runs of one task may execute at the same time. */
    bool speculation_allowed = false;
    bool long_lived = false;    ///< Tasks run until the job is cancelled.
    bool best_effort = false;   ///< Tasks use only idle processor time.
    std::string required_label; ///< Label of the targets; empty: any.
    /** Rack of the input data, tasks run slower elsewhere; empty: any. */
    std::string preferred_rack;
    std::int32_t max_tasks_per_target = 0; ///< 0: no limit.
    std::string image; ///< Tasks of the same image behave alike.
    /** Of a serving task; 0: not a serving task. */
    millis tail_latency_target{0};
    std::int32_t max_unavailable = 0; ///< 0: no limit.
};

/** Tasks of all steps of one repeat of a job. */
constexpr std::int32_t MAX_TASKS_PER_JOB = 10'000;
/** The progress of so many tasks fits into one record of the store. */
constexpr std::int32_t MAX_TASKS_IN_PROGRESS = 2'500;

/** A job as submitted. */
struct job_spec {
    std::string payload; ///< Passed to each task unchanged.
    std::vector<step_spec> steps;
    std::int32_t repeats = 0; ///< 0: the job runs once, immediately.
    /** Unix time of the first repeat. */
    std::int64_t first_due_ms = 0;
    millis interval{0}; ///< Time between repeats.
};

/** An accepted job as it is stored. */
struct job_record {
    job_id id;
    queue_id queue;
    organisation_id organisation; ///< Empty on anonymous queues.
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Unix time of the accepting host.
};

/** Tells whether a requester may see and cancel the jobs of an organisation. */
inline bool may_access(const organisation_id& requester,
                       const organisation_id& organisation) {
    return organisation.empty() || organisation == requester;
}

/** State of a job as reported to callers. */
enum class job_state {
    pending,   ///< No task has started yet.
    running,   ///< At least one task has started.
    completed, ///< All tasks succeeded.
    failed,    ///< A task used up its attempts.
    cancelled, ///< At a caller's request.
    unknown,   ///< No such job.
};

/** Identifies a step of one repeat of a job. */
struct step_ref {
    job_id job;
    std::int32_t repeat = 0;
    std::int32_t step = 0;

    auto operator<=>(const step_ref&) const = default;
};

/** Identifies a task of a step. */
struct task_id {
    step_ref step;
    std::int32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

/** How a run ended, as reported by its target. */
enum class run_end {
    done,
    failed,  ///< Through a fault of the task or of its target.
    stopped, ///< Stopped by the owner.
    lease_expired,
    gang_broken,     ///< Another member of its gang ended.
    gang_incomplete, ///< The other members of its gang did not start in time.
};

/** A run that a target reports as active. */
struct listed_run {
    task_id task;
    std::int32_t run = 0;
    std::string checkpoint; ///< Empty: no checkpoint.
    std::int32_t percent = 0;
    /**
     * Tail latency in milliseconds of a serving task; otherwise milli-cores in
     * use.
     */
    std::int64_t measurement = 0;
};

/** A run that a target reports as ended. */
struct listed_end {
    /** Rises by one within an incarnation of the target. */
    std::int64_t sequence = 0;
    task_id task;
    std::int32_t run = 0;
    run_end end = run_end::done;
    std::string checkpoint;
};

/** A target's entry in the platform's list of targets. */
struct target_entry {
    target_id id;
    std::string address;
    data_centre_id data_centre;
    service_id service;
    bool draining = false;
    resources capacity;
    std::vector<std::string> labels;
    std::string rack; ///< Empty if no label names one.
    /** Distinguishes successive processes with the same id. */
    std::int64_t incarnation = 0;
};

} // namespace rattan::dispatch

template <>
struct std::hash<rattan::dispatch::step_ref> {
    std::size_t operator()(const rattan::dispatch::step_ref& step) const {
        return std::hash<std::string>()(step.job.value) * 31 +
               static_cast<std::size_t>(step.repeat) * 64 +
               static_cast<std::size_t>(step.step);
    }
};

template <>
struct std::hash<rattan::dispatch::task_id> {
    std::size_t operator()(const rattan::dispatch::task_id& task) const {
        return std::hash<rattan::dispatch::step_ref>()(task.step) * 31 +
               static_cast<std::size_t>(task.index);
    }
};
