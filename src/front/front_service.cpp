#include "front/front_service.hpp"

#include "base/log_func.hpp"
#include "dispatch/route_func.hpp"
#include "net/program_runtime.hpp"
#include "net/thrift_codec.hpp"
#include "platform/wire_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rattan::front {

using namespace dispatch;
using platform::keyed_record;

namespace {

constexpr int METRICS_PORT = 9464;  ///< As in the deploy file.
constexpr millis ASK_TIME{700};     ///< A question to the owner.
constexpr millis OWNER_SILENT{600}; ///< Then states come from the store.
constexpr millis OWNER_HEARD{300};  ///< Then they come from it again.
constexpr millis WATCH_PERIOD{200};
/** The balancer leaves out a host after two misses, a second apart. */
constexpr millis BALANCER_TIME{2200};
constexpr millis LEAVE_POLL{100};
constexpr millis LEAVE_SHORTEST{2500}; ///< The balancer needs two seconds.
constexpr millis LEAVE_SPARE{1000};    ///< Kept back of the grace time.
constexpr std::size_t KEPT_DESCRIPTORS = 300; ///< Not for callers.
constexpr unsigned CALLER_IDLE_S = 30;
/** Twelve reads of the owner wait, appends and loads come besides. */
constexpr long STORE_CONNECTIONS = 40;

/** Hosts begin with different partitions. */
int first_part(const host_id& host) {
    return static_cast<int>(XXH64(host.value.data(), host.value.size(), 0) %
                            MOST_JOB_PARTS);
}

} // namespace

front_service::front_service(event_loop& loop,
                             const platform::platform_settings& settings)
    : loop_(loop), settings_(settings), life_(wall_millis()), http_(loop),
      store_http_(loop, {.connections_per_server = STORE_CONNECTIONS}),
      store_(store_http_, settings.store_address),
      rpc_address_(settings.ip + ":" +
                   std::to_string(settings.first_internal_port)),
      members_(loop, store_, settings_, rpc_address_, life_,
               {.owned =
                    [this](std::int64_t epoch) {
                        owner_ = std::make_unique<owner_service>(
                            owner_context{loop_, http_, store_, settings_,
                                          members_, metrics_, delegates_},
                            epoch);
                        owner_->confirmed(event_loop::now());
                        owner_->set_config(config_);
                        owner_->set_evacuated(evacuated_);
                        owner_->set_hosts();
                    },
                .lost =
                    [this] {
                        // Its callbacks may be on the stack.
                        loop_.defer([held = std::shared_ptr<owner_service>(
                                         std::move(owner_))] {});
                    },
                .confirmed =
                    [this](mono_time at) {
                        if (owner_)
                            owner_->confirmed(at);
                    },
                .members_changed =
                    [this] {
                        if (owner_)
                            owner_->set_hosts();
                    }}),
      delegates_(loop, http_, members_, settings.host),
      operator_(
          loop, store_,
          {.topic = platform::OPERATOR_TOPIC, .wait = millis(700)},
          [this](const keyed_record& record) { take_operator_record(record); },
          [this](const std::set<std::string>& keys) {
              operator_records_loaded(keys);
          }),
      writer_(loop, store_,
              {.topic = JOBS_TOPIC,
               .parts = std::min(settings.store_parts, MOST_JOB_PARTS),
               .first_part = first_part(settings.host),
               .producer = settings.host.value + "/" + std::to_string(life_)}) {
    writer_.on_answered([this] { members_.store_answered(); });
}

void front_service::start() {
    serve_peers();
    readiness_ = std::make_unique<http_server>(
        loop_, settings_.ready_address, http_limits{.connections = 50},
        [this](const http_request&, const http_server::responder& answer) {
            answer({.status = ready() ? 200 : 503, .body = "{}"});
        });
    metrics_page_ = std::make_unique<http_server>(
        loop_, settings_.ip + ":" + std::to_string(METRICS_PORT),
        http_limits{.connections = 20},
        [this](const http_request& request,
               const http_server::responder& answer) {
            if (request.path == "/dump")
                answer({.body = owner_ ? owner_->decisions().dump() : "{}"});
            else
                answer({.body = metrics_.text(), .content_type = "text/plain"});
        });
    callers_ = std::make_unique<http_server>(
        loop_, settings_.client_address,
        http_limits{.body_bytes = 1U << 20U,
                    .connections = static_cast<unsigned>(
                        settings_.max_descriptors - 2 * KEPT_DESCRIPTORS),
                    .idle_s = CALLER_IDLE_S,
                    .captured_headers = {platform::DEADLINE_HEADER}},
        [this](const http_request& request, http_server::responder answer) {
            on_caller(request, std::move(answer));
        });
    members_.start();
    operator_.start();
    loop_.every(WATCH_PERIOD, [this] { watch_owner(); });
    log_event(log_level::info, "started",
              {{"host", settings_.host.value},
               {"life", std::to_string(life_)},
               {"version", RATTAN_VERSION}});
}

bool front_service::ready() const {
    return !leaving_ && config_.version > 0 && members_.ready() && connected();
}

