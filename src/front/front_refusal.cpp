/** @file Refuses jobs that would end without value. */
#include "base/log_func.hpp"
#include "dispatch/admission_func.hpp"
#include "front/front_service.hpp"
#include "net/thrift_codec.hpp"
#include "rattan/error_type.hpp"

#include <xxhash.h>

#include <algorithm>

namespace rattan::front {

using namespace dispatch;

namespace {

/**
 * Of a question to the owner. The same as of others: a shorter one would often
 * close the connection to an owner that is only busy.
 */
constexpr millis CALL_TIMEOUT{700};
constexpr double MS_PER_SECOND = 1000;
const std::string WAIT_METRIC = "expected_wait_seconds";

wire::job_state_request submission_message(const job_id& job,
                                           submission_intent intent) {
    wire::job_state_request request;
    request.job = job.value;
    request.intent = static_cast<std::int32_t>(intent);
    return request;
}

} // namespace

void front_service::receive_waits(const std::string& encoded,
                                  mono_time sent_at) {
    if (!settings_.scheduling.order_by_delay_cost)
        return;
    try {
        aged_waits received = decode_waits(encoded);
        received_waits_ = std::move(received.waits);
        received_waits_at_ = sent_at - received.age;
    } catch (const decode_error& failure) {
        log_event(log_level::warning, "waits_unreadable",
                  {{"cause", failure.what()}});
    }
}

aged_waits front_service::newest_waits() const {
    const mono_time now = event_loop::now();
    if (owner_ && owner_->serving()) {
        const wait_estimate& own = owner_->decisions().waits();
        return {.waits = own.waits(), .age = now - own.updated_at()};
    }
    return {.waits = received_waits_, .age = now - received_waits_at_};
}

void front_service::submit_unless_hopeless(
    const std::shared_ptr<pending_request>& pending, const job_record& record) {
    const std::string& id = pending->job.value;
    const aged_waits newest = newest_waits();
    const auto retry_after_s = hopeless_retry_after_s(
        record.spec, pending->queue, pending->organisation, newest.waits,
        newest.age, XXH64(id.data(), id.size(), 0));
    if (!retry_after_s)
        return admit_submission(pending);
    ask_never_stored(pending->job,
                     [this, pending, retry_after_s](bool never_stored) {
                         if (never_stored)
                             refuse_submission(pending, *retry_after_s);
                         else
                             admit_submission(pending);
                     });
}

void front_service::ask_never_stored(
    const job_id& job, const std::function<void(bool never_stored)>& done) {
    if (owner_)
        return done(owner_->never_stored(job));
    const std::string& address = members_.owner().address;
    if (address.empty() || owner_silent())
        return done(false);
    members_.peer(address).call(
        wire::method::JOB_STATE,
        wire_encode(submission_message(job, submission_intent::refuse)),
        CALL_TIMEOUT, [done](const rpc_call_result& answer) {
            done(answer.ok() &&
                 wire_decode<wire::job_state_reply>(answer.body).never_stored);
        });
}

void front_service::store_submission(
    const std::shared_ptr<pending_request>& pending) {
    const std::string& address = members_.owner().address;
    if (owner_)
        owner_->submission_announced(pending->job);
    else if (!address.empty() && must_announce())
        members_.peer(address).call(
            wire::method::JOB_STATE,
            wire_encode(
                submission_message(pending->job, submission_intent::store)),
            CALL_TIMEOUT, [](const rpc_call_result&) {});
    write(pending, job_key(pending->job), pending->record_value);
}

void front_service::answer_submission(const job_id& job,
                                      submission_intent intent,
                                      const rpc_server::responder& answer) {
    if (!owner_)
        return answer(wire::status::UNAVAILABLE, "");
    wire::job_state_reply reply;
    reply.state = static_cast<std::int32_t>(job_state::unknown);
    if (intent == submission_intent::refuse)
        reply.never_stored = owner_->never_stored(job);
    else
        owner_->submission_announced(job);
    answer(wire::status::OK, wire_encode(reply));
}

void front_service::refuse_submission(
    const std::shared_ptr<pending_request>& pending, int retry_after_s) {
    ++metrics_.counter("refused_hopeless");
    if (refusing_queues_.refused(pending->queue.name, event_loop::now()))
        log_event(log_level::info, "queue_starts_refusing",
                  {{"queue", pending->queue.name.value}});
    log_event(log_level::info, "caller_answered",
              {{"job", pending->job.value},
               {"method", pending->request.method},
               {"queue", pending->queue.name.value},
               {"status", "503"},
               {"retry_after_s", std::to_string(retry_after_s)},
               {"config", std::to_string(config_.version)}});
    pending->answered = true;
    http_response reply = status_reply(503);
    reply.retry_after_s = retry_after_s;
    pending->answer(reply);
}

void front_service::report_waits() {
    if (!settings_.scheduling.order_by_delay_cost)
        return;
    for (const queue_id& queue : refusing_queues_.stopped(event_loop::now()))
        log_event(log_level::info, "queue_stops_refusing",
                  {{"queue", queue.value}});
    metrics_.counter("refused_hopeless"); // Shown from the start.
    const aged_waits newest = newest_waits();
    for (const queue_config& queue : config_.queues) {
        const millis wait = newest.age > MAX_WAITS_AGE
                                ? millis(0)
                                : newest.waits.wait_of(queue.name, {});
        metrics_.gauge(labelled_name(WAIT_METRIC, "queue", queue.name.value)) =
            static_cast<double>(wait.count()) / MS_PER_SECOND;
    }
}

} // namespace rattan::front
