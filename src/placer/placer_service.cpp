#include "placer/placer_service.hpp"

#include "base/log_func.hpp"
#include "net/problem_func.hpp"
#include "net/thrift_codec.hpp"

namespace rattan {

namespace {

constexpr millis TICK_PERIOD{50};
constexpr std::int64_t PINGS_PER_TIMEOUT = 5;
constexpr millis PING_TIMEOUT{1'000};
constexpr millis APPEND_TIMEOUT{1'500};
/** Orders are short, and a worker is sent one at a time. */
constexpr http_client_limits WORKER_LIMITS{.connections_per_server = 2};
constexpr http_limits ADMIN_LIMITS{.connections = 100};

placer_options decision_options(const placer_settings& settings) {
    return {.host = settings.process.host,
            .data_centre = settings.process.data_centre,
            .incarnation = wall_millis(),
            .address = settings.process.rpc,
            .lease = settings.lease,
            .owner_timeout = settings.owner_timeout,
            .min_poll_period = settings.min_poll_period};
}

} // namespace

placer_service::placer_service(event_loop& loop, placer_settings settings)
    : loop_(loop), settings_(std::move(settings)), client_(loop, WORKER_LIMITS),
      workers_(client_), rpc_(loop, settings_.process.rpc),
      body_budget_(make_body_budget(settings_.process, ADMIN_LIMITS)),
      http_(loop, settings_.process.http,
            bounded_limits(ADMIN_LIMITS, body_budget_, metrics_),
            [this](const http_request& request,
                   const http_server::responder& answer) {
                on_http(request, answer);
            }),
      placer_(decision_options(settings_),
              packing_policies().at(settings_.packing)),
      feed_(
          loop, settings_.process.relays,
          {.on_restore =
               [this] { placer_.on_restore(feed_.state(), event_loop::now()); },
           .on_entry =
               [this](const log_entry& entry, const entry_context&,
                      fold_verdict verdict) {
                   placer_.on_entry(feed_.state(), entry, verdict,
                                    event_loop::now());
               },
           .on_hosts =
               [this](const host_list& hosts) { placer_.on_hosts(hosts); },
           .on_batch_applied = [this] { schedule_tick(); }}) {}

void placer_service::start() {
    rpc_.on(
        wire::method::JOB_STATUS,
        [this](const std::string& body, const rpc_server::responder& answer) {
            const auto request = wire_decode<wire::job_request>(body);
            wire::text_reply reply;
            reply.text = placer_.dump_job({request.job}).dump();
            answer(wire::status::OK, wire_encode(reply));
        });
    rpc_.on(wire::method::PING, [this](const std::string& body,
                                       const rpc_server::responder& answer) {
        const auto request = wire_decode<wire::ping_request>(body);
        placer_.on_peer_ping({request.host}, request.quiet, event_loop::now());
        wire::ping_reply reply;
        reply.epoch = leaving_ ? 0 : placer_.owner().value;
        answer(wire::status::OK, wire_encode(reply));
    });
    feed_.start();
    loop_.every(TICK_PERIOD, [this] { tick(); });
    loop_.every(settings_.owner_timeout / PINGS_PER_TIMEOUT,
                [this] { ping_owner(); });
    log_event(log_level::info, "started",
              {{"host", settings_.process.host.value},
               {"data_centre", settings_.process.data_centre.value}});
}

void placer_service::shut_down() {
    if (leaving_)
        return;
    leaving_ = true;
    log_event(log_level::info, "leaving");
    // Orders in flight may finish; new orders are left to the next owner.
    loop_.after(PING_TIMEOUT, [this] { loop_.stop(); });
}

void placer_service::schedule_tick() {
    if (tick_scheduled_)
        return;
    tick_scheduled_ = true;
    loop_.defer([this] {
        tick_scheduled_ = false;
        tick();
    });
}

void placer_service::tick() {
    if (!feed_.has_state() || leaving_)
        return;
    const mono_time now = event_loop::now();
    const std::int64_t started_micros = event_loop::now_micros();
    const placer_output output = placer_.tick(
        feed_.state(),
        {.now = now,
         .log_reachable =
             feed_.fresh().log_reachable && feed_.fresh().is_fresh(now),
         .may_decide = feed_.fresh().may_serve(
             now, feed_.state().config.in_force.cell.isolation_limit)});
    metrics_.histogram("tick").record(event_loop::now_micros() -
                                      started_micros);
    for (const outgoing_order& outgoing : output.orders)
        send(outgoing);
    append(output.records);
    const bool is_owner = placer_.owner() != epoch{};
    if (is_owner == was_owner_)
        return;
    was_owner_ = is_owner;
    log_event(log_level::info, is_owner ? "ownership_begun" : "ownership_ended",
              {{"claim", std::to_string(placer_.owner().value)}});
}

void placer_service::send(const outgoing_order& outgoing) {
    const worker_id worker = outgoing.worker;
    const epoch owner = outgoing.order.owner;
    const std::int64_t sequence = outgoing.order.sequence;
    workers_.order(outgoing.address, outgoing.order,
                   [this, worker, owner,
                    sequence](const std::optional<worker_answer>& answer) {
                       if (answer)
                           placer_.on_answer(worker, owner, sequence, *answer,
                                             event_loop::now());
                       else
                           placer_.on_no_answer(worker, owner, sequence);
                       schedule_tick();
                   });
    metrics_.counter("worker_bytes") = workers_.bytes();
}

void placer_service::append(const std::vector<log_entry>& records) {
    for (size_t at = 0; at < records.size(); at += MAX_GROUP_ENTRIES) {
        const auto end = std::min(records.size(),
                                  at + static_cast<size_t>(MAX_GROUP_ENTRIES));
        metrics_.counter("records_offered") += end - at;
        // Lost records are offered again until they are in the log.
        feed_.append({records.begin() + static_cast<std::ptrdiff_t>(at),
                      records.begin() + static_cast<std::ptrdiff_t>(end)},
                     APPEND_TIMEOUT, [](const rpc_call_result&) {});
    }
}

void placer_service::ping_owner() {
    if (!feed_.has_state() || placer_.owner() != epoch{})
        return;
    const auto found = feed_.state().owners.find(settings_.process.data_centre);
    if (found == feed_.state().owners.end() ||
        found->second.host == settings_.process.host)
        return;
    auto& client = owners_[found->second.address];
    if (!client)
        client = std::make_unique<rpc_client>(loop_, found->second.address);
    wire::ping_request request;
    request.host = settings_.process.host.value;
    request.quiet = placer_.has_no_live_lease(event_loop::now());
    client->call(wire::method::PING, wire_encode(request), PING_TIMEOUT,
                 [this](const rpc_call_result& answer) {
                     if (!answer.ok())
                         return;
                     const auto reply =
                         wire_decode<wire::ping_reply>(answer.body);
                     placer_.on_owner_alive({reply.epoch}, event_loop::now());
                 });
}

void placer_service::on_http(const http_request& request,
                             const http_server::responder& answer) {
    for (const auto& [name, value] : placer_.counters())
        metrics_.counter(name) = value;
    const bool handled = answer_admin(
        request, metrics_,
        {.is_ready = [this] { return feed_.has_state() && !leaving_; },
         .dump = [this] { return dump(); },
         .state = [this] { return state_json(); }},
        answer);
    if (!handled)
        answer(make_problem({.status = 404,
                             .type = "unknown-path",
                             .detail = request.method + " " + request.path}));
}

nlohmann::json placer_service::dump() const {
    nlohmann::json dump = placer_.dump(event_loop::now());
    dump["state"] = state_json();
    return dump;
}

void placer_service::log_dump() const {
    log_state_dump(dump());
}

nlohmann::json placer_service::state_json() const {
    nlohmann::json state = feed_state_json(feed_, settings_.process, "placer");
    state["owner"] = placer_.owner().value;
    state["ready"] = feed_.has_state() && !leaving_;
    return state;
}

} // namespace rattan
