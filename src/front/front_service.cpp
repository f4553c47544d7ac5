#include "front/front_service.hpp"

#include "base/log_func.hpp"
#include "dispatch/job_size.hpp"
#include "dispatch/partition_func.hpp"
#include "dispatch/reader_func.hpp"
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

constexpr int METRICS_PORT = 9464; ///< Must match the deployment file.
constexpr millis OWNER_CALL_TIMEOUT{700};
/** If the owner has answered within this time, it is asked again. */
constexpr millis OWNER_HEARD_AGE{300};
constexpr millis CHECK_PERIOD{200};
constexpr std::int64_t MICROS_PER_MILLI = 1'000;
/** The load balancer removes a host after two failed checks, 1 s apart. */
constexpr millis BALANCER_DETECTION_TIME{2200};
constexpr millis SHUTDOWN_POLL_PERIOD{100};
/** The load balancer needs 2 s to stop sending clients to this host. */
constexpr millis MIN_SHUTDOWN_TIME{2500};
/** Shutdown ends this long before the grace period does. */
constexpr millis GRACE_MARGIN{1000};
/** Part of the limit on job state that a host may accept before any grant. */
constexpr std::size_t INITIAL_SHARE_DIVISOR = 16;
/** Limit on a body while the configuration states none. */
constexpr std::size_t DEFAULT_BODY_LIMIT = 1U << 20U;
/** Requests for readiness and metrics have no body. */
constexpr std::size_t ADMIN_BODY_LIMIT = 4096;
constexpr unsigned CLIENT_IDLE_TIMEOUT_S = 30;
/** Questions that the owner holds until the end of a job is stored. */
constexpr std::size_t MAX_STATE_WAITERS = 2000;

int job_partitions(const platform::platform_settings& settings) {
    return job_partition_count(settings.store_partitions,
                               settings.max_writes_per_s);
}

/**
 * Spreads the hosts over the partitions of the jobs topic, so that a slow
 * partition delays few hosts.
 */
int first_partition(const platform::platform_settings& settings) {
    const std::string& host = settings.host.value;
    return static_cast<int>(
        XXH64(host.data(), host.size(), 0) %
        static_cast<std::uint64_t>(job_partitions(settings)));
}

} // namespace

front_service::front_service(event_loop& loop,
                             const platform::platform_settings& settings)
    : loop_(loop), settings_(settings), incarnation_(wall_millis()),
      shares_(
          divide_resources(settings.memory_bytes, settings.max_descriptors)),
      body_budget_(shares_.bodies), answer_budget_(shares_.answers),
      peer_budget_(shares_.peers),
      http_(loop,
            {.connections = static_cast<long>(shares_.target_connections),
             .response_bytes = shares_.target_answer,
             .budget = &answer_budget_,
             .receive_buffer_bytes =
                 settings.memory_bytes > 0 ? TARGET_RECEIVE_BUFFER_BYTES : 0,
             .metrics = &metrics_}),
      store_http_(
          loop, {.connections_per_server =
                     static_cast<long>(shares_.store_connections),
                 .response_bytes = shares_.store_answer,
                 .budget = &answer_budget_,
                 .receive_buffer_bytes =
                     settings.memory_bytes > 0 ? STORE_RECEIVE_BUFFER_BYTES : 0,
                 .metrics = &metrics_}),
      store_(store_http_, settings.store_address),
      rpc_address_(settings.ip + ":" +
                   std::to_string(settings.first_internal_port)),
      members_(
          loop, store_, settings_, rpc_address_, incarnation_,
          {.ownership_gained =
               [this](std::int64_t epoch) {
                   owner_ = std::make_unique<owner_service>(
                       owner_context{loop_, http_, store_, settings_, members_,
                                     metrics_, delegates_, restarts_,
                                     [this](const job_id& job) {
                                         state_waiters_.end_stored(job);
                                     }},
                       epoch);
                   owner_->ownership_confirmed(event_loop::now());
                   owner_->set_config(config_);
                   owner_->set_evacuated(evacuated_);
                   owner_->update_hosts();
               },
           .resigning =
               [this] { return owner_ ? owner_->resign() : std::nullopt; },
           .ownership_lost =
               [this] {
                   // Deferred: a callback of the owner may be running.
                   loop_.defer([old_owner = std::shared_ptr<owner_service>(
                                    std::move(owner_))] {});
                   state_waiters_.release_all();
               },
           .ownership_confirmed =
               [this](mono_time at) {
                   if (owner_)
                       owner_->ownership_confirmed(at);
               },
           .waits_received =
               [this](const std::string& waits, mono_time sent_at) {
                   receive_waits(waits, sent_at);
               },
           .grant_received =
               [this](const std::optional<received_grant>& grant,
                      mono_time sent_at) { receive_grant(grant, sent_at); },
           .members_changed =
               [this] {
                   if (owner_)
                       owner_->update_hosts();
               }}),
      delegates_(loop, http_, members_, settings.host),
      restarts_(loop, members_, metrics_, settings),
      operator_follower_(
          loop, store_,
          {.topic = platform::OPERATOR_TOPIC, .max_wait = millis(700)},
          [this](const keyed_record& record) {
              handle_operator_record(record);
          },
          [this](const std::set<std::string>& keys) {
              handle_operator_records_loaded(keys);
          }),
      job_writer_(
          loop, store_,
          {.topic = JOBS_TOPIC,
           .partitions = job_partitions(settings),
           .first_partition = first_partition(settings),
           .producer = settings.host.value + "/" + std::to_string(incarnation_),
           .max_append_bytes =
               shares_.append > 0
                   ? std::min(shares_.append, settings.max_append_bytes)
                   : settings.max_append_bytes}),
      state_waiters_(MAX_STATE_WAITERS) {
    job_writer_.on_answered([this] { members_.store_answered(); });
    if (shares_.job_state > 0)
        state_share_.granted(
            {.bytes = shares_.job_state / INITIAL_SHARE_DIVISOR},
            event_loop::now());
}

