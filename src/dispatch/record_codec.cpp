#include "dispatch/record_codec.hpp"

#include "rattan/error_type.hpp"
#include "rattan/json_func.hpp"

namespace rattan::dispatch {

using nlohmann::json;

namespace {

/**
 * This long after the end of a job all its runs are stopped or their leases
 * have expired, with a wide margin.
 */
constexpr millis RUNS_GONE_AFTER{30'000};

/** Position of the leases in the record of an owner that has resigned. */
constexpr std::size_t LEASES_FIELD = 4;

/** Runs a decoder and converts its exceptions to `decode_error`. */
template <typename Decode>
auto decoding(const char* what, const std::string& text, Decode decode) {
    try {
        return decode(json::parse(text));
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

step_spec decode_step(const json& row) {
    return {.count = row.at(0).get<std::int32_t>(),
            .demand = {.milli_cores = row.at(1).get<std::int64_t>(),
                       .memory_mib = row.at(2).get<std::int64_t>(),
                       .accelerators = row.at(3).get<std::int64_t>()},
            .estimate = millis(row.at(4).get<std::int64_t>()),
            .after = row.at(5).get<std::vector<int>>(),
            .checkpoints = row.at(6).get<bool>(),
            .gang = row.at(7).get<bool>(),
            .same_rack = row.at(8).get<bool>(),
            .speculation_allowed = row.at(9).get<bool>(),
            .long_lived = row.at(10).get<bool>(),
            .best_effort = row.at(11).get<bool>(),
            .required_label = row.at(12).get<std::string>(),
            .preferred_rack = row.at(13).get<std::string>(),
            .max_tasks_per_target = row.at(14).get<std::int32_t>(),
            .image = row.at(15).get<std::string>(),
            .tail_latency_target = millis(row.at(16).get<std::int64_t>()),
            .max_unavailable = row.at(17).get<std::int32_t>()};
}

json encode_task(size_t index, const task_entry& task) {
    return json::array({index, static_cast<int>(task.phase), task.run,
                        task.failed, task.checkpoint, task.target,
                        task.incarnation});
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
    step.failed_runs = in.at(0).get<std::int32_t>();
    step.last_failed_run = in.at(1).get<std::int32_t>();
    for (const json& row : in.at(2)) {
        task_entry& task = step.tasks.at(row.at(0).get<size_t>());
        task.phase = static_cast<task_phase>(row.at(1).get<int>());
        task.run = row.at(2).get<std::int32_t>();
        task.failed = row.at(3).get<std::vector<std::int32_t>>();
        task.checkpoint = row.at(4).get<std::string>();
        task.target = row.at(5).get<target_id>();
        task.incarnation = row.at(6).get<std::int64_t>();
        if (task.phase != task_phase::waiting)
            --step.waiting;
        if (task.phase == task_phase::done)
            ++step.done;
    }
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
                     .repeats = in.at(5).get<std::int32_t>(),
                     .first_due_ms = in.at(6).get<std::int64_t>(),
                     .interval = millis(in.at(7).get<std::int64_t>())},
            .accepted_ms = in.at(3).get<std::int64_t>()};
        for (const json& row : in.at(8))
            record.spec.steps.push_back(decode_step(row));
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
    return json::array({static_cast<int>(job.state), job.ended_ms,
                        job.repeats_done, job.next_repeat, std::move(repeats),
                        job.record.organisation})
        .dump();
}

job_state decode_progress_state(const std::string& text) {
    return decoding("progress", text, [](const json& in) {
        return static_cast<job_state>(in.at(0).get<int>());
    });
}

std::optional<job_entry> decode_ended_job(const job_id& id,
                                          const std::string& text,
                                          std::int64_t wall_ms) {
    return decoding("progress", text, [&](const json& in) {
        job_entry job{
            .record = {.id = id,
                       .organisation = in.at(5).get<organisation_id>()},
            .state = static_cast<job_state>(in.at(0).get<int>()),
            .ended_ms = in.at(1).get<std::int64_t>()};
        // Runs of a recently ended job may still exist and use resources.
        const bool long_over =
            job.ended() && job.ended_ms + RUNS_GONE_AFTER.count() < wall_ms;
        return long_over ? std::optional(std::move(job)) : std::nullopt;
    });
}

void apply_progress(job_entry& job, const std::string& text) {
    decoding("progress", text, [&](const json& in) {
        job.state = static_cast<job_state>(in.at(0).get<int>());
        job.ended_ms = in.at(1).get<std::int64_t>();
        job.repeats_done = in.at(2).get<std::int32_t>();
        job.next_repeat = in.at(3).get<std::int32_t>();
        for (const json& row : in.at(4)) {
            repeat_entry& repeat = job.repeats[row.at(0).get<std::int32_t>()];
            size_t number = 0;
            for (const step_spec& spec : job.record.spec.steps) {
                step_entry step;
                step.tasks.resize(static_cast<size_t>(spec.count));
                step.waiting = spec.count;
                decode_tasks(row.at(1).at(number++), step);
                if (step.done == spec.count)
                    ++repeat.steps_done;
                repeat.steps.push_back(std::move(step));
            }
        }
        return 0;
    });
}

std::string encode_owner(const owner_record& owner) {
    json out = json::array(
        {owner.epoch, owner.host, owner.address, owner.incarnation});
    if (owner.leases) {
        json silent = json::array();
        for (const auto& row : owner.leases->silent)
            silent.push_back(json::array(
                {row.target, row.incarnation, row.remaining.count()}));
        out.push_back(
            json::array({owner.leases->remaining.count(), std::move(silent)}));
    }
    return out.dump();
}

owner_record decode_owner(const std::string& text) {
    return decoding("owner", text, [](const json& in) {
        owner_record out{.epoch = in.at(0).get<std::int64_t>(),
                         .host = in.at(1).get<host_id>(),
                         .address = in.at(2).get<std::string>(),
                         .incarnation = in.at(3).get<std::int64_t>()};
        if (in.size() <= LEASES_FIELD)
            return out;
        const json& leases = in.at(LEASES_FIELD);
        out.leases.emplace().remaining =
            millis(leases.at(0).get<std::int64_t>());
        for (const json& row : leases.at(1))
            out.leases->silent.push_back(
                {.target = row.at(0).get<target_id>(),
                 .incarnation = row.at(1).get<std::int64_t>(),
                 .remaining = millis(row.at(2).get<std::int64_t>())});
        return out;
    });
}

std::string encode_member(const member_record& member) {
    return json::array({member.host, member.data_centre, member.address,
                        member.milli_cores})
        .dump();
}

member_record decode_member(const std::string& text) {
    return decoding("member", text, [](const json& in) {
        return member_record{.host = in.at(0).get<host_id>(),
                             .data_centre = in.at(1).get<data_centre_id>(),
                             .address = in.at(2).get<std::string>(),
                             .milli_cores = in.at(3).get<std::int64_t>()};
    });
}

} // namespace rattan::dispatch
