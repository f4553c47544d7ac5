/** @file Replies to callers' and other hosts' questions for a job's state. */
#include "base/log_func.hpp"
#include "dispatch/reader_func.hpp"
#include "front/front_service.hpp"
#include "net/thrift_codec.hpp"
#include "platform/wire_codec.hpp"

#include <algorithm>

namespace rattan::front {

using namespace dispatch;

namespace {

constexpr millis CALL_TIMEOUT{700}; ///< Of a question to another host.
/** After this time without the owner, job states are read from the store. */
constexpr millis OWNER_SILENT_AGE{600};
constexpr std::size_t MAX_READERS_ASKED = 2; ///< For one question.

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
    if (const auto state = known_state(pending->job, pending->organisation))
        return reply_state(pending, *state);
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty() || owner_silent())
        return ask_state_reader(pending, 0);
    wire::job_state_request request;
    request.job = pending->job.value;
    request.organisation = pending->organisation.value;
    members_.peer(address).call(
        wire::method::JOB_STATE, wire_encode(request), CALL_TIMEOUT,
        [this, pending](const rpc_call_result& answer) {
            if (!answer.ok())
                return ask_state_reader(pending, 0);
            const auto reply = wire_decode<wire::job_state_reply>(answer.body);
            reply_state(pending, static_cast<job_state>(reply.state));
        });
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
    const auto state = owner_
                           ? known_state({request.job}, {request.organisation})
                           : std::nullopt;
    if (!state)
        return answer(wire::status::UNAVAILABLE, "");
    wire::job_state_reply reply;
    reply.state = static_cast<std::int32_t>(*state);
    answer(wire::status::OK, wire_encode(reply));
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