http_limits front_service::server_limits(std::size_t connections) {
    http_limits limits{.body_bytes = ADMIN_BODY_LIMIT,
                       .connections = static_cast<unsigned>(connections),
                       .idle_s = CLIENT_IDLE_TIMEOUT_S,
                       .budget = &body_budget_,
                       .metrics = &metrics_};
    if (settings_.memory_bytes > 0) {
        limits.receive_buffer_bytes = RECEIVE_BUFFER_BYTES;
        limits.send_buffer_bytes = SEND_BUFFER_BYTES;
        limits.backlog = CHECK_BACKLOG;
    }
    return limits;
}

rpc_limits front_service::peer_limits() {
    rpc_limits limits{.connections = shares_.peer_connections,
                      .frame_bytes = shares_.peer_frame,
                      .budget = &peer_budget_,
                      .metrics = &metrics_};
    if (settings_.memory_bytes > 0) {
        limits.receive_buffer_bytes = RECEIVE_BUFFER_BYTES;
        limits.send_buffer_bytes = SEND_BUFFER_BYTES;
    }
    return limits;
}

void front_service::start() {
    members_.set_peer_limits(peer_limits());
    serve_rpc();
    readiness_server_ = std::make_unique<http_server>(
        loop_, settings_.ready_address, server_limits(shares_.readiness),
        [this](const http_request&, const http_server::responder& answer) {
            answer({.status = ready() ? 200 : 503, .body = "{}"});
        });
    metrics_server_ = std::make_unique<http_server>(
        loop_, settings_.ip + ":" + std::to_string(METRICS_PORT),
        server_limits(shares_.metrics),
        [this](const http_request& request,
               const http_server::responder& answer) {
            if (request.path == "/dump")
                answer({.body = owner_ ? owner_->decisions().dump() : "{}"});
            else
                answer({.body = metrics_.text(), .content_type = "text/plain"});
        });
    http_limits client_limits = server_limits(shares_.clients);
    client_limits.body_bytes = DEFAULT_BODY_LIMIT;
    if (settings_.memory_bytes > 0)
        client_limits.backlog = CLIENT_BACKLOG;
    client_limits.captured_headers = {platform::DEADLINE_HEADER};
    client_server_ = std::make_unique<http_server>(
        loop_, settings_.client_address, client_limits,
        [this](const http_request& request, http_server::responder answer) {
            handle_request(request, std::move(answer));
        });
    members_.start();
    operator_follower_.start();
    checks_due_us_ =
        event_loop::now_micros() + CHECK_PERIOD.count() * MICROS_PER_MILLI;
    loop_.every(CHECK_PERIOD, [this] { run_periodic_checks(); });
    log_event(log_level::info, "started",
              {{"host", settings_.host.value},
               {"life", std::to_string(incarnation_)},
               {"version", RATTAN_VERSION}});
}

