#include "front/restart_guard.hpp"

#include "base/address_func.hpp"
#include "base/log_func.hpp"
#include "net/thrift_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <ctime>
#include <utility>

namespace rattan::front {

namespace {

using dispatch::probe_end;

constexpr int HTTP_OK = 200;
constexpr int HTTP_CONFLICT = 409;
/** Connections of all pending probes. */
constexpr long MAX_PROBE_CONNECTIONS = 32;
constexpr long MAX_PROBE_CONNECTIONS_PER_TARGET = 4;
/** Connections that show the end of a process; further targets have none. */
constexpr std::size_t MAX_WATCHES = 64;
/** A target may close each connection at once, as it has too many. */
constexpr int MAX_WATCHES_PER_GUARD = 8;
constexpr std::size_t MAX_TARGETS = 1024; ///< Guarded at once.
/** Answers to probes are not read; further bytes end the call. */
constexpr std::size_t MAX_ANSWER_BYTES = 16U << 10U;
/** A target that has lost power drops requests to connect. */
constexpr millis CONNECT_TIMEOUT{100};
constexpr millis PROBE_TIMEOUT{250};
/** Other hosts that guard one target, and their sum over all targets. */
constexpr std::size_t MAX_HELPERS = 8;
constexpr std::size_t MAX_HELPERS_OF_ALL = 32;
/** Longest time for which another host may have a target guarded. */
constexpr millis MAX_SHARED_DURATION{20'000};
constexpr millis SHARE_TIMEOUT{700};
/** Until the next attempt if each target has enough pending probes. */
constexpr std::int64_t IDLE_PERIOD_US = 1'000;
constexpr millis END_CHECK_PERIOD{500};

std::int64_t used_processor_micros() {
    constexpr std::int64_t MICROS_PER_SECOND = 1'000'000;
    constexpr std::int64_t NANOS_PER_MICRO = 1'000;
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return used.tv_sec * MICROS_PER_SECOND + used.tv_nsec / NANOS_PER_MICRO;
}

std::int64_t micros(millis time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

/** The IP and port in the URL of a call; empty if it has none. */
std::string address_of(const http_call& call) {
    constexpr std::string_view scheme = "http://";
    if (!call.url.starts_with(scheme))
        return {};
    return call.url.substr(scheme.size(),
                           call.url.find('/', scheme.size()) - scheme.size());
}

} // namespace

restart_guard::restart_guard(event_loop& loop, member_service& members,
                             metrics_registry& metrics, host_id own_host,
                             std::int64_t milli_cores)
    : loop_(loop), members_(members), metrics_(metrics),
      own_host_(std::move(own_host)),
      http_(loop, {.connections_per_server = MAX_PROBE_CONNECTIONS_PER_TARGET,
                   .idle_s = 1,
                   .connections = MAX_PROBE_CONNECTIONS,
                   .response_bytes = MAX_ANSWER_BYTES}),
      pacer_(milli_cores) {}

restart_guard::~restart_guard() {
    alive_.reset();
}

void restart_guard::guard(const std::string& target, const http_call& poll,
                          millis duration, std::function<void()> reached) {
    guard_elsewhere(target, poll, duration);
    if (!guard_here(target, poll, duration, std::move(reached)))
        log_event(
            log_level::warning, "target_not_guarded",
            {{"target", target}, {"guarded", std::to_string(targets_.size())}});
}

bool restart_guard::guard_here(const std::string& target, const http_call& poll,
                               millis duration, std::function<void()> reached) {
    const std::string address = address_of(poll);
    const std::int64_t until_us = event_loop::now_micros() + micros(duration);
    const bool full =
        targets_.size() >= MAX_TARGETS && !targets_.contains(target);
    if (full || !is_address(address) || !rotation_.add(target, until_us))
        return false;
    guarded_target& guarded = targets_[target];
    if (guarded.address != address && guarded.connection) {
        guarded.connection.reset();
        --watches_;
    }
    guarded.address = address;
    guarded.poll = poll;
    guarded.poll.headers.emplace_back("Connection: close");
    guarded.poll.timeout = PROBE_TIMEOUT;
    guarded.poll.connect_timeout = CONNECT_TIMEOUT;
    guarded.reached = std::move(reached);
    // Requests of two owners may overtake each other.
    guarded.until_us = std::max(guarded.until_us, until_us);
    guarded.connections_left = MAX_WATCHES_PER_GUARD;
    if (!timer_)
        timer_ =
            std::make_unique<micro_timer>(loop_, [this] { send_due_probe(); });
    if (!std::exchange(end_scheduled_, true))
        loop_.after(END_CHECK_PERIOD, [this, alive = std::weak_ptr(alive_)] {
            if (!alive.expired())
                end_guards();
        });
    send_due_probe();
    return true;
}

void restart_guard::guard_elsewhere(const std::string& target,
                                    const http_call& poll, millis duration) {
    std::vector<std::string> addresses;
    for (const auto& [host, member] : members_.members_in_touch())
        if (host != own_host_)
            addresses.push_back(member.address);
    const std::size_t helpers = std::min(
        std::clamp<std::size_t>(MAX_HELPERS_OF_ALL / (targets_.size() + 1), 1,
                                MAX_HELPERS),
        addresses.size());
    wire::guard_request request;
    request.target = target;
    request.url = poll.url;
    request.body = poll.body;
    request.headers = poll.headers;
    request.duration_ms = static_cast<std::int32_t>(duration.count());
    const std::string encoded = wire_encode(request);
    const std::uint64_t first = XXH64(target.data(), target.size(), 0);
    for (std::size_t i = 0; i < helpers; ++i)
        members_.peer(addresses[(first + i) % addresses.size()])
            .call(wire::method::GUARD, encoded, SHARE_TIMEOUT,
                  [](const rpc_call_result&) {
                      // Without this host, the others still guard the target.
                  });
}

void restart_guard::register_guard_method(rpc_server& server) {
    server.on(wire::method::GUARD, [this](const std::string& body,
                                          const rpc_server::responder& answer) {
        auto request = wire_decode<wire::guard_request>(body);
        const bool guarded =
            guard_here(request.target,
                       {.method = "POST",
                        .url = std::move(request.url),
                        .body = std::move(request.body),
                        .headers = std::move(request.headers)},
                       std::clamp(millis(request.duration_ms), millis(0),
                                  MAX_SHARED_DURATION),
                       nullptr);
        answer(guarded ? wire::status::OK : wire::status::UNAVAILABLE, "");
    });
}

void restart_guard::watch(const std::string& target, guarded_target& guarded) {
    if (watches_ >= MAX_WATCHES || guarded.connections_left == 0)
        return;
    ++watches_;
    --guarded.connections_left;
    guarded.connection = std::make_unique<connection_watch>(
        loop_, guarded.address,
        connection_watch::callbacks{
            // The process may have ended between the answer and this.
            .opened = [this, target] { begin_probes(target); },
            .lost =
                [this, target] {
                    const auto found = targets_.find(target);
                    if (found == targets_.end())
                        return;
                    --watches_;
                    found->second.connection.reset();
                    found->second.out_of_reach = true;
                    begin_probes(target);
                }});
}

void restart_guard::begin_probes(const std::string& target) {
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    rotation_.add(target, found->second.until_us);
    send_due_probe();
}

void restart_guard::send_due_probe() {
    const std::int64_t now_us = event_loop::now_micros();
    rotation_.expire(now_us);
    if (rotation_.empty())
        return timer_->cancel();
    if (pacer_.next_us() > now_us)
        return timer_->set(pacer_.next_us());
    const auto target = rotation_.next(now_us);
    if (!target)
        return timer_->set(now_us + IDLE_PERIOD_US);
    assert(targets_.contains(*target));
    guarded_target& guarded = targets_.at(*target);
    ++metrics_.counter("rattan_probes_sent_total");
    guarded.probes.sent(now_us);
    pacer_.sent(now_us, used_processor_micros());
    http_.call(guarded.poll,
               [this, target = *target, now_us,
                alive = std::weak_ptr(alive_)](const http_call_result& result) {
                   if (!alive.expired())
                       handle_probe_end(target, now_us, result);
               });
    timer_->set(pacer_.next_us());
}

void restart_guard::handle_probe_end(const std::string& target,
                                     std::int64_t sent_us,
                                     const http_call_result& result) {
    // A target that refuses the token has seen a higher one.
    const bool reached =
        result.status == HTTP_OK || result.status == HTTP_CONFLICT;
    rotation_.ended(target,
                    reached              ? probe_end::reached
                    : result.status != 0 ? probe_end::refused
                                         : probe_end::unanswered,
                    event_loop::now_micros());
    // The next one may have waited for this one.
    send_due_probe();
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    guarded_target& guarded = found->second;
    if (!reached) {
        guarded.out_of_reach = true;
        return;
    }
    ++metrics_.counter("rattan_probes_answered_total");
    if (!guarded.connection)
        watch(target, guarded);
    const auto probes = std::exchange(guarded.probes, {});
    if (!std::exchange(guarded.out_of_reach, false))
        return;
    const std::int64_t now_us = event_loop::now_micros();
    log_event(log_level::info, "target_reached",
              {{"target", target},
               {"probes", std::to_string(probes.probes)},
               {"probed_us", std::to_string(now_us - probes.first_us)},
               {"longest_pause_us", std::to_string(probes.longest_pause_us)},
               {"answered_after_us", std::to_string(now_us - sent_us)}});
    if (guarded.reached)
        guarded.reached();
}

void restart_guard::end_guards() {
    end_scheduled_ = false;
    const std::int64_t now_us = event_loop::now_micros();
    std::erase_if(targets_, [&](const auto& item) {
        const guarded_target& guarded = item.second;
        if (guarded.until_us > now_us)
            return false;
        watches_ -= guarded.connection ? 1 : 0;
        return true;
    });
    if (targets_.empty() || std::exchange(end_scheduled_, true))
        return;
    loop_.after(END_CHECK_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            end_guards();
    });
}

} // namespace rattan::front
