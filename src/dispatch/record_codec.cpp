#include "dispatch/record_codec.hpp"

#include "base/address_func.hpp"
#include "base/json_input_func.hpp"
#include "rattan/error_type.hpp"
#include "rattan/json_func.hpp"

#include <limits>
#include <map>
#include <utility>

namespace rattan::dispatch {

using nlohmann::json;

namespace {

constexpr std::int64_t MAX_INTEGER = std::int64_t{1} << 50U;
constexpr std::int64_t MAX_COUNT = 1 << 30; ///< Of tasks or runs.
constexpr size_t MAX_JOB_ID_BYTES = 128;
/** Tasks of all repeats in progress; bounds the memory that a record takes. */
constexpr std::int64_t MAX_RESTORED_TASKS = 100'000;

/** Whole number at an index of a list. @throw decode_error. */
std::int64_t integer_at(const json& row, size_t index, std::int64_t high) {
    const auto number = whole_number(row.at(index), 0, high);
    if (!number)
        throw decode_error("element " + std::to_string(index) + " is " +
                           excerpt(row.at(index)) +
                           "; it must be a whole number from 0 to " +
                           std::to_string(high));
    return *number;
}

std::int32_t small_integer_at(const json& row, size_t index,
                              std::int64_t high) {
    return static_cast<std::int32_t>(integer_at(row, index, high));
}

job_state state_at(const json& row, size_t index) {
    return static_cast<job_state>(integer_at(
        row, index, static_cast<std::int64_t>(job_state::cancelled)));
}

/** Address of a host; empty is allowed if `optional`. @throw decode_error. */
std::string address_at(const json& row, size_t index, bool optional) {
    std::string address = row.at(index).get<std::string>();
    if (!is_address(address) && !(optional && address.empty()))
        throw decode_error("address \"" + excerpt(std::string_view(address)) +
                           "\" is not an IP number and a port from 1 to " +
                           std::to_string(MAX_PORT));
    return address;
}
/** Position of the memory in a member's record; earlier versions end here. */
constexpr std::size_t MEMORY_FIELD = 4;
/** Position of the leases in the record of an owner that has resigned. */
constexpr std::size_t LEASES_FIELD = 4;
/** Position of the wait for starts; leases without it end before. */
constexpr std::size_t STARTS_FIELD = 2;

/** Runs a decoder and converts its exceptions to `decode_error`. */
template <typename Decode>
auto decoding(const char* what, const std::string& text, Decode decode) {
    try {
        const json in = parse_json(text);
        if (in.is_discarded())
            throw decode_error("not JSON of at most " +
                               std::to_string(MAX_JSON_DEPTH) + " levels");
        return decode(in);
    } catch (const std::exception& failure) {
        throw decode_error(std::string("malformed stored ") + what + ": " +
                           failure.what());
    }
}

json encode_step(const step_spec& step) {
    return json::array(
        {step.count, step.demand.milli_cores, step.demand.memory_mib,
         step.demand.accelerators, step.estimate.count(), step.after,
         step.checkpoints, step.gang, step.same_rack, step.speculation_allowed,
         step.long_lived, step.best_effort, step.required_label,
         step.preferred_rack, step.max_tasks_per_target, step.image,
         step.tail_latency_target.count(), step.max_unavailable});
}

/** Decodes a list of whole numbers. */
std::vector<std::int32_t> decode_numbers(const json& row, std::int64_t high) {
    std::vector<std::int32_t> out;
    out.reserve(row.size());
    for (size_t i = 0; i < row.size(); ++i)
        out.push_back(small_integer_at(row, i, high));
    return out;
}

step_spec decode_step(const json& row, size_t number) {
    return {.count = small_integer_at(row, 0, MAX_TASKS_PER_JOB),
            .demand = {.milli_cores = integer_at(row, 1, MAX_INTEGER),
                       .memory_mib = integer_at(row, 2, MAX_INTEGER),
                       .accelerators = integer_at(row, 3, MAX_INTEGER)},
            .estimate = millis(integer_at(row, 4, MAX_INTEGER)),
            .after = decode_numbers(row.at(5),
                                    static_cast<std::int64_t>(number) - 1),
            .checkpoints = row.at(6).get<bool>(),
            .gang = row.at(7).get<bool>(),
            .same_rack = row.at(8).get<bool>(),
            .speculation_allowed = row.at(9).get<bool>(),
            .long_lived = row.at(10).get<bool>(),
            .best_effort = row.at(11).get<bool>(),
            .required_label = row.at(12).get<std::string>(),
            .preferred_rack = row.at(13).get<std::string>(),
            .max_tasks_per_target = small_integer_at(row, 14, MAX_COUNT),
            .image = row.at(15).get<std::string>(),
            .tail_latency_target = millis(integer_at(row, 16, MAX_INTEGER)),
            .max_unavailable = small_integer_at(row, 17, MAX_COUNT)};
}

/** Position of the crashes in a task's row; rows without crashes end here. */
constexpr size_t CRASHES_COLUMN = 7;
/** Position of `confirmed`; rows of tasks that are not so end before. */
constexpr size_t CONFIRMED_COLUMN = 8;
/** Position of `begun` in a crash's row; earlier versions end here. */
constexpr size_t BEGUN_COLUMN = 5;

json encode_crashes(const std::vector<crash_record>& crashes) {
    json rows = json::array();
    for (const crash_record& crash : crashes)
        rows.push_back(json::array({crash.target, crash.incarnation, crash.run,
                                    static_cast<int>(crash.blame),
                                    crash.confirmed, crash.begun}));
    return rows;
}

std::vector<crash_record> decode_crashes(const json& rows) {
    std::vector<crash_record> out;
    for (const json& row : rows)
        out.push_back({.target = row.at(0).get<target_id>(),
                       .incarnation = row.at(1).get<std::int64_t>(),
                       .run = row.at(2).get<std::int32_t>(),
                       .blame = static_cast<crash_blame>(row.at(3).get<int>()),
                       .confirmed = row.at(4).get<bool>(),
                       // Earlier versions took every run for begun.
                       .begun = row.size() <= BEGUN_COLUMN ||
                                row.at(BEGUN_COLUMN).get<bool>()});
    return out;
}

json encode_task(size_t index, const task_entry& task) {
    json row =
        json::array({index, static_cast<int>(task.phase), task.run, task.failed,
                     task.checkpoint, task.target, task.incarnation});
    const bool confirmed = task.confirmed && task.phase == task_phase::placed;
    if (!task.crashes.empty() || confirmed)
        row.push_back(encode_crashes(task.crashes));
    if (confirmed)
        row.push_back(true);
    return row;
}

json encode_tasks(const step_entry& step) {
    json rows = json::array();
    for (size_t i = 0; i < step.tasks.size(); ++i)
        if (step.tasks[i].run > 0 || step.tasks[i].phase == task_phase::done)
            rows.push_back(encode_task(i, step.tasks[i]));
    return json::array(
        {step.failed_runs, step.last_failed_run, std::move(rows)});
}

void decode_tasks(const json& in, step_entry& step) {
    step.failed_runs = small_integer_at(in, 0, MAX_COUNT);
    step.last_failed_run = small_integer_at(in, 1, MAX_RUN_NUMBER);
    for (const json& row : in.at(2)) {
        task_entry& task =
            step.tasks.at(static_cast<size_t>(integer_at(row, 0, MAX_COUNT)));
        if (task.run > 0 || task.phase != task_phase::waiting)
            throw decode_error("task " + excerpt(row.at(0)) +
                               " is listed twice");
        task.phase = static_cast<task_phase>(
            integer_at(row, 1, static_cast<std::int64_t>(task_phase::done)));
        task.run = small_integer_at(row, 2, MAX_RUN_NUMBER);
        task.failed = decode_numbers(row.at(3), MAX_RUN_NUMBER);
        task.checkpoint = row.at(4).get<std::string>();
        task.target = row.at(5).get<target_id>();
        task.incarnation = integer_at(row, 6, MAX_INTEGER);
        if (row.size() > CRASHES_COLUMN)
            task.crashes = decode_crashes(row.at(CRASHES_COLUMN));
        if (row.size() > CONFIRMED_COLUMN)
            task.confirmed = row.at(CONFIRMED_COLUMN).get<bool>();
        if (task.phase != task_phase::waiting)
            --step.waiting;
        if (task.phase == task_phase::done)
            ++step.done;
    }
}

/** Creates the repeats in progress of a job from their encoding. */
void decode_repeats(const json& rows, job_entry& job) {
    std::int64_t tasks = 0;
    for (const json& row : rows) {
        const std::int32_t number_of_repeat =
            small_integer_at(row, 0, MAX_REPEATS);
        const auto [position, is_new] =
            job.repeats.try_emplace(number_of_repeat);
        if (!is_new)
            throw decode_error("repeat " + std::to_string(number_of_repeat) +
                               " is listed twice");
        repeat_entry& repeat = position->second;
        size_t number = 0;
        for (const step_spec& spec : job.record.spec.steps) {
            tasks += spec.count;
            if (tasks > MAX_RESTORED_TASKS)
                throw decode_error("more than " +
                                   std::to_string(MAX_RESTORED_TASKS) +
                                   " tasks in progress");
            step_entry step;
            step.tasks.resize(static_cast<size_t>(spec.count));
            step.waiting = spec.count;
            decode_tasks(row.at(1).at(number++), step);
            if (step.done == spec.count)
                ++repeat.steps_done;
            repeat.steps.push_back(std::move(step));
        }
    }
}

/** Position of the leftover runs; progress without any ends here. */
constexpr std::size_t LEFTOVERS_FIELD = 6;

/** Encodes rows of runs, grouped by target and its incarnation. */
json encode_leftovers(const std::vector<recorded_run>& runs) {
    std::map<std::pair<target_id, std::int64_t>, json> by_process;
    for (const recorded_run& run : runs) {
        json& rows =
            by_process.try_emplace({run.target, run.incarnation}, json::array())
                .first->second;
        rows.push_back(json::array({run.task.step.repeat, run.task.step.step,
                                    run.task.index, run.run}));
    }
    json out = json::array();
    for (auto& [process, rows] : by_process)
        out.push_back(
            json::array({process.first, process.second, std::move(rows)}));
    return out;
}

void decode_leftovers(const json& in, job_entry& job) {
    const std::vector<step_spec>& steps = job.record.spec.steps;
    std::int64_t count = 0;
    for (const json& process : in)
        for (const json& row : process.at(2)) {
            if (++count > MAX_RESTORED_TASKS)
                throw decode_error("more than " +
                                   std::to_string(MAX_RESTORED_TASKS) +
                                   " leftover runs");
            const std::int32_t step = small_integer_at(
                row, 1, static_cast<std::int64_t>(steps.size()) - 1);
            const std::int32_t index = small_integer_at(
                row, 2, steps[static_cast<size_t>(step)].count - 1);
            const step_ref ref{job.record.id,
                               small_integer_at(row, 0, MAX_REPEATS), step};
            job.leftover_runs.push_back(
                {.task = {ref, index},
                 .run = small_integer_at(row, 3, MAX_RUN_NUMBER),
                 .target = process.at(0).get<target_id>(),
                 .incarnation = integer_at(process, 1, MAX_INTEGER)});
        }
}

/** Decodes the end of a job; nothing if the job has not ended. */
std::optional<job_entry> decode_end(const job_id& id, const std::string& text) {
    return decoding("progress", text, [&](const json& in) {
        job_entry job{
            .record = {.id = id,
                       .organisation = in.at(5).get<organisation_id>()},
            .state = state_at(in, 0),
            .ended_ms = integer_at(in, 1, MAX_INTEGER)};
        return job.ended() ? std::optional(std::move(job)) : std::nullopt;
    });
}

} // namespace

std::string encode_job(const job_record& record) {
    json steps = json::array();
    for (const step_spec& step : record.spec.steps)
        steps.push_back(encode_step(step));
    return json::array({record.id, record.queue, record.organisation,
                        record.accepted_ms, record.spec.payload,
                        record.spec.repeats, record.spec.first_due_ms,
                        record.spec.interval.count(), std::move(steps)})
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

job_record decode_job_record(const std::string& text) {
    return decoding("job", text, [](const json& in) {
        job_record record{
            .id = in.at(0).get<job_id>(),
            .queue = in.at(1).get<queue_id>(),
            .organisation = in.at(2).get<organisation_id>(),
            .spec = {.payload = in.at(4).get<std::string>(),
                     .repeats = small_integer_at(in, 5, MAX_REPEATS),
                     .first_due_ms = integer_at(in, 6, MAX_INTEGER),
                     .interval = millis(integer_at(in, 7, MAX_INTEGER))},
            .accepted_ms = integer_at(in, 3, MAX_INTEGER)};
        if (record.id.value.size() > MAX_JOB_ID_BYTES)
            throw decode_error(
                "job id has " + std::to_string(record.id.value.size()) +
                " bytes; the limit is " + std::to_string(MAX_JOB_ID_BYTES));
        std::int64_t tasks = 0;
        record.spec.steps.reserve(in.at(8).size());
        for (const json& row : in.at(8)) {
            record.spec.steps.push_back(
                decode_step(row, record.spec.steps.size()));
            tasks += record.spec.steps.back().count;
        }
        if (tasks > MAX_TASKS_PER_JOB)
            throw decode_error("job has " + std::to_string(tasks) +
                               " tasks; the limit is " +
                               std::to_string(MAX_TASKS_PER_JOB));
        return record;
    });
}

std::string encode_progress(const job_entry& job) {
    json repeats = json::array();
    if (!job.ended())
        for (const auto& [number, repeat] : job.repeats) {
            json steps = json::array();
            for (const step_entry& step : repeat.steps)
                steps.push_back(encode_tasks(step));
            repeats.push_back(json::array({number, std::move(steps)}));
        }
    json out = json::array({static_cast<int>(job.state), job.ended_ms,
                            job.repeats_done, job.next_repeat,
                            std::move(repeats), job.record.organisation});
    const std::vector<recorded_run> leftovers = unawaited_runs(job);
    if (!leftovers.empty() && !job.unawaited_runs_unstorable)
        out.push_back(encode_leftovers(leftovers));
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

job_state decode_progress_state(const std::string& text) {
    return decoding("progress", text,
                    [](const json& in) { return state_at(in, 0); });
}

std::optional<job_entry> decode_ended_job(const job_id& id,
                                          const std::string& text,
                                          std::int64_t wall_ms) {
    auto job = decode_end(id, text);
    // Runs of a recently ended job may still exist and use resources.
    const bool long_over =
        job && job->ended_ms + RUNS_GONE_AFTER.count() < wall_ms;
    return long_over ? std::move(job) : std::nullopt;
}

std::optional<job_entry> decode_end_without_runs(const job_id& id,
                                                 const std::string& text) {
    const bool runs_listed = decoding("progress", text, [](const json& in) {
        return in.size() > LEFTOVERS_FIELD;
    });
    return runs_listed ? std::nullopt : decode_end(id, text);
}

void apply_progress(job_entry& job, const std::string& text) {
    decoding("progress", text, [&](const json& in) {
        job.state = state_at(in, 0);
        job.ended_ms = integer_at(in, 1, MAX_INTEGER);
        job.repeats_done = small_integer_at(in, 2, MAX_REPEATS);
        job.next_repeat = small_integer_at(in, 3, MAX_REPEATS);
        decode_repeats(in.at(4), job);
        if (in.size() > LEFTOVERS_FIELD)
            decode_leftovers(in.at(LEFTOVERS_FIELD), job);
        return 0;
    });
}

std::string encode_cancel(const organisation_id& requester) {
    return json(requester).dump(-1, ' ', false, json::error_handler_t::replace);
}

organisation_id decode_cancel(const std::string& text) {
    return decoding("cancellation", text,
                    [](const json& in) { return in.get<organisation_id>(); });
}

std::string encode_owner(const owner_record& owner) {
    json out = json::array(
        {owner.epoch, owner.host, owner.address, owner.incarnation});
    if (owner.leases) {
        json silent = json::array();
        for (const auto& row : owner.leases->silent)
            silent.push_back(json::array(
                {row.target, row.incarnation, row.remaining.count()}));
        json leases =
            json::array({owner.leases->remaining.count(), std::move(silent)});
        if (owner.leases->starts)
            leases.push_back(owner.leases->starts->count());
        out.push_back(std::move(leases));
    }
    return out.dump();
}

owner_record decode_owner(const std::string& text) {
    return decoding("owner", text, [](const json& in) {
        owner_record out{.epoch = integer_at(in, 0, MAX_INTEGER),
                         .host = in.at(1).get<host_id>(),
                         .address = address_at(in, 2, true),
                         .incarnation = integer_at(in, 3, MAX_INTEGER)};
        if (in.size() <= LEASES_FIELD)
            return out;
        const json& leases = in.at(LEASES_FIELD);
        out.leases.emplace().remaining =
            millis(integer_at(leases, 0, MAX_INTEGER));
        for (const json& row : leases.at(1))
            out.leases->silent.push_back(
                {.target = row.at(0).get<target_id>(),
                 .incarnation = integer_at(row, 1, MAX_INTEGER),
                 .remaining = millis(integer_at(row, 2, MAX_INTEGER))});
        if (leases.size() > STARTS_FIELD)
            out.leases->starts =
                millis(integer_at(leases, STARTS_FIELD, MAX_INTEGER));
        return out;
    });
}

std::string encode_member(const member_record& member) {
    return json::array({member.host, member.data_centre, member.address,
                        member.milli_cores, member.memory_bytes})
        .dump();
}

member_record decode_member(const std::string& text) {
    return decoding("member", text, [](const json& in) {
        member_record out{.host = in.at(0).get<host_id>(),
                          .data_centre = in.at(1).get<data_centre_id>(),
                          .address = address_at(in, 2, false),
                          .milli_cores = integer_at(in, 3, MAX_INTEGER)};
        if (in.size() > MEMORY_FIELD)
            out.memory_bytes = integer_at(in, MEMORY_FIELD, MAX_INTEGER);
        return out;
    });
}

} // namespace rattan::dispatch