bool front_service::ready() const {
    return !shutting_down_ && config_.version > 0 && members_.ready() &&
           can_store();
}

bool front_service::can_store() const {
    // Without the store, other hosts write for this one.
    return !members_.store_unresponsive() || !members_.write_peers().empty();
}

void front_service::handle_operator_record(const keyed_record& record) {
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
        client_server_->set_body_limit(
            config_.max_body_bytes > 0
                ? std::min(config_.max_body_bytes, DEFAULT_BODY_LIMIT)
                : DEFAULT_BODY_LIMIT);
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

void front_service::handle_operator_records_loaded(
    const std::set<std::string>& keys) {
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

void front_service::serve_rpc() {
    rpc_server_ =
        std::make_unique<rpc_server>(loop_, rpc_address_, peer_limits());
    delegate_service::register_call_method(*rpc_server_, http_);
    restarts_.register_guard_method(*rpc_server_);
    rpc_server_->on(
        wire::method::BEAT,
        [this](const std::string& body, const rpc_server::responder& answer) {
            members_.handle_heartbeat(
                {wire_decode<wire::beat_request>(body).host});
            answer(wire::status::OK,
                   members_.encode_heartbeat_reply(
                       owner_ ? owner_->encoded_waits() : "",
                       owner_ ? std::optional(owner_->grant()) : std::nullopt));
        });
    rpc_server_->on(wire::method::ADVISE, [this](const std::string& body,
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
    rpc_server_->on(wire::method::STORE, [this](const std::string& body,
                                                rpc_server::responder answer) {
        const auto request = wire_decode<wire::store_request>(body);
        job_writer_.write(request.key, request.value,
                          [answer = std::move(answer)](write_result result) {
                              answer(result == write_result::stored
                                         ? wire::status::OK
                                     : result == write_result::not_stored
                                         ? wire::status::UNAVAILABLE
                                         : wire::status::UNKNOWN,
                                     "");
                          });
    });
    rpc_server_->on(wire::method::STORED, [this](const std::string& body,
                                                 const auto& answer) {
        const auto request = wire_decode<wire::store_request>(body);
        if (!owner_ || !owner_->serving())
            return answer(wire::status::UNAVAILABLE, "");
        owner_->handle_stored_record(
            {.key = request.key, .value = request.value});
        answer(wire::status::OK, "");
    });
    rpc_server_->on(
        wire::method::JOB_STATE,
        [this](const std::string& body, const rpc_server::responder& answer) {
            answer_job_state(body, answer);
        });
    rpc_server_->on(
        wire::method::READ_STATE,
        [this](const std::string& body, const rpc_server::responder& answer) {
            answer_read_state(body, answer);
        });
    rpc_server_->on(wire::method::WAITING, [this](const std::string& body,
                                                  const auto& answer) {
        const auto request = wire_decode<wire::waiting_request>(body);
        if (!owner_ || !owner_->serving())
            return answer(wire::status::UNAVAILABLE, "");
        wire::waiting_reply reply;
        reply.jobs = owner_->decisions().waiting_in({request.queue});
        answer(wire::status::OK, wire_encode(reply));
    });
}

void front_service::handle_request(const http_request& request,
                                   const http_server::responder& answer) {
    ++metrics_.counter("rattan_requests_total");
    if (config_.version == 0)
        return answer(status_reply(503));
    const queue_config* queue = find_queue(config_, request.host, request.path);
    if (queue == nullptr)
        return answer(status_reply(404));
    auto pending = std::make_shared<pending_request>(
        pending_request{.request = request,
                        .answer = answer,
                        .queue = *queue,
                        .arrived_at = event_loop::now()});
    if (!queue->anonymous) {
        const organisation_config* organisation =
            authenticate(config_, request.authorization);
        if (organisation == nullptr)
            return answer(status_reply(401));
        pending->organisation = organisation->name;
    }
    const std::string rest = request.path.substr(queue->path_prefix.size());
    if (rest.empty() && request.method == "GET")
        return reply_waiting_count(pending);
    if (!platform::is_job_id(rest))
        return answer(status_reply(404));
    pending->job = {rest};
    if (request.method == "POST")
        submit(pending);
    else if (request.method == "GET")
        reply_current_state(pending);
    else if (request.method == "DELETE")
        admit_cancel(pending);
    else
        answer(status_reply(405));
}

void front_service::submit(const std::shared_ptr<pending_request>& pending) {
    job_record record{.id = pending->job,
                      .queue = pending->queue.name,
                      .organisation = pending->organisation,
                      .accepted_ms = wall_millis()};
    std::string encoded;
    try {
        record.spec = platform::decode_job(pending->request.body);
        std::string().swap(pending->request.body); // One copy is enough.
        encoded = encode_job(record);
        check_job_size(record.spec, encoded.size(), settings_.max_record_bytes);
    } catch (const decode_error& failure) {
        log_event(log_level::info, "job_malformed",
                  {{"job", pending->job.value}, {"cause", failure.what()}});
        return pending->answer(status_reply(400));
    }
    pending->record_value = std::move(encoded);
    pending->state_bytes = job_state_bytes(record.spec);
    if (settings_.scheduling.order_by_delay_cost)
        submit_unless_hopeless(pending, record);
    else
        admit_submission(pending);
}

void front_service::shed_idle_connections() {
    const mono_time now = event_loop::now();
    if (can_store()) {
        could_store_at_ = now;
        return;
    }
    // The load balancer directs only new connections to other hosts; clients
    // would keep using their open connections to this one.
    if (now - could_store_at_ < BALANCER_DETECTION_TIME)
        return;
    client_server_->close_idle_connections();
}

void front_service::run_periodic_checks() {
    const std::int64_t now_us = event_loop::now_micros();
    metrics_.histogram("rattan_loop_delay_micros")
        .record(std::max<std::int64_t>(0, now_us - checks_due_us_));
    checks_due_us_ = now_us + CHECK_PERIOD.count() * MICROS_PER_MILLI;
    shed_idle_connections();
    report_waits();
    report_job_state();
    const bool needed =
        owner_silent() && is_state_reader(members_.members(), settings_.host);
    if (needed && !state_reader_)
        state_reader_ = std::make_unique<state_reader>(
            loop_, store_, job_partitions(settings_),
            std::min(settings_.store_partitions, MAX_PROGRESS_PARTITIONS));
    else if (!needed && state_reader_ &&
             members_.owner_reply_age() < OWNER_HEARD_AGE)
        state_reader_.reset();
}

void front_service::reply_waiting_count(
    const std::shared_ptr<pending_request>& pending) {
    if (owner_ && owner_->serving())
        return pending->answer(
            {.body = platform::encode_waiting(
                 owner_->decisions().waiting_in(pending->queue.name))});
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty())
        return pending->answer(status_reply(503));
    wire::waiting_request request;
    request.queue = pending->queue.name.value;
    members_.peer(address).call(
        wire::method::WAITING, wire_encode(request), OWNER_CALL_TIMEOUT,
        [pending](const rpc_call_result& answer) {
            if (!answer.ok())
                return pending->answer(status_reply(503));
            const auto reply = wire_decode<wire::waiting_reply>(answer.body);
            pending->answer({.body = platform::encode_waiting(reply.jobs)});
        });
}

void front_service::shut_down() {
    if (std::exchange(shutting_down_, true))
        return;
    log_event(log_level::info, "leaving", {});
    members_.leave();
    state_waiters_.release_all();
    client_server_->drain();
    const mono_time started_at = event_loop::now();
    loop_.every(SHUTDOWN_POLL_PERIOD, [this, started_at] {
        const millis elapsed = event_loop::now() - started_at;
        const bool idle =
            client_server_->in_flight() == 0 && job_writer_.pending() == 0;
        if ((idle && elapsed >= MIN_SHUTDOWN_TIME) ||
            elapsed >= settings_.shutdown_grace - GRACE_MARGIN) {
            log_event(log_level::info, "stopped", {});
            loop_.stop();
        }
    });
}

void front_service::log_state_dump() const {
    log_event(log_level::info, "state_dump",
              {{"state", owner_ ? owner_->decisions().dump() : "{}"}});
}

} // namespace rattan::front
