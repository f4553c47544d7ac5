#include "front/restart_guard.hpp"

#include "base/log_func.hpp"
#include "net/thrift_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rattan::front {

namespace {

/** Connections that show the end of a process; further targets have none. */
constexpr std::size_t MAX_WATCHES = 64;
/** A target may close each connection at once, as it has too many. */
constexpr int MAX_WATCHES_PER_GUARD = 8;
constexpr std::size_t MAX_TARGETS = 1024; ///< Guarded at once.
/** Other hosts that guard one target, and their sum over all targets. */
constexpr std::size_t MAX_HELPERS = 8;
constexpr std::size_t MAX_HELPERS_OF_ALL = 32;
/** Longest time for which another host may have a target guarded. */
constexpr millis MAX_SHARED_DURATION{20'000};
constexpr millis SHARE_TIMEOUT{700};
constexpr millis END_CHECK_PERIOD{500};

std::int64_t micros(millis time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

restart_guard::restart_guard(event_loop& loop, member_service& members,
                             metrics_registry& metrics,
                             const platform::platform_settings& settings)
    : loop_(loop), members_(members), metrics_(metrics),
      own_host_(settings.host),
      prober_(
          loop, settings.milli_cores,
          [this](const reached_target& reached) { handle_reached(reached); },
          XXH3_64bits(settings.store_address.data(),
                      settings.store_address.size())) {}

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
    auto request = encode_probe(poll);
    const std::int64_t until_us = event_loop::now_micros() + micros(duration);
    const bool full =
        targets_.size() >= MAX_TARGETS && !targets_.contains(target);
    if (full || !request)
        return false;
    guarded_target& guarded = targets_[target];
    if (guarded.poll.address != request->address && guarded.connection) {
        guarded.connection.reset();
        --watches_;
    }
    guarded.poll = std::move(*request);
    guarded.reached = std::move(reached);
    // Requests of two owners may overtake each other.
    guarded.until_us = std::max(guarded.until_us, until_us);
    guarded.connections_left = MAX_WATCHES_PER_GUARD;
    if (!std::exchange(end_scheduled_, true))
        loop_.after(END_CHECK_PERIOD, [this, alive = std::weak_ptr(alive_)] {
            if (!alive.expired())
                end_guards();
        });
    begin_probes(target);
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
        loop_, guarded.poll.address,
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
                    found->second.connection_lost = true;
                    begin_probes(target);
                }});
}

void restart_guard::begin_probes(const std::string& target) {
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    const auto members = members_.members_in_touch();
    prober_.set_rank(static_cast<std::size_t>(
        std::distance(members.begin(), members.lower_bound(own_host_))));
    prober_.probe(target, found->second.poll, found->second.until_us);
}

void restart_guard::handle_reached(const reached_target& reached) {
    update_counters();
    const auto found = targets_.find(reached.target);
    if (found == targets_.end())
        return;
    guarded_target& guarded = found->second;
    if (!guarded.connection)
        watch(reached.target, guarded);
    const bool lost = std::exchange(guarded.connection_lost, false);
    if (!lost && !reached.missed)
        return;
    log_event(
        log_level::info, "target_reached",
        {{"target", reached.target},
         {"probes", std::to_string(reached.probes.probes)},
         {"probed_us",
          std::to_string(reached.probes.last_us - reached.probes.first_us)},
         {"longest_pause_us", std::to_string(reached.probes.longest_pause_us)},
         {"answered_after_us", std::to_string(reached.answered_after_us)}});
    if (guarded.reached)
        guarded.reached();
}

void restart_guard::update_counters() {
    metrics_.counter("rattan_probes_sent_total") = prober_.sent();
    metrics_.counter("rattan_probes_answered_total") = prober_.answered();
}

void restart_guard::end_guards() {
    end_scheduled_ = false;
    update_counters();
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
