/** @file Jobs of batch plans and watches: submission, state, cancellation. */
#include "gate/gate_service.hpp"

#include "fold/record_codec.hpp"
#include "fold/request_func.hpp"
#include "gate/job_request_codec.hpp"
#include "net/thrift_codec.hpp"
#include "rattan/error_type.hpp"

namespace rattan {

using nlohmann::json;

namespace {

constexpr millis SUBMIT_TIMEOUT{3'000};
constexpr millis STATUS_TIMEOUT{500};
constexpr size_t MAX_LISTED_JOBS = 1'000;

/** The refusal for a job or cancellation whose record was not accepted. */
refused refusal_of(fold_verdict verdict) {
    switch (verdict) {
    case fold_verdict::not_allowed:
        return {refusal::key_refused, "the key or plan is no longer in force"};
    case fold_verdict::request_expired:
        return {refusal::request_too_old,
                "the request id is too old; send a new one"};
    default:
        return {refusal::malformed, verdict_name(verdict)};
    }
}

} // namespace

void gate_service::on_submit(const http_request& request,
                             const http_responder& answer) {
    if (refuse_if_not_started(request, answer))
        return;
    job_request submission;
    try {
        submission = decode_job_request(request.body);
    } catch (const decode_error& failure) {
        return refuse(request, answer, {refusal::malformed, failure.what()});
    }
    const declarations& declared = feed_.state().config.in_force;
    const auto admitted =
        admit_to_plan(declared, submission.plan, work_kind::batch,
                      authenticate(declared, request.authorization));
    if (const auto* why = std::get_if<refused>(&admitted))
        return refuse(request, answer, *why);
    const caller who = std::get<caller>(admitted);
    if (refuse_if_stale(request, who, answer))
        return;
    const request_id id{request.request_id};
    if (!request_time_ms(id))
        return refuse(request, answer,
                      {refusal::request_id_needed,
                       "send X-Request-Id as UNIX_MILLIS-ANYTHING"});
    const job_id job = job_of_request(who.organisation, id);
    if (feed_.state().jobs.contains(job) || feed_.state().ended.contains(job)) {
        ++metrics_.counter("jobs_repeated");
        return answer_job(job, 200, answer);
    }
    const auto spec =
        admit_job(feed_.state(), feed_.hosts(), who, id, submission);
    if (const auto* why = std::get_if<refused>(&spec))
        return refuse(request, answer, *why);
    append_and_wait(job, job_accept{job, std::get<job_spec>(spec)},
                    {.request = id,
                     .answer = answer,
                     .deadline = event_loop::now() + SUBMIT_TIMEOUT,
                     .first_attempt = request.attempt == 1});
}

void gate_service::append_and_wait(const job_id& job, const log_entry& entry,
                                   waiting_job waiting) {
    const auto inserted = waiting_jobs_.emplace(job, std::move(waiting));
    const mono_time deadline = inserted->second.deadline;
    feed_.append({entry}, SUBMIT_TIMEOUT - millis(500),
                 [this, job, deadline](const rpc_call_result& answer) {
                     if (answer.ok())
                         return; // the record read back gives the verdict
                     const bool not_appended =
                         answer.outcome == rpc_outcome::not_sent ||
                         (answer.outcome == rpc_outcome::answered &&
                          answer.code == wire::status::UNAVAILABLE);
                     const auto range = waiting_jobs_.equal_range(job);
                     for (auto at = range.first; at != range.second; ++at) {
                         if (at->second.deadline != deadline)
                             continue;
                         if (!not_appended) {
                             at->second.maybe_appended = true;
                             return;
                         }
                         const waiting_job ended = std::move(at->second);
                         waiting_jobs_.erase(at);
                         http_request request;
                         request.request_id = ended.request.value;
                         request.attempt = ended.first_attempt ? 1 : 0;
                         return refuse(request, ended.answer,
                                       {refusal::log_out_of_reach,
                                        "the log did not accept the record"});
                     }
                 });
}

void gate_service::expire_waiting_jobs() {
    const mono_time now = event_loop::now();
    for (auto at = waiting_jobs_.begin(); at != waiting_jobs_.end();) {
        if (now < at->second.deadline) {
            ++at;
            continue;
        }
        const waiting_job ended = std::move(at->second);
        const job_id job = at->first;
        at = waiting_jobs_.erase(at);
        ++metrics_.counter("jobs_unknown");
        json detail = {{"job", job.value}};
        ended.answer(make_problem(
            {.status = 504,
             .type = text_of(refusal::unknown_outcome).type,
             .detail = "job " + job.value +
                       " may have been accepted; query it, or repeat the "
                       "request with the same request id",
             .state = run_state::may_have_run,
             .retry_after_s = 2}));
    }
}

void gate_service::on_entry(const log_entry& entry, fold_verdict verdict) {
    const auto* accept = std::get_if<job_accept>(&entry);
    const auto* cancel = std::get_if<job_cancel>(&entry);
    if (accept == nullptr && cancel == nullptr)
        return;
    const job_id job = accept != nullptr ? accept->job : cancel->job;
    const auto range = waiting_jobs_.equal_range(job);
    for (auto at = range.first; at != range.second;) {
        if (at->second.cancel != (cancel != nullptr)) {
            ++at;
            continue;
        }
        const waiting_job ended = std::move(at->second);
        at = waiting_jobs_.erase(at);
        const bool accepted = verdict == fold_verdict::accepted ||
                              verdict == fold_verdict::repeated;
        if (accepted) {
            answer_job(job, 202, ended.answer);
            continue;
        }
        http_request request;
        request.request_id = ended.request.value;
        request.attempt = ended.first_attempt ? 1 : 0;
        refuse(request, ended.answer, refusal_of(verdict));
    }
}

json gate_service::job_json(const job_id& job) const {
    const auto live = feed_.state().jobs.find(job);
    if (live != feed_.state().jobs.end()) {
        const job_spec& spec = live->second.spec;
        return {{"job", job.value},
                {"state", live->second.cancelled ? "cancelling" : "live"},
                {"plan", spec.plan.value},
                {"tasks", spec.tasks},
                {"data_centre", spec.data_centre.value},
                {"request", spec.request.value},
                {"run_state", "running"}};
    }
    const auto ended = feed_.state().ended.find(job);
    if (ended == feed_.state().ended.end())
        return nullptr;
    const bool unknown = ended->second.outcome == job_outcome::unknown;
    return {{"job", job.value},
            {"state", "ended"},
            {"outcome", ended->second.outcome},
            {"reason", ended->second.reason},
            {"request", ended->second.request.value},
            {"run_state", unknown ? "may_have_run" : "done"}};
}

void gate_service::answer_job(const job_id& job, int status,
                              const http_responder& answer) const {
    answer({.status = status, .body = job_json(job).dump() + "\n"});
}

bool gate_service::owns_job(const job_id& job,
                            const organisation_name& organisation) const {
    const auto live = feed_.state().jobs.find(job);
    if (live != feed_.state().jobs.end())
        return live->second.spec.organisation == organisation;
    const auto ended = feed_.state().ended.find(job);
    return ended != feed_.state().ended.end() &&
           ended->second.organisation == organisation;
}

void gate_service::on_list_jobs(const http_request& request,
                                const http_responder& answer) {
    if (refuse_if_not_started(request, answer))
        return;
    const auto who =
        authenticate(feed_.state().config.in_force, request.authorization);
    if (!who)
        return refuse(request, answer, {refusal::key_refused, ""});
    if (refuse_if_stale(request, *who, answer))
        return;
    json jobs = json::array();
    for (const auto& [id, job] : feed_.state().jobs) {
        if (job.spec.organisation != who->organisation ||
            jobs.size() >= MAX_LISTED_JOBS)
            continue;
        jobs.push_back(job_json(id));
    }
    for (const auto& [id, job] : feed_.state().ended) {
        if (job.organisation != who->organisation ||
            jobs.size() >= MAX_LISTED_JOBS)
            continue;
        jobs.push_back(job_json(id));
    }
    answer({.body = json({{"jobs", jobs}}).dump() + "\n"});
}

void gate_service::on_job(const http_request& request,
                          const http_responder& answer) {
    if (refuse_if_not_started(request, answer))
        return;
    const auto who =
        authenticate(feed_.state().config.in_force, request.authorization);
    if (!who)
        return refuse(request, answer, {refusal::key_refused, ""});
    if (refuse_if_stale(request, *who, answer))
        return;
    const job_id job{request.path.substr(std::string("/v1/jobs/").size())};
    if (!owns_job(job, who->organisation))
        return refuse(request, answer,
                      {refusal::unknown_job,
                       "this organisation has no job " + job.value});
    if (request.method == "DELETE")
        return on_cancel(request, job, *who, answer);
    const auto live = feed_.state().jobs.find(job);
    if (live == feed_.state().jobs.end())
        return answer_job(job, 200, answer);
    const auto owner = feed_.state().owners.find(live->second.spec.data_centre);
    if (owner == feed_.state().owners.end())
        return answer_job(job, 200, answer);
    auto& placer = placers_[owner->second.address];
    if (!placer)
        placer = std::make_unique<rpc_client>(loop_, owner->second.address);
    wire::job_request ask;
    ask.job = job.value;
    placer->call(wire::method::JOB_STATUS, wire_encode(ask), STATUS_TIMEOUT,
                 [this, job, answer](const rpc_call_result& reply) {
                     json body = job_json(job);
                     if (reply.ok())
                         body["placement"] = json::parse(
                             wire_decode<wire::text_reply>(reply.body).text,
                             nullptr, false);
                     answer({.body = body.dump() + "\n"});
                 });
}

void gate_service::on_cancel(const http_request& request, const job_id& job,
                             const caller& who, const http_responder& answer) {
    if (!feed_.state().jobs.contains(job))
        return answer_job(job, 200, answer);
    append_and_wait(job, job_cancel{job, who.organisation},
                    {.cancel = true,
                     .request = {request.request_id},
                     .answer = answer,
                     .deadline = event_loop::now() + SUBMIT_TIMEOUT});
}

} // namespace rattan
