/** @file Replies to callers' and other hosts' questions for a job's state. */
#include "base/log_func.hpp"
#include "dispatch/reader_func.hpp"
#include "front/front_service.hpp"
#include "net/thrift_codec.hpp"
#include "platform/wire_codec.hpp"

#include <algorithm>
#include <charconv>

namespace rattan::front {

using namespace dispatch;

namespace {

constexpr millis CALL_TIMEOUT{700}; ///< Of a question to another host.
/** After this time without the owner, job states are read from the store. */
constexpr millis OWNER_SILENT_AGE{600};
constexpr std::size_t MAX_READERS_ASKED = 2; ///< For one question.
/** A question waits at most for this part of the time that its caller does. */
constexpr int STATE_WAIT_DIVISOR = 2;
/** Shorter than a shutdown, which pending questions delay. */
constexpr millis MAX_STATE_WAIT{2000};
/**
 * The same while the last runs of the job are still under way. Clients ask as
 * soon as these runs have ended and then again after 250 ms; the end takes up
 * to 80 ms to be stored.
 */
constexpr millis MAX_COMPLETION_WAIT{400};

} // namespace

bool front_service::owner_silent() const {
    return !owner_ && members_.owner_reply_age() > OWNER_SILENT_AGE;
}

std::optional<job_state>
front_service::known_state(const job_id& job,
                           const organisation_id& organisation) const {
    job_state state = job_state::unknown;
    bool complete = false;
    if (owner_ && owner_->serving()) {
        state = owner_->decisions().state_of(job, organisation);
        complete = owner_->knows_all_jobs();
    } else if (state_reader_ && state_reader_->loaded()) {
        state = state_reader_->state_of(job, organisation);
    }
    if (state == job_state::unknown && !complete)
        return std::nullopt;
    return state;
}

void front_service::reply_current_state(
    const std::shared_ptr<pending_request>& pending) {
    if (const auto state = known_state(pending->job, pending->organisation)) {
        if (*state != job_state::running ||
            !wait_for_last_runs(pending->job, remaining_state_wait(*pending),
                                [this, pending] { reply_own_state(pending); }))
            reply_own_state(pending);
        return;
    }
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty() || owner_silent())
        return ask_state_reader(pending, 0);
    wire::job_state_request request;
    request.job = pending->job.value;
    request.organisation = pending->organisation.value;
    millis wait{0};
    if (settings_.scheduling.await_completion && !shutting_down_)
        wait = std::min(remaining_state_wait(*pending), MAX_COMPLETION_WAIT);
    request.wait_ms = static_cast<std::int32_t>(wait.count());
    members_.peer(address).call(
        wire::method::JOB_STATE, wire_encode(request), CALL_TIMEOUT + wait,
        [this, pending, address](const rpc_call_result& answer) {
            if (!answer.ok())
                return ask_state_reader(pending, 0);
            const auto reply = wire_decode<wire::job_state_reply>(answer.body);
            if (reply.end_unstored)
                return ask_for_stored_end(pending, address);
            reply_state(pending, static_cast<job_state>(reply.state));
        });
}

void front_service::reply_own_state(
    const std::shared_ptr<pending_request>& pending) {
    const auto state = known_state(pending->job, pending->organisation);
    const auto reply_again = [this, pending] {
        reply_waited_state(pending,
                           known_state(pending->job, pending->organisation));
    };
    if (state == job_state::running &&
        wait_for_stored_end(pending->job, remaining_state_wait(*pending),
                            reply_again))
        return;
    // This host may have lost the cell while the question waited.
    reply_state(pending, state.value_or(job_state::running));
}

void front_service::ask_for_stored_end(
    const std::shared_ptr<pending_request>& pending,
    const std::string& owner_address) {
    const millis wait = remaining_state_wait(*pending);
    if (shutting_down_ || wait <= millis(0))
        return reply_state(pending, job_state::running);
    wire::job_state_request request;
    request.job = pending->job.value;
    request.organisation = pending->organisation.value;
    request.wait_ms = static_cast<std::int32_t>(wait.count());
    members_.peer(owner_address)
        .call(wire::method::JOB_STATE, wire_encode(request),
              wait + CALL_TIMEOUT,
              [this, pending](const rpc_call_result& answer) {
                  if (!answer.ok())
                      return reply_waited_state(pending, std::nullopt);
                  const auto reply =
                      wire_decode<wire::job_state_reply>(answer.body);
                  reply_waited_state(pending,
                                     static_cast<job_state>(reply.state));
              });
}

void front_service::reply_waited_state(
    const std::shared_ptr<pending_request>& pending,
    std::optional<job_state> state) {
    // If nothing is known now, what the owner said before still holds for a
    // moment of this question.
    const job_state known = state.value_or(job_state::running);
    if (known == job_state::running)
        log_event(log_level::info, "end_not_stored",
                  {{"job", pending->job.value}});
    reply_state(pending, known);
}

