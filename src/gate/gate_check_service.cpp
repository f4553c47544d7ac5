/** @file Quick checks: routing to the home gate, queueing, retries. */
#include "gate/gate_service.hpp"

#include "fold/request_func.hpp"
#include "net/thrift_codec.hpp"
#include "route/home_func.hpp"

#include <algorithm>

namespace rattan {

using nlohmann::json;

namespace {

constexpr int MAX_ATTEMPTS = 3;
constexpr millis MIN_TIME_LEFT{1}; ///< Shortest deadline of an attempt.
/** Added to the deadline of a check to get the timeout of forwarding it. */
constexpr millis FORWARD_TIMEOUT_MARGIN{200};

/** A result without an answer, with the refusal as the reason. */
check_result failed_result(check_outcome outcome, refusal why) {
    return {.outcome = outcome, .reason = text_of(why).type};
}

/** The refusal named in a result; `unknown_outcome` if there is none. */
refusal refusal_of(const check_result& result) {
    for (int i = 0; i <= static_cast<int>(refusal::leaving); ++i)
        if (result.reason == text_of(static_cast<refusal>(i)).type)
            return static_cast<refusal>(i);
    return refusal::unknown_outcome;
}

} // namespace

void gate_service::on_check(const http_request& request,
                            const http_responder& answer) {
    if (refuse_if_not_started(request, answer))
        return;
    check_call call;
    plan_id plan;
    try {
        const json in = json::parse(request.body);
        plan.value = in.at("plan").get<std::string>();
        call.idempotent = in.value("idempotent", false);
        call.deadline =
            millis(in.value("deadline_ms", settings_.default_deadline.count()));
        call.input = in.contains("input") ? in.at("input").dump() : "null";
    } catch (const json::exception& failure) {
        return refuse(request, answer, {refusal::malformed, failure.what()});
    }
    call.deadline =
        std::clamp(call.deadline, MIN_TIME_LEFT, settings_.max_deadline);
    const declarations& declared = feed_.state().config.in_force;
    const auto who =
        admit_to_plan(declared, plan, work_kind::check,
                      authenticate(declared, request.authorization));
    if (const auto* why = std::get_if<refused>(&who))
        return refuse(request, answer, *why);
    call.who = std::get<caller>(who);
    call.request = {request.request_id};
    if (refuse_if_stale(request, call.who, answer))
        return;
    if (!call.idempotent && !request_time_ms(call.request))
        return refuse(request, answer,
                      {refusal::request_id_needed,
                       "send X-Request-Id as UNIX_MILLIS-ANYTHING, or set "
                       "idempotent to true"});
    const std::int64_t started = event_loop::now_micros();
    const check_callback done = [this, request, answer,
                                 started](const check_result& result) {
        metrics_.histogram("check").record(event_loop::now_micros() - started);
        answer_check(request, answer, result);
    };
    if (call.idempotent)
        place_check(call, done);
    else
        run_through_home(call, done);
}

void gate_service::answer_check(const http_request& request,
                                const http_responder& answer,
                                const check_result& result) const {
    if (result.outcome == check_outcome::answered)
        return answer({.body = result.body});
    const refusal why = refusal_of(result);
    const refusal_text& text = text_of(why);
    // The home gate knows all requests with this id, so its `not_run` also
    // holds for earlier ones.
    const bool not_run = result.outcome == check_outcome::not_run;
    answer(make_problem(
        {.status = text.status,
         .type = text.type,
         .detail = "request " + request.request_id,
         .state = not_run ? run_state::not_run : run_state::may_have_run,
         .retry_after_s = text.retry_after_s}));
}

void gate_service::run_through_home(const check_call& call,
                                    const check_callback& done) {
    const auto home = home_of_request(feed_.state().config.in_force,
                                      call.who.organisation, call.request);
    if (!home)
        return done(
            failed_result(check_outcome::unknown, refusal::home_out_of_reach));
    if (*home == settings_.process.host)
        return run_as_home(call, done);
    ++metrics_.counter("checks_sent_home");
    forward_check(*home, call, false, done);
}

void gate_service::forward_check(const host_id& host, const check_call& call,
                                 bool place_only, const check_callback& done) {
    const auto gate = gates_.find(host.value);
    const auto unreachable = failed_result(
        place_only ? check_outcome::not_run : check_outcome::unknown,
        place_only ? refusal::out_of_service : refusal::home_out_of_reach);
    if (gate == gates_.end())
        return done(unreachable);
    wire::check_request request;
    request.team = call.who.organisation.value;
    request.request = call.request.value;
    request.idempotent = call.idempotent;
    request.deadline_ms = static_cast<std::int32_t>(call.deadline.count());
    request.body = call.input;
    request.place_only = place_only;
    gate->second->call(
        wire::method::CHECK, wire_encode(request),
        call.deadline + FORWARD_TIMEOUT_MARGIN,
        [done, unreachable](const rpc_call_result& answer) {
            if (answer.outcome == rpc_outcome::not_sent)
                return done(unreachable);
            if (!answer.ok())
                return done(failed_result(check_outcome::unknown,
                                          refusal::unknown_outcome));
            const auto reply = wire_decode<wire::check_reply>(answer.body);
            check_result result;
            result.outcome = static_cast<check_outcome>(reply.outcome);
            if (result.outcome == check_outcome::answered)
                result.body = reply.body;
            else
                result.reason = reply.body;
            done(result);
        });
}

void gate_service::on_forwarded_check(const wire::check_request& request,
                                      const rpc_server::responder& answer) {
    check_call call;
    call.who.organisation = {request.team};
    call.request = {request.request};
    call.idempotent = request.idempotent;
    call.deadline = std::clamp(millis(request.deadline_ms), MIN_TIME_LEFT,
                               settings_.max_deadline);
    call.input = request.body;
    const check_callback done = [answer](const check_result& result) {
        wire::check_reply reply;
        reply.outcome = static_cast<std::int32_t>(result.outcome);
        reply.body = result.outcome == check_outcome::answered ? result.body
                                                               : result.reason;
        answer(wire::status::OK, wire_encode(reply));
    };
    if (!feed_.has_state() || !may_serve(call.who))
        return done(failed_result(request.place_only ? check_outcome::not_run
                                                     : check_outcome::unknown,
                                  refusal::stale));
    if (request.place_only)
        place_check(call, done);
    else
        run_as_home(call, done);
}

void gate_service::run_as_home(const check_call& call,
                               const check_callback& done) {
    const auto home = home_of_request(feed_.state().config.in_force,
                                      call.who.organisation, call.request);
    // Gates with different configuration versions may disagree on the home
    // gate; then the check is not run.
    if (home != settings_.process.host)
        return done(
            failed_result(check_outcome::unknown, refusal::home_out_of_reach));
    const auto created_ms = request_time_ms(call.request);
    if (!created_ms)
        return done(
            failed_result(check_outcome::not_run, refusal::request_id_needed));
    check_result recorded;
    const deduplication_verdict verdict =
        deduplicator_.admit(call.who.organisation, call.request, *created_ms,
                            wall_millis(), recorded, done);
    switch (verdict) {
    case deduplication_verdict::new_request:
        return place_and_record(call, done);
    case deduplication_verdict::in_progress:
        ++metrics_.counter("repeats_joined");
        return;
    case deduplication_verdict::completed:
        ++metrics_.counter("repeats_answered");
        return done(recorded);
    case deduplication_verdict::too_old:
        return done(
            failed_result(check_outcome::unknown, refusal::request_too_old));
    case deduplication_verdict::too_new:
        return done(failed_result(check_outcome::not_run, refusal::malformed));
    case deduplication_verdict::full:
        return done(failed_result(check_outcome::not_run, refusal::overloaded));
    }
}

void gate_service::place_and_record(const check_call& call,
                                    const check_callback& done) {
    place_check(call, [this, call, done](const check_result& result) {
        deduplicator_.finish(call.who.organisation, call.request, result);
        done(result);
    });
}

std::optional<host_id> gate_service::next_gate_in_service() {
    std::vector<host_id> hosts;
    for (const auto& [id, centre] : feed_.state().config.in_force.data_centres)
        if (centre.in_service && id != settings_.process.data_centre)
            hosts.insert(hosts.end(), centre.entry_hosts.begin(),
                         centre.entry_hosts.end());
    if (hosts.empty())
        return std::nullopt;
    return hosts[next_gate_++ % hosts.size()];
}

void gate_service::place_check(const check_call& call,
                               const check_callback& done) {
    const auto& centres = feed_.state().config.in_force.data_centres;
    const auto own_centre = centres.find(settings_.process.data_centre);
    if (own_centre == centres.end() || !own_centre->second.in_service) {
        const auto other = next_gate_in_service();
        if (!other)
            return done(
                failed_result(check_outcome::not_run, refusal::out_of_service));
        ++metrics_.counter("checks_sent_elsewhere");
        return forward_check(*other, call, true, done);
    }
    const mono_time now = event_loop::now();
    const std::int64_t id = next_check_++;
    const queued_check queued{.id = id,
                              .organisation = call.who.organisation,
                              .deadline = now + call.deadline};
    const push_result pushed = queue_.push(queued, runners_.capacity(), now);
    if (pushed != push_result::queued) {
        ++metrics_.counter("checks_refused_early");
        return done(failed_result(check_outcome::not_run, refusal::overloaded));
    }
    checks_[id] = {.call = call,
                   .deadline = queued.deadline,
                   .started_micros = event_loop::now_micros(),
                   .done = done};
    retries_.earn();
    dispatch_queued_checks();
}

void gate_service::dispatch_queued_checks() {
    if (!earlier_appends_resolved_ || queue_.size() == 0)
        return;
    const cell_state& state = feed_.state();
    const auto may_run = [&](const organisation_name& organisation) {
        return quota_.can_acquire(state, {organisation, quota_kind::checks}, 1);
    };
    const auto weight =
        [&](const organisation_name& organisation) -> std::int64_t {
        const auto found =
            state.config.in_force.organisations.find(organisation);
        return found == state.config.in_force.organisations.end()
                   ? 1
                   : found->second.weight;
    };
    const mono_time now = event_loop::now();
    while (queue_.size() > 0 && runners_.room(now) > 0) {
        const auto next = queue_.pop(may_run, weight);
        if (!next)
            return request_quota();
        runner_view* runner = runners_.acquire(now);
        if (runner == nullptr)
            return queue_.put_back(*next);
        quota_.acquire({next->organisation, quota_kind::checks}, 1);
        send_to_runner(next->id, *runner);
    }
}

void gate_service::request_quota() {
    for (const auto& [organisation, count] : queue_.waiting())
        quota_.demand({organisation, quota_kind::checks}, count);
    const auto records = quota_.tick(feed_.state(), event_loop::now());
    if (records.empty())
        return;
    metrics_.counter("quota_records") += records.size();
    feed_.append(records, settings_.default_deadline,
                 [](const rpc_call_result&) {});
}

void gate_service::send_to_runner(std::int64_t id, runner_view& runner) {
    active_check& check = checks_.at(id);
    ++check.attempts;
    ++metrics_.counter("checks_dispatched");
    const millis left = std::max(
        MIN_TIME_LEFT,
        std::chrono::duration_cast<millis>(check.deadline - event_loop::now()));
    // The id is unique per attempt, so that a late answer to another attempt
    // is not taken for the answer to this one.
    const std::string attempt_id = settings_.process.host.value + "." +
                                   std::to_string(id) + "." +
                                   std::to_string(check.attempts);
    const std::int64_t sent = event_loop::now_micros();
    runner_client_.run(runner.info.address, attempt_id, check.call.input, left,
                       [this, id, runner_name = runner.info.id,
                        sent](const run_answer& answer) {
                           on_runner_answer(id, runner_name, sent, answer);
                       });
}

void gate_service::on_runner_answer(std::int64_t id, const runner_id& runner,
                                    std::int64_t sent_micros,
                                    const run_answer& answer) {
    const auto found = checks_.find(id);
    active_check& check = found->second;
    const mono_time now = event_loop::now();
    const organisation_name organisation = check.call.who.organisation;
    const quota_key key{organisation, quota_kind::checks};
    const std::int64_t duration_micros = event_loop::now_micros() - sent_micros;
    queue_.finished(organisation, duration_micros);
    if (answer.result == run_result::answered) {
        runners_.release(runner, millis(duration_micros / 1'000));
        quota_.release(key, 1);
        metrics_.histogram("runner").record(duration_micros);
        finish_check(id,
                     {.outcome = check_outcome::answered, .body = answer.body});
        return dispatch_queued_checks();
    }
    if (answer.result == run_result::not_run) {
        runners_.release_failed(runner, now);
        quota_.release(key, 1);
        ++metrics_.counter("runs_refused");
    } else {
        ++metrics_.counter("runs_unknown");
        // The check may still run on the runner until its deadline. Its slot
        // and quota stay in use until then.
        const millis left =
            std::max(millis(0),
                     std::chrono::duration_cast<millis>(check.deadline - now));
        loop_.after(left, [this, runner, key] {
            runners_.release_failed(runner, event_loop::now());
            quota_.release(key, 1);
        });
    }
    const bool may_repeat =
        answer.result == run_result::not_run || check.call.idempotent;
    if (may_repeat && check.attempts < MAX_ATTEMPTS &&
        check.deadline - now > MIN_TIME_LEFT && retries_.spend()) {
        ++metrics_.counter("checks_repeated");
        const push_result pushed = queue_.push({.id = id,
                                                .organisation = organisation,
                                                .deadline = check.deadline},
                                               runners_.capacity(), now);
        if (pushed == push_result::queued)
            return dispatch_queued_checks();
    }
    finish_check(
        id,
        answer.result == run_result::not_run
            ? failed_result(check_outcome::not_run, refusal::overloaded)
            : failed_result(check_outcome::unknown, refusal::unknown_outcome));
    dispatch_queued_checks();
}

void gate_service::finish_check(std::int64_t id, const check_result& result) {
    const auto found = checks_.find(id);
    const check_callback done = std::move(found->second.done);
    checks_.erase(found);
    done(result);
}

void gate_service::expire_checks() {
    for (const queued_check& expired : queue_.expire(event_loop::now())) {
        const active_check& check = checks_.at(expired.id);
        const bool at_limit = !quota_.can_acquire(
            feed_.state(), {expired.organisation, quota_kind::checks}, 1);
        ++metrics_.counter("checks_expired");
        const bool may_have_run = check.attempts > 0 && check.call.idempotent;
        finish_check(expired.id,
                     failed_result(may_have_run ? check_outcome::unknown
                                                : check_outcome::not_run,
                                   may_have_run ? refusal::unknown_outcome
                                   : at_limit   ? refusal::organisation_at_limit
                                                : refusal::overloaded));
    }
}

void gate_service::update_runners() {
    if (!feed_.has_state())
        return;
    const auto& centres = feed_.state().config.in_force.data_centres;
    const auto own_centre = centres.find(settings_.process.data_centre);
    if (own_centre == centres.end())
        return;
    const auto& hosts = own_centre->second.entry_hosts;
    const auto position =
        std::find(hosts.begin(), hosts.end(), settings_.process.host);
    if (position == hosts.end())
        return;
    runners_.update(feed_.hosts().runners, settings_.process.data_centre,
                    position - hosts.begin(),
                    static_cast<std::int64_t>(hosts.size()));
}

} // namespace rattan
