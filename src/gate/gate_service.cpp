#include "gate/gate_service.hpp"

#include "base/log_func.hpp"
#include "fold/request_func.hpp"
#include "net/thrift_codec.hpp"

#include <algorithm>

namespace rattan {

using nlohmann::json;

namespace {

constexpr millis TICK_PERIOD{20};
/** Period of quota decisions apart from those for queued checks. */
constexpr millis QUOTA_CHECK_PERIOD{200};
constexpr millis SHUTDOWN_POLL_PERIOD{50};
/** Without requests for this long, the load balancer has removed this gate. */
constexpr millis SHUTDOWN_QUIET_PERIOD{1'000};
constexpr double RETRIES_PER_CHECK = 0.1;
constexpr double MAX_SAVED_RETRIES = 50;
/** A runner accepts about 60 connections from the gates of its data centre. */
constexpr http_client_limits RUNNER_LIMITS{.connections_per_server = 10};

} // namespace

gate_service::gate_service(event_loop& loop, gate_settings settings)
    : loop_(loop), settings_(std::move(settings)), client_(loop, RUNNER_LIMITS),
      runner_client_(client_), rpc_(loop, settings_.process.rpc),
      body_budget_(
          make_body_budget(settings_.process, settings_.caller_limits)),
      http_(loop, settings_.process.http,
            bounded_limits(settings_.caller_limits, body_budget_, metrics_),
            [this](const http_request& request, const http_responder& answer) {
                on_http(request, answer);
            }),
      feed_(loop, settings_.process.relays,
            {.on_restore = [this] { update_runners(); },
             .on_entry =
                 [this](const log_entry& entry, const entry_context&,
                        fold_verdict verdict) { on_entry(entry, verdict); },
             .on_hosts = [this](const host_list&) { update_runners(); },
             .on_batch_applied =
                 [this] {
                     update_runners();
                     dispatch_queued_checks();
                 }}),
      quota_(gate_holder(settings_.process.host), {quota_kind::checks}),
      runners_(choice_policies().at(settings_.runner_choice),
               static_cast<std::uint64_t>(wall_millis())),
      deduplicator_(wall_millis(), settings_.clock_skew.count()),
      retries_(RETRIES_PER_CHECK, MAX_SAVED_RETRIES) {
    for (const auto& [host, address] : settings_.gates)
        if (host != settings_.process.host.value)
            gates_[host] = std::make_unique<rpc_client>(loop, address);
}

void gate_service::start() {
    started_ = event_loop::now();
    rpc_.on(wire::method::CHECK, [this](const std::string& body,
                                        const rpc_server::responder& answer) {
        on_forwarded_check(wire_decode<wire::check_request>(body), answer);
    });
    feed_.start();
    loop_.every(TICK_PERIOD, [this] { tick(); });
    // By then the checks that a previous process of this gate had running
    // have ended, and callers make request ids that it can't have seen.
    loop_.after(std::max(settings_.max_deadline, settings_.clock_skew * 3),
                [this] { wait_for_earlier_appends(); });
    log_event(log_level::info, "started",
              {{"host", settings_.process.host.value}});
}

void gate_service::wait_for_earlier_appends() {
    feed_.when_appends_resolved([this](bool resolved) {
        if (!resolved) {
            loop_.after(TICK_PERIOD * 10,
                        [this] { wait_for_earlier_appends(); });
            return;
        }
        earlier_appends_resolved_ = true;
        log_event(log_level::info, "ready");
    });
}

void gate_service::shut_down() {
    if (shutting_down_)
        return;
    shutting_down_ = true;
    last_request_at_ = event_loop::now();
    log_event(log_level::info, "leaving");
    http_.drain();
    const mono_time earliest = event_loop::now() + settings_.shutdown_grace;
    loop_.every(SHUTDOWN_POLL_PERIOD, [this, earliest] {
        const mono_time now = event_loop::now();
        if (now < earliest || now - last_request_at_ < SHUTDOWN_QUIET_PERIOD)
            return;
        if (http_.in_flight() > 0 || !checks_.empty())
            return;
        log_event(log_level::info, "left");
        loop_.stop();
    });
}

bool gate_service::is_ready() const {
    // With its idle quota a gate can serve even if it loses the log later.
    return earlier_appends_resolved_ &&
           (idle_quota_granted_ || !feed_.fresh().log_reachable) &&
           !shutting_down_ &&
           feed_.fresh().may_serve(
               event_loop::now(),
               feed_.state().config.in_force.cell.isolation_limit);
}

bool gate_service::may_serve(const caller& who) const {
    const millis cell = feed_.state().config.in_force.cell.isolation_limit;
    const millis limit = std::min(cell, who.isolation_limit.value_or(cell));
    return feed_.has_state() &&
           feed_.fresh().may_serve(event_loop::now(), limit);
}

void gate_service::tick() {
    if (queue_.size() > 0) {
        expire_checks();
        dispatch_queued_checks();
    }
    if (!waiting_jobs_.empty())
        expire_waiting_jobs();
    const mono_time now = event_loop::now();
    if (!feed_.has_state() || !earlier_appends_resolved_ ||
        now < next_quota_check_)
        return;
    next_quota_check_ = now + QUOTA_CHECK_PERIOD;
    request_quota();
    idle_quota_granted_ = idle_quota_granted_ || quota_.all_records_applied();
}

void gate_service::on_http(const http_request& request,
                           const http_responder& answer) {
    const bool handled =
        answer_admin(request, metrics_,
                     {.is_ready = [this] { return is_ready(); },
                      .dump = [this] { return dump(); },
                      .state = [this] { return state_json(); }},
                     answer);
    if (handled)
        return;
    last_request_at_ = event_loop::now();
    ++metrics_.counter("requests");
    const std::string id = request.request_id;
    const http_responder with_id = [this, answer,
                                    id](const http_response& reply) {
        http_response response = reply;
        response.request_id = id;
        if (reply.status / 100 != 2)
            ++metrics_.counter("refused_" + std::to_string(reply.status));
        answer(response);
    };
    route(request, with_id);
}

void gate_service::route(const http_request& request,
                         const http_responder& answer) {
    const std::string job_path = "/v1/jobs/";
    if (request.method == "POST" && request.path == "/v1/checks")
        return on_check(request, answer);
    if (request.method == "POST" && request.path == "/v1/jobs")
        return on_submit(request, answer);
    if (request.method == "GET" && request.path == "/v1/jobs")
        return on_list_jobs(request, answer);
    if ((request.method == "GET" || request.method == "DELETE") &&
        request.path.starts_with(job_path))
        return on_job(request, answer);
    answer(make_problem({.status = 404,
                         .type = "unknown-path",
                         .detail = request.method + " " + request.path}));
}

run_state gate_service::run_state_after_refusal(const http_request& request,
                                                refusal which) const {
    if (which == refusal::unknown_outcome ||
        which == refusal::home_out_of_reach ||
        which == refusal::request_too_old)
        return run_state::may_have_run;
    if (request.request_id.empty() || request.attempt == 1)
        return run_state::not_run;
    // An earlier request with this id may be in the log, or an append of it
    // may be in progress.
    if (which == refusal::log_out_of_reach || which == refusal::stale ||
        which == refusal::leaving || which == refusal::out_of_service)
        return run_state::may_have_run;
    const request_id id{request.request_id};
    for (const auto& [job, live] : feed_.state().jobs)
        if (live.spec.request == id)
            return run_state::may_have_run;
    for (const auto& [job, ended] : feed_.state().ended)
        if (ended.request == id)
            return run_state::may_have_run;
    return run_state::not_run;
}

void gate_service::refuse(const http_request& request,
                          const http_responder& answer,
                          const refused& why) const {
    const refusal_text& text = text_of(why.kind);
    answer(make_problem({.status = text.status,
                         .type = text.type,
                         .detail = why.detail,
                         .state = run_state_after_refusal(request, why.kind),
                         .retry_after_s = text.retry_after_s}));
}

bool gate_service::refuse_if_not_started(const http_request& request,
                                         const http_responder& answer) {
    if (feed_.has_state())
        return false;
    refuse(request, answer,
           {refusal::stale, "this gate has not yet received a snapshot"});
    return true;
}

bool gate_service::refuse_if_stale(const http_request& request,
                                   const caller& who,
                                   const http_responder& answer) {
    if (may_serve(who))
        return false;
    refuse(request, answer,
           {refusal::stale,
            "the state of this gate is older than the isolation limit"});
    return true;
}

void gate_service::log_dump() const {
    log_state_dump(dump());
}

json gate_service::state_json() const {
    json state = feed_state_json(feed_, settings_.process, "gate");
    state["ready"] = is_ready();
    return state;
}

json gate_service::dump() const {
    json runners = json::object();
    for (const auto& [id, runner] : runners_.runners())
        runners[id.value] = {{"credit", runner.credit},
                             {"in_use", runner.in_use},
                             {"latency_ms", runner.latency_ms},
                             {"failures", runner.failures},
                             {"leaving", runner.leaving}};
    json spent = json::object();
    for (const auto& [organisation, ignored] :
         feed_.state().config.in_force.organisations)
        spent[organisation.value] =
            quota_.in_use({organisation, quota_kind::checks});
    return {{"state", state_json()},
            {"runners", runners},
            {"checks_under_way", spent},
            {"queued_checks", queue_.size()},
            {"remembered_requests", deduplicator_.size()},
            {"waiting_jobs", waiting_jobs_.size()},
            {"counters", metrics_.counters()}};
}

} // namespace rattan