bool front_service::connected() const {
    // Without the store, writes go through other hosts.
    return !members_.store_silent() || !members_.helpers().empty();
}

void front_service::take_operator_record(const keyed_record& record) {
    if (const auto centre = platform::evacuated_data_centre(record.key)) {
        if (record.value.empty())
            evacuated_.erase(*centre);
        else
            evacuated_.insert(*centre);
        log_event(log_level::info, "evacuation",
                  {{"data_centre", centre->value},
                   {"out", record.value.empty() ? "no" : "yes"}});
        if (owner_)
            owner_->set_evacuated(evacuated_);
        return;
    }
    if (record.key != platform::CONFIG_KEY || record.value.empty())
        return;
    try {
        cell_config config = platform::decode_config(record.value);
        if (config.version < config_.version)
            return;
        config_ = std::move(config);
        log_event(log_level::info, "config_in_force",
                  {{"version", std::to_string(config_.version)},
                   {"queues", std::to_string(config_.queues.size())}});
        if (owner_)
            owner_->set_config(config_);
    } catch (const decode_error& failure) {
        log_event(log_level::error, "config_unreadable",
                  {{"cause", failure.what()}});
    }
}

void front_service::operator_records_loaded(const std::set<std::string>& keys) {
    std::set<data_centre_id> centres;
    for (const std::string& key : keys)
        if (const auto centre = platform::evacuated_data_centre(key))
            if (evacuated_.contains(*centre))
                centres.insert(*centre);
    if (centres == evacuated_)
        return;
    evacuated_ = std::move(centres);
    if (owner_)
        owner_->set_evacuated(evacuated_);
}

void front_service::serve_peers() {
    rpc_ = std::make_unique<rpc_server>(loop_, rpc_address_);
    delegate_service::serve(*rpc_, http_);
    rpc_->on(wire::method::BEAT,
             [this](const std::string&, const rpc_server::responder& answer) {
                 answer(wire::status::OK, members_.answer_beat());
             });
    rpc_->on(wire::method::ADVISE, [this](const std::string& body,
                                          rpc_server::responder answer) {
        const auto request = wire_decode<wire::advise_request>(body);
        owner_service::advise(
            http_, settings_.advice_address, request.step, request.targets,
            millis(request.timeout_ms),
            [answer = std::move(answer)](const advice_answer& advice) {
                wire::advise_reply reply;
                for (const eligible_target& row : advice.eligible) {
                    wire::advised_target target;
                    target.target = row.target.value;
                    target.ticket = row.ticket;
                    reply.targets.push_back(target);
                }
                reply.valid_ms =
                    static_cast<std::int32_t>(advice.ticket_lifetime.count());
                answer(advice.ok ? wire::status::OK : wire::status::UNKNOWN,
                       wire_encode(reply));
            });
    });
    delegate_service::serve(*rpc_, http_);
    rpc_->on(wire::method::STORE, [this](const std::string& body,
                                         rpc_server::responder answer) {
        const auto request = wire_decode<wire::store_request>(body);
        writer_.write(request.key, request.value,
                      [answer = std::move(answer)](write_result result) {
                          answer(result == write_result::stored
                                     ? wire::status::OK
                                 : result == write_result::not_stored
                                     ? wire::status::UNAVAILABLE
                                     : wire::status::UNKNOWN,
                                 "");
                      });
    });
    rpc_->on(wire::method::STORED, [this](const std::string& body,
                                          const auto& answer) {
        const auto request = wire_decode<wire::store_request>(body);
        if (!owner_ || !owner_->serving())
            return answer(wire::status::UNAVAILABLE, "");
        owner_->take_stored({.key = request.key, .value = request.value});
        answer(wire::status::OK, "");
    });
    rpc_->on(wire::method::JOB_STATE, [this](const std::string& body,
                                             const auto& answer) {
        const auto request = wire_decode<wire::job_state_request>(body);
        if (!owner_ || !owner_->serving())
            return answer(wire::status::UNAVAILABLE, "");
        wire::job_state_reply reply;
        reply.state = static_cast<std::int32_t>(owner_->decisions().state_of(
            {request.job}, {request.organisation}));
        answer(wire::status::OK, wire_encode(reply));
    });
    rpc_->on(wire::method::WAITING,
             [this](const std::string& body, const auto& answer) {
                 const auto request = wire_decode<wire::waiting_request>(body);
                 if (!owner_ || !owner_->serving())
                     return answer(wire::status::UNAVAILABLE, "");
                 wire::waiting_reply reply;
                 reply.jobs = owner_->decisions().waiting_in({request.queue});
                 answer(wire::status::OK, wire_encode(reply));
             });
}

