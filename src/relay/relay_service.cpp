#include "relay/relay_service.hpp"

#include "base/log_func.hpp"
#include "fold/record_codec.hpp"
#include "net/thrift_codec.hpp"

namespace rattan {

namespace {

constexpr millis TICK_PERIOD{50};
constexpr millis HOST_LIST_PERIOD{1'000};
constexpr millis SHUTDOWN_TIMEOUT{5'000};
constexpr millis SNAPSHOT_CHECK_PERIOD{1'000};
constexpr http_limits ADMIN_LIMITS{.body_bytes = 4U << 20U, .connections = 200};

} // namespace

relay_service::relay_service(event_loop& loop, relay_settings settings)
    : loop_(loop), settings_(std::move(settings)), client_(loop),
      log_(client_, settings_.platform),
      host_client_(client_, settings_.platform),
      rpc_(loop, settings_.process.rpc),
      body_budget_(make_body_budget(settings_.process, ADMIN_LIMITS)),
      http_(loop, settings_.process.http,
            bounded_limits(ADMIN_LIMITS, body_budget_, metrics_),
            [this](const http_request& request,
                   const http_server::responder& answer) {
                on_http(request, answer);
            }) {
    for (const std::string& address : settings_.peers)
        peers_.push_back(std::make_unique<rpc_client>(loop, address));
    fold_.observe(
        [this](const log_entry& entry, const entry_context& context,
               fold_verdict verdict) { on_entry(entry, context, verdict); });
}

void relay_service::start() {
    register_rpc_handlers();
    load_snapshot();
    poll_hosts();
    loop_.every(TICK_PERIOD, [this] {
        send_next_append();
        answer_waiting();
    });
    loop_.every(HOST_LIST_PERIOD, [this] { poll_hosts(); });
    loop_.every(SNAPSHOT_CHECK_PERIOD, [this] { maybe_write_snapshot(); });
    log_event(log_level::info, "started",
              {{"host", settings_.process.host.value}});
}

void relay_service::shut_down() {
    if (shutting_down_)
        return;
    shutting_down_ = true;
    log_event(log_level::info, "leaving");
    if (!appends_)
        return loop_.stop();
    appends_->when_idle([this] { loop_.stop(); });
    loop_.after(SHUTDOWN_TIMEOUT, [this] { loop_.stop(); });
}

void relay_service::start_serving() {
    if (serving_)
        return;
    serving_ = true;
    log_event(log_level::info, "serving",
              {{"next_offset", std::to_string(fold_.state().next_offset)}});
}

void relay_service::apply(std::int64_t offset, std::int64_t time_ms,
                          const std::string& body) {
    if (offset < fold_.state().next_offset)
        return;
    const host_id& host = settings_.process.host;
    const auto before = fold_.state().writers.find(host);
    const std::int64_t sequence =
        before == fold_.state().writers.end() ? 0 : before->second.sequence;
    fold_.apply(offset, time_ms, body);
    tail_.push_back({offset, time_ms, body});
    ++metrics_.counter("records_folded");
    metrics_.counter("record_bytes_folded") += body.size();
    // A new sequence number means that the record is a group of this relay.
    const auto after = fold_.state().writers.find(host);
    if (appends_ && after != fold_.state().writers.end() &&
        after->second.sequence != sequence)
        appends_->on_read_back(after->second.incarnation,
                               after->second.sequence, offset);
    constexpr size_t MAX_TAIL_RECORDS = 20'000;
    while (tail_.size() > MAX_TAIL_RECORDS) {
        tail_.pop_front();
        tail_first_offset_ = tail_.front().offset;
    }
}

void relay_service::restore(cell_state state) {
    tail_.clear();
    tail_first_offset_ = state.next_offset;
    fold_.restore(std::move(state));
    ++metrics_.counter("snapshots_restored");
}

void relay_service::on_entry(const log_entry& entry,
                             const entry_context& context,
                             fold_verdict verdict) {
    ++metrics_.counter(std::string("entries_") + verdict_name(verdict));
    const auto* change = std::get_if<config_change>(&entry);
    if (change == nullptr)
        return;
    if (verdict == fold_verdict::accepted) {
        log_event(log_level::info, "configuration_in_force",
                  {{"version", std::to_string(context.position)},
                   {"operator", change->operator_name}});
        metrics_.gauge("config_lag_ms") =
            static_cast<double>(wall_millis() - context.time_ms);
    }
    const auto waiting = std::find_if(
        waiting_publishes_.begin(), waiting_publishes_.end(),
        [&](const auto& pending) { return pending.token == change->token; });
    if (waiting == waiting_publishes_.end())
        return;
    const config_state& config = fold_.state().config;
    const nlohmann::json body = {{"verdict", verdict_name(verdict)},
                                 {"version", config.version.value},
                                 {"operator", config.operator_name},
                                 {"accepted_ms", config.accepted_ms}};
    waiting->answer({.status = verdict == fold_verdict::accepted ? 200 : 409,
                     .body = body.dump() + "\n"});
    waiting_publishes_.erase(waiting);
}

} // namespace rattan