millis front_service::remaining_state_wait(const pending_request& pending) {
    const auto header = pending.request.headers.find(platform::DEADLINE_HEADER);
    if (header == pending.request.headers.end())
        return millis(0);
    const std::string& text = header->second;
    std::int64_t caller_wait_ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), caller_wait_ms);
    const millis longest =
        std::min(millis(caller_wait_ms / STATE_WAIT_DIVISOR), MAX_STATE_WAIT);
    const millis passed = event_loop::now() - pending.arrived_at;
    return std::max(longest - passed, millis(0));
}

bool front_service::wait_for_stored_end(const job_id& job, millis wait,
                                        std::function<void()> done) {
    if (shutting_down_ || wait <= millis(0) || !owner_ ||
        !owner_->decisions().end_unstored(job))
        return false;
    wait = std::min(wait, MAX_STATE_WAIT);
    if (!state_waiters_.add(job, event_loop::now() + wait, std::move(done)))
        return false;
    ++metrics_.counter("rattan_state_waits_total");
    loop_.after(wait, [this] { state_waiters_.expire(event_loop::now()); });
    return true;
}

bool front_service::wait_for_last_runs(const job_id& job, millis wait,
                                       std::function<void()> done) {
    if (shutting_down_ || wait <= millis(0) || !owner_ ||
        !owner_->decisions().last_runs_placed(job))
        return false;
    wait = std::min(wait, MAX_COMPLETION_WAIT);
    if (!state_waiters_.add(job, event_loop::now() + wait, std::move(done)))
        return false;
    ++metrics_.counter("completion_waits");
    loop_.after(wait, [this] { state_waiters_.expire(event_loop::now()); });
    return true;
}

void front_service::ask_state_reader(
    const std::shared_ptr<pending_request>& pending, std::size_t attempt) {
    const auto readers =
        state_reader_addresses(members_.members(), settings_.host);
    if (attempt >= std::min(readers.size(), MAX_READERS_ASKED)) {
        http_response reply = status_reply(503);
        reply.close = !can_store();
        return pending->answer(reply);
    }
    wire::job_state_request request;
    request.job = pending->job.value;
    request.organisation = pending->organisation.value;
    members_.peer(readers[attempt])
        .call(wire::method::READ_STATE, wire_encode(request), CALL_TIMEOUT,
              [this, pending, attempt](const rpc_call_result& answer) {
                  if (!answer.ok())
                      return ask_state_reader(pending, attempt + 1);
                  const auto reply =
                      wire_decode<wire::job_state_reply>(answer.body);
                  reply_state(pending, static_cast<job_state>(reply.state));
              });
}

void front_service::reply_state(const std::shared_ptr<pending_request>& pending,
                                job_state state) {
    if (state == job_state::unknown) {
        log_event(log_level::info, "job_not_known",
                  {{"job", pending->job.value}});
        return pending->answer(status_reply(410));
    }
    pending->answer({.body = platform::encode_job_state(state)});
}

void front_service::answer_job_state(const std::string& body,
                                     const rpc_server::responder& answer) {
    const auto request = wire_decode<wire::job_state_request>(body);
    const auto intent = static_cast<submission_intent>(request.intent);
    if (intent == submission_intent::admit ||
        intent == submission_intent::cancel)
        return answer_admission(request, answer);
    if (intent != submission_intent::none)
        return answer_submission({request.job}, intent, answer);
    const auto reply_now = [this, request, answer] {
        const auto state =
            owner_ ? known_state({request.job}, {request.organisation})
                   : std::nullopt;
        if (!state)
            return answer(wire::status::UNAVAILABLE, "");
        wire::job_state_reply reply;
        reply.state = static_cast<std::int32_t>(*state);
        reply.end_unstored = *state == job_state::running &&
                             owner_->decisions().end_unstored({request.job});
        answer(wire::status::OK, wire_encode(reply));
    };
    const millis wait(request.wait_ms);
    if (!wait_for_stored_end({request.job}, wait, reply_now) &&
        !wait_for_last_runs({request.job}, wait, reply_now))
        reply_now();
}

void front_service::answer_read_state(const std::string& body,
                                      const rpc_server::responder& answer) {
    const auto request = wire_decode<wire::job_state_request>(body);
    if (const auto state = known_state({request.job}, {request.organisation})) {
        wire::job_state_reply reply;
        reply.state = static_cast<std::int32_t>(*state);
        return answer(wire::status::OK, wire_encode(reply));
    }
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty() || owner_silent())
        return answer(wire::status::UNAVAILABLE, "");
    // Only the owner answers this call, so it is not forwarded again.
    members_.peer(address).call(
        wire::method::JOB_STATE, body, CALL_TIMEOUT,
        [answer](const rpc_call_result& result) {
            answer(result.ok() ? wire::status::OK : wire::status::UNAVAILABLE,
                   result.ok() ? result.body : "");
        });
}

} // namespace rattan::front
