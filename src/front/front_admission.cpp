/** @file Decides whether a job or a request to cancel one may be stored. */
#include "base/log_func.hpp"
#include "dispatch/job_size.hpp"
#include "front/front_service.hpp"
#include "net/thrift_codec.hpp"

#include <xxhash.h>

namespace rattan::front {

using namespace dispatch;

namespace {

/** As of other questions to the owner. */
constexpr millis CALL_TIMEOUT{700};
/** Refused callers return after a time in this range, spread by job. */
constexpr int MIN_RETRY_AFTER_S = 2;
constexpr int RETRY_AFTER_RANGE_S = 4;
/** Without a grant for this long, jobs are announced in any case. */
constexpr millis GRANT_AGE{1000};

} // namespace

void front_service::receive_grant(const std::optional<received_grant>& grant,
                                  mono_time sent_at) {
    granted_at_ = event_loop::now();
    announce_jobs_ = grant && grant->announce;
    if (!grant)
        return state_share_.lift();
    if (!grant->loading)
        state_share_.granted(grant->share, sent_at);
}

bool front_service::must_announce() const {
    return settings_.scheduling.order_by_delay_cost || announce_jobs_ ||
           (settings_.memory_bytes > 0 &&
            event_loop::now() - granted_at_ > GRANT_AGE);
}

void front_service::admit(const std::shared_ptr<pending_request>& pending,
                          submission_intent intent,
                          const std::function<void(admission)>& done) {
    const bool is_cancel = intent == submission_intent::cancel;
    if (owner_ && owner_->serving())
        return done(
            is_cancel
                ? owner_->admit_cancel(pending->job, pending->organisation)
                : owner_->admit(pending->job, pending->organisation,
                                pending->state_bytes));
    if (state_share_.admits(pending->organisation, pending->state_bytes)) {
        state_share_.accepted(pending->state_bytes, event_loop::now());
        return done(admission::admitted);
    }
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty())
        return done(admission::unclear);
    wire::job_state_request request;
    request.job = pending->job.value;
    request.organisation = pending->organisation.value;
    request.intent = static_cast<std::int32_t>(intent);
    request.state_bytes = static_cast<std::int64_t>(pending->state_bytes);
    members_.peer(address).call(
        wire::method::JOB_STATE, wire_encode(request), CALL_TIMEOUT,
        [done](const rpc_call_result& answer) {
            if (!answer.ok())
                return done(admission::unclear);
            done(static_cast<admission>(
                wire_decode<wire::job_state_reply>(answer.body).admission));
        });
}

void front_service::admit_submission(
    const std::shared_ptr<pending_request>& pending) {
    admit(pending, submission_intent::admit, [this, pending](admission result) {
        if (result == admission::known || result == admission::admitted)
            return store_submission(pending);
        ++metrics_.counter(result == admission::refused
                               ? "refused_job_state"
                               : "unanswered_job_state");
        // Without certainty that no submission of the job is stored, the answer
        // must not say so.
        reply_not_admitted(pending, result == admission::refused ? 503 : 504);
    });
}

void front_service::admit_cancel(
    const std::shared_ptr<pending_request>& pending) {
    pending->state_bytes = EARLY_CANCEL_BYTES;
    admit(pending, submission_intent::cancel,
          [this, pending](admission result) {
              if (result == admission::known || result == admission::admitted)
                  return write(pending,
                               cancel_key(pending->job, pending->organisation),
                               encode_cancel(pending->organisation));
              reply_not_admitted(pending,
                                 result == admission::refused ? 410 : 504);
          });
}

void front_service::reply_not_admitted(
    const std::shared_ptr<pending_request>& pending, int status) {
    pending->answered = true;
    http_response reply = status_reply(status);
    if (status == 503) {
        const std::string& id = pending->job.value;
        reply.retry_after_s = MIN_RETRY_AFTER_S +
                              static_cast<int>(XXH64(id.data(), id.size(), 0) %
                                               RETRY_AFTER_RANGE_S);
    }
    log_event(log_level::info, "caller_answered",
              {{"job", pending->job.value},
               {"method", pending->request.method},
               {"queue", pending->queue.name.value},
               {"status", std::to_string(status)},
               {"cause", "job_state_limit"},
               {"state_bytes", std::to_string(pending->state_bytes)},
               {"retry_after_s", std::to_string(reply.retry_after_s)},
               {"config", std::to_string(config_.version)}});
    pending->answer(reply);
    std::string().swap(pending->record_value);
}

void front_service::answer_admission(const wire::job_state_request& request,
                                     const rpc_server::responder& answer) {
    if (!owner_)
        return answer(wire::status::UNAVAILABLE, "");
    const job_id job{request.job};
    const organisation_id organisation{request.organisation};
    const auto intent = static_cast<submission_intent>(request.intent);
    wire::job_state_reply reply;
    reply.state = static_cast<std::int32_t>(job_state::unknown);
    reply.admission = static_cast<std::int32_t>(
        intent == submission_intent::cancel
            ? owner_->admit_cancel(job, organisation)
            : owner_->admit(job, organisation,
                            static_cast<std::size_t>(std::max<std::int64_t>(
                                0, request.state_bytes))));
    answer(wire::status::OK, wire_encode(reply));
}

void front_service::report_job_state() {
    if (!owner_ || !owner_->serving())
        return;
    const state_budget& state = owner_->decisions().state();
    metrics_.gauge("job_state_bytes") = static_cast<double>(state.used());
    metrics_.gauge("job_state_limit_bytes") =
        static_cast<double>(state.limit());
    const bool full = !state.over_share().empty();
    if (full == std::exchange(job_state_full_, full))
        return;
    log_event(full ? log_level::warning : log_level::info,
              full ? "job_state_limit_reached" : "job_state_limit_left",
              {{"bytes", std::to_string(state.used())},
               {"limit_bytes", std::to_string(state.limit())},
               {"organisations", std::to_string(state.over_share().size())}});
}

} // namespace rattan::front