void front_service::on_caller(const http_request& request,
                              const http_server::responder& answer) {
    ++metrics_.counter("rattan_requests_total");
    if (config_.version == 0)
        return answer(refusal(503));
    const queue_config* queue = find_queue(config_, request.host, request.path);
    if (queue == nullptr)
        return answer(refusal(404));
    auto caller = std::make_shared<call>(call{.request = request,
                                              .answer = answer,
                                              .queue = *queue,
                                              .arrived = event_loop::now()});
    if (!queue->anonymous) {
        const organisation_config* organisation =
            authenticate(config_, request.authorization);
        if (organisation == nullptr)
            return answer(refusal(401));
        caller->organisation = organisation->name;
    }
    const std::string rest = request.path.substr(queue->path_prefix.size());
    if (rest.empty() && request.method == "GET")
        return count_waiting(caller);
    if (!platform::is_job_id(rest))
        return answer(refusal(404));
    caller->job = {rest};
    if (request.method == "POST")
        submit(caller);
    else if (request.method == "GET")
        show(caller);
    else if (request.method == "DELETE")
        cancel(caller);
    else
        answer(refusal(405));
}

void front_service::submit(const std::shared_ptr<call>& caller) {
    job_record record{.id = caller->job,
                      .queue = caller->queue.name,
                      .organisation = caller->organisation,
                      .accepted_ms = wall_millis()};
    try {
        record.spec = platform::decode_job(caller->request.body);
    } catch (const decode_error& failure) {
        log_event(log_level::info, "job_malformed",
                  {{"job", caller->job.value}, {"cause", failure.what()}});
        return caller->answer(refusal(400));
    }
    write(caller, job_key(caller->job), encode_job(record));
}

void front_service::cancel(const std::shared_ptr<call>& caller) {
    write(caller, cancel_key(caller->job), "1");
}

void front_service::shed_callers() {
    const mono_time now = event_loop::now();
    if (connected()) {
        connected_at_ = now;
        return;
    }
    // An open connection stays with its host: its caller would come back to
    // this one for as long as it keeps it.
    if (now - connected_at_ < BALANCER_TIME)
        return;
    callers_->close_idle_connections();
}

void front_service::watch_owner() {
    shed_callers();
    const bool needed = !owner_ && members_.owner_age() > OWNER_SILENT;
    if (needed && !states_)
        states_ = std::make_unique<state_reader>(loop_, store_,
                                                 settings_.store_parts);
    else if (!needed && states_ && members_.owner_age() < OWNER_HEARD)
        states_.reset();
}

void front_service::show(const std::shared_ptr<call>& caller) {
    if (owner_ && owner_->serving())
        return reply_state(caller, owner_->decisions().state_of(
                                       caller->job, caller->organisation));
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty() || states_)
        return show_stored(caller);
    wire::job_state_request request;
    request.job = caller->job.value;
    request.organisation = caller->organisation.value;
    members_.peer(address).call(
        wire::method::JOB_STATE, wire_encode(request), ASK_TIME,
        [this, caller](const rpc_call_result& answer) {
            if (!answer.ok())
                return show_stored(caller);
            const auto reply = wire_decode<wire::job_state_reply>(answer.body);
            reply_state(caller, static_cast<job_state>(reply.state));
        });
}

void front_service::show_stored(const std::shared_ptr<call>& caller) {
    const job_state state =
        states_ && states_->loaded()
            ? states_->state_of(caller->job, caller->organisation)
            : job_state::unknown;
    // What is not in this copy may still be on its way to it.
    if (state == job_state::unknown) {
        http_response reply = refusal(503);
        reply.close = !connected();
        return caller->answer(reply);
    }
    reply_state(caller, state);
}

void front_service::reply_state(const std::shared_ptr<call>& caller,
                                job_state state) {
    if (state == job_state::unknown) {
        log_event(log_level::info, "job_not_known",
                  {{"job", caller->job.value}});
        return caller->answer(refusal(410));
    }
    caller->answer({.body = platform::encode_job_state(state)});
}

void front_service::count_waiting(const std::shared_ptr<call>& caller) {
    if (owner_ && owner_->serving())
        return caller->answer(
            {.body = platform::encode_waiting(
                 owner_->decisions().waiting_in(caller->queue.name))});
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty())
        return caller->answer(refusal(503));
    wire::waiting_request request;
    request.queue = caller->queue.name.value;
    members_.peer(address).call(
        wire::method::WAITING, wire_encode(request), ASK_TIME,
        [caller](const rpc_call_result& answer) {
            if (!answer.ok())
                return caller->answer(refusal(503));
            const auto reply = wire_decode<wire::waiting_reply>(answer.body);
            caller->answer({.body = platform::encode_waiting(reply.jobs)});
        });
}

void front_service::leave() {
    if (std::exchange(leaving_, true))
        return;
    log_event(log_level::info, "leaving", {});
    members_.leave();
    callers_->drain();
    const mono_time begun = event_loop::now();
    loop_.every(LEAVE_POLL, [this, begun] {
        const millis passed = event_loop::now() - begun;
        const bool idle = callers_->in_flight() == 0 && writer_.pending() == 0;
        if ((idle && passed >= LEAVE_SHORTEST) ||
            passed >= settings_.grace - LEAVE_SPARE) {
            log_event(log_level::info, "stopped", {});
            loop_.stop();
        }
    });
}

void front_service::log_dump() const {
    log_event(log_level::info, "state_dump",
              {{"state", owner_ ? owner_->decisions().dump() : "{}"}});
}

} // namespace rattan::front
