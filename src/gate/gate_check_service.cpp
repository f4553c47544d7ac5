/** @file Quick checks: remembered at their home, run on a runner. */
#include "gate/gate_service.hpp"

#include "fold/request_func.hpp"
#include "net/thrift_codec.hpp"
#include "route/home_func.hpp"

#include <algorithm>

namespace rattan {

using nlohmann::json;

namespace {

constexpr int MAX_ATTEMPTS = 3;
constexpr millis MIN_TIME_LEFT{1}; ///< Less is no time for an attempt.
constexpr millis CALL_SLACK{200};  ///< For the way to another gate.

/** A result that says why there is no answer. */
check_result failed(check_outcome outcome, refusal why) {
    return {.outcome = outcome, .reason = text_of(why).type};
}

/** The refusal behind a result's reason. */
refusal refusal_of(const check_result& result) {
    for (int i = 0; i <= static_cast<int>(refusal::leaving); ++i)
        if (result.reason == text_of(static_cast<refusal>(i)).type)
            return static_cast<refusal>(i);
    return refusal::unknown_outcome;
}

} // namespace

void gate_service::on_check(const http_request& request,
                            const http_answer_fn& answer) {
    if (refuse_unready(request, answer))
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
        std::clamp(call.deadline, MIN_TIME_LEFT, settings_.longest_deadline);
    const declarations& declared = feed_.state().config.in_force;
    const auto who =
        admit_to_plan(declared, plan, work_kind::check,
                      authenticate(declared, request.authorization));
    if (const auto* why = std::get_if<refused>(&who))
        return refuse(request, answer, *why);
    call.who = std::get<caller>(who);
    call.request = {request.request_id};
    if (!may_serve(call.who))
        return refuse(request, answer,
                      {refusal::stale, "cut off for too long"});
    if (!call.idempotent && !request_time_ms(call.request))
        return refuse(request, answer,
                      {refusal::request_id_needed,
                       "send X-Request-Id as UNIX_MILLIS-ANYTHING, or say "
                       "idempotent: true"});
    const std::int64_t began = event_loop::now_micros();
    const result_fn done = [this, request, answer,
                            began](const check_result& result) {
        metrics_.histogram("check").record(event_loop::now_micros() - began);
        answer_check(request, answer, result);
    };
    if (call.idempotent)
        place_check(call, done);
    else
        run_at_home(call, done);
}

void gate_service::answer_check(const http_request& request,
                                const http_answer_fn& answer,
                                const check_result& result) const {
    if (result.outcome == check_outcome::answered)
        return answer({.body = result.body});
    const refusal why = refusal_of(result);
    const refusal_text& text = text_of(why);
    // The home remembers every sending of this id, so its word counts.
    const bool not_run = result.outcome == check_outcome::not_run;
    answer(make_problem(
        {.status = text.status,
         .type = text.type,
         .detail = "request " + request.request_id,
         .state = not_run ? run_state::not_run : run_state::may_have_run,
         .retry_after_s = text.retry_after_s}));
}

void gate_service::run_at_home(const check_call& call, const result_fn& done) {
    const auto home = home_of_request(feed_.state().config.in_force,
                                      call.who.organisation, call.request);
    if (!home)
        return done(failed(check_outcome::unknown, refusal::home_out_of_reach));
    if (*home == settings_.process.host)
        return run_here(call, done);
    ++metrics_.counter("checks_sent_home");
    send_check(*home, call, false, done);
}

void gate_service::send_check(const host_id& host, const check_call& call,
                              bool place_only, const result_fn& done) {
    const auto gate = gates_.find(host.value);
    const auto away = failed(
        place_only ? check_outcome::not_run : check_outcome::unknown,
        place_only ? refusal::out_of_service : refusal::home_out_of_reach);
    if (gate == gates_.end())
        return done(away);
    wire::check_request request;
    request.team = call.who.organisation.value;
    request.request = call.request.value;
    request.idempotent = call.idempotent;
    request.deadline_ms = static_cast<std::int32_t>(call.deadline.count());
    request.body = call.input;
    request.place_only = place_only;
    gate->second->call(
        wire::method::CHECK, wire_encode(request), call.deadline + CALL_SLACK,
        [done, away](const rpc_call_result& answer) {
            if (answer.outcome == rpc_outcome::not_sent)
                return done(away);
            if (!answer.ok())
                return done(
                    failed(check_outcome::unknown, refusal::unknown_outcome));
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

void gate_service::on_check_call(const wire::check_request& request,
                                 const rpc_server::responder& answer) {
    check_call call;
    call.who.organisation = {request.team};
    call.request = {request.request};
    call.idempotent = request.idempotent;
    call.deadline = std::clamp(millis(request.deadline_ms), MIN_TIME_LEFT,
                               settings_.longest_deadline);
    call.input = request.body;
    const result_fn done = [answer](const check_result& result) {
        wire::check_reply reply;
        reply.outcome = static_cast<std::int32_t>(result.outcome);
        reply.body = result.outcome == check_outcome::answered ? result.body
                                                               : result.reason;
        answer(wire::status::OK, wire_encode(reply));
    };
    if (!feed_.has_state() || !may_serve(call.who))
        return done(failed(request.place_only ? check_outcome::not_run
                                              : check_outcome::unknown,
                           refusal::stale));
    if (request.place_only)
        place_check(call, done);
    else
        run_here(call, done);
}

void gate_service::run_here(const check_call& call, const result_fn& done) {
    const auto home = home_of_request(feed_.state().config.in_force,
                                      call.who.organisation, call.request);
    // Gates of different versions may differ on the home: none runs it then.
    if (home != settings_.process.host)
        return done(failed(check_outcome::unknown, refusal::home_out_of_reach));
    const auto made_ms = request_time_ms(call.request);
    if (!made_ms)
        return done(failed(check_outcome::not_run, refusal::request_id_needed));
    check_result known;
    const deduplication_verdict verdict =
        deduplicator_.admit(call.who.organisation, call.request, *made_ms,
                            wall_millis(), known, done);
    switch (verdict) {
    case deduplication_verdict::new_request:
        return take_remembered(call, done);
    case deduplication_verdict::in_progress:
        ++metrics_.counter("repeats_joined");
        return;
    case deduplication_verdict::completed:
        ++metrics_.counter("repeats_answered");
        return done(known);
    case deduplication_verdict::too_old:
        return done(failed(check_outcome::unknown, refusal::request_too_old));
    case deduplication_verdict::too_new:
        return done(failed(check_outcome::not_run, refusal::malformed));
    case deduplication_verdict::full:
        return done(failed(check_outcome::not_run, refusal::overloaded));
    }
}

void gate_service::take_remembered(const check_call& call,
                                   const result_fn& done) {
    place_check(call, [this, call, done](const check_result& result) {
        deduplicator_.finish(call.who.organisation, call.request, result);
        done(result);
    });
}

std::optional<host_id> gate_service::gate_in_service() {
    std::vector<host_id> hosts;
    for (const auto& [id, centre] : feed_.state().config.in_force.data_centres)
        if (centre.in_service && id != settings_.process.data_centre)
            hosts.insert(hosts.end(), centre.entry_hosts.begin(),
                         centre.entry_hosts.end());
    if (hosts.empty())
        return std::nullopt;
    return hosts[next_gate_++ % hosts.size()];
}

void gate_service::place_check(const check_call& call, const result_fn& done) {
    const auto& centres = feed_.state().config.in_force.data_centres;
    const auto here = centres.find(settings_.process.data_centre);
    if (here == centres.end() || !here->second.in_service) {
        const auto other = gate_in_service();
        if (!other)
            return done(
                failed(check_outcome::not_run, refusal::out_of_service));
        ++metrics_.counter("checks_sent_elsewhere");
        return send_check(*other, call, true, done);
    }
    const mono_time now = event_loop::now();
    const std::int64_t id = next_check_++;
    const queued_check queued{.id = id,
                              .organisation = call.who.organisation,
                              .deadline = now + call.deadline};
    const push_result pushed = queue_.push(queued, runners_.capacity(), now);
    if (pushed != push_result::queued) {
        ++metrics_.counter("checks_refused_early");
        return done(failed(check_outcome::not_run, refusal::overloaded));
    }
    checks_[id] = {.call = call,
                   .deadline = queued.deadline,
                   .began_micros = event_loop::now_micros(),
                   .done = done};
    retries_.earn();
    pump_checks();
}

void gate_service::pump_checks() {
    if (!settled_ || queue_.size() == 0)
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
            return ask_for_quota();
        runner_view* runner = runners_.acquire(now);
        if (runner == nullptr)
            return queue_.put_back(*next);
        quota_.acquire({next->organisation, quota_kind::checks}, 1);
        dispatch(next->id, *runner);
    }
}

void gate_service::ask_for_quota() {
    for (const auto& [organisation, count] : queue_.waiting())
        quota_.demand({organisation, quota_kind::checks}, count);
    const auto records = quota_.tick(feed_.state(), event_loop::now());
    if (records.empty())
        return;
    metrics_.counter("quota_records") += records.size();
    feed_.append(records, settings_.default_deadline,
                 [](const rpc_call_result&) {});
}

void gate_service::dispatch(std::int64_t id, runner_view& runner) {
    active_check& check = checks_.at(id);
    ++check.attempts;
    ++metrics_.counter("checks_dispatched");
    const millis left = std::max(
        MIN_TIME_LEFT,
        std::chrono::duration_cast<millis>(check.deadline - event_loop::now()));
    // An id of this sending: its answer can't be taken for another's.
    const std::string name = settings_.process.host.value + "." +
                             std::to_string(id) + "." +
                             std::to_string(check.attempts);
    const std::int64_t sent = event_loop::now_micros();
    runner_client_.run(runner.info.address, name, check.call.input, left,
                       [this, id, runner_name = runner.info.id,
                        sent](const run_answer& answer) {
                           on_run_answer(id, runner_name, sent, answer);
                       });
}

void gate_service::on_run_answer(std::int64_t id, const runner_id& runner,
                                 std::int64_t sent_micros,
                                 const run_answer& answer) {
    const auto found = checks_.find(id);
    active_check& check = found->second;
    const mono_time now = event_loop::now();
    const organisation_name organisation = check.call.who.organisation;
    const quota_key key{organisation, quota_kind::checks};
    const std::int64_t took = event_loop::now_micros() - sent_micros;
    queue_.finished(organisation, took);
    if (answer.result == run_result::answered) {
        runners_.release(runner, millis(took / 1'000));
        quota_.release(key, 1);
        metrics_.histogram("runner").record(took);
        finish_check(id,
                     {.outcome = check_outcome::answered, .body = answer.body});
        return pump_checks();
    }
    if (answer.result == run_result::not_run) {
        runners_.release_failed(runner, now);
        quota_.release(key, 1);
        ++metrics_.counter("runs_refused");
    } else {
        ++metrics_.counter("runs_unknown");
        // It may still run there until its deadline: slot and quota stay
        // taken until then.
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
            return pump_checks();
    }
    finish_check(
        id, answer.result == run_result::not_run
                ? failed(check_outcome::not_run, refusal::overloaded)
                : failed(check_outcome::unknown, refusal::unknown_outcome));
    pump_checks();
}

void gate_service::finish_check(std::int64_t id, const check_result& result) {
    const auto found = checks_.find(id);
    const result_fn done = std::move(found->second.done);
    checks_.erase(found);
    done(result);
}

void gate_service::expire_checks() {
    for (const queued_check& late : queue_.expire(event_loop::now())) {
        const active_check& check = checks_.at(late.id);
        const bool at_limit = !quota_.can_acquire(
            feed_.state(), {late.organisation, quota_kind::checks}, 1);
        ++metrics_.counter("checks_expired");
        const bool ran = check.attempts > 0 && check.call.idempotent;
        finish_check(late.id, failed(ran ? check_outcome::unknown
                                         : check_outcome::not_run,
                                     ran        ? refusal::unknown_outcome
                                     : at_limit ? refusal::organisation_at_limit
                                                : refusal::overloaded));
    }
}

void gate_service::update_runners() {
    if (!feed_.has_state())
        return;
    const auto& centres = feed_.state().config.in_force.data_centres;
    const auto here = centres.find(settings_.process.data_centre);
    if (here == centres.end())
        return;
    const auto& hosts = here->second.entry_hosts;
    const auto place =
        std::find(hosts.begin(), hosts.end(), settings_.process.host);
    if (place == hosts.end())
        return;
    runners_.update(feed_.hosts().runners, settings_.process.data_centre,
                    place - hosts.begin(),
                    static_cast<std::int64_t>(hosts.size()));
}

} // namespace rattan
