#include "front/target_prober.hpp"

#include "base/log_func.hpp"

#include <sys/prctl.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <limits>
#include <system_error>
#include <utility>

namespace rattan::front {

namespace {

using dispatch::probe_end;

constexpr int HTTP_OK = 200;
constexpr int HTTP_CONFLICT = 409;
/** A target that has lost power drops requests to connect. */
constexpr std::int64_t CONNECT_TIMEOUT_US = 100'000;
constexpr std::int64_t PROBE_TIMEOUT_US = 250'000;
/** One in this many probes is timed, which costs a wake-up more. */
constexpr std::uint64_t PROBES_PER_TIMED = 8;
/** Answers are read with the next probe, if that is sent within this time. */
constexpr std::int64_t MAX_READ_DELAY_US = 500;
constexpr std::int64_t EXPIRY_PERIOD_US = 10'000;
/** The kernel's default of 50 us would be a large part of the spacing. */
constexpr unsigned long TIMER_SLACK_NS = 1'000;

std::int64_t used_processor_micros(clockid_t clock) {
    constexpr std::int64_t MICROS_PER_SECOND = 1'000'000;
    constexpr std::int64_t NANOS_PER_MICRO = 1'000;
    timespec used{};
    clock_gettime(clock, &used);
    return used.tv_sec * MICROS_PER_SECOND + used.tv_nsec / NANOS_PER_MICRO;
}

timespec to_timespec(std::int64_t micros) {
    constexpr std::int64_t MICROS_PER_SECOND = 1'000'000;
    constexpr std::int64_t NANOS_PER_MICRO = 1'000;
    return {.tv_sec = micros / MICROS_PER_SECOND,
            .tv_nsec = micros % MICROS_PER_SECOND * NANOS_PER_MICRO};
}

} // namespace

target_prober::target_prober(event_loop& loop, std::int64_t milli_cores,
                             std::function<void(const reached_target&)> reached,
                             std::uint64_t slot_seed)
    : loop_(loop), reached_(std::move(reached)),
      pacer_(milli_cores, slot_seed) {
    pacer_.measure(event_loop::now_micros(),
                   used_processor_micros(CLOCK_PROCESS_CPUTIME_ID), 0);
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
}

target_prober::~target_prober() {
    if (thread_.joinable()) {
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
        }
        commands_pipe_.wake();
        thread_.join();
    }
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
}

void target_prober::probe(const std::string& target, probe_request request,
                          std::int64_t until_us) {
    {
        const std::scoped_lock lock(mutex_);
        commands_.push_back(
            {target, std::make_shared<const probe_request>(std::move(request)),
             until_us});
    }
    if (!thread_.joinable())
        start_thread();
    commands_pipe_.wake();
}

void target_prober::start_thread() {
    // The signals that the program handles stay with the event loop.
    sigset_t handled;
    sigset_t before;
    sigemptyset(&handled);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP})
        sigaddset(&handled, signal);
    pthread_sigmask(SIG_BLOCK, &handled, &before);
    try {
        thread_ = std::thread([this] { run(); });
    } catch (const std::system_error& failure) {
        // The next call of `probe` tries again.
        log_event(log_level::error, "probe_thread_not_started",
                  {{"cause", failure.what()}});
    }
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

int target_prober::handle_input(ACE_HANDLE) {
    results_pipe_.drain();
    std::vector<reached_target> results;
    {
        const std::scoped_lock lock(mutex_);
        results.swap(results_);
    }
    for (const reached_target& result : results)
        reached_(result);
    return 0;
}

void target_prober::run() {
    // Without it, timers are late by the kernel's default.
    prctl(PR_SET_TIMERSLACK, TIMER_SLACK_NS);
    while (take_commands()) {
        advance_pending();
        send_due();
        wait();
    }
}

bool target_prober::take_commands() {
    std::vector<command> commands;
    {
        const std::scoped_lock lock(mutex_);
        if (stopping_)
            return false;
        commands.swap(commands_);
    }
    for (command& each : commands) {
        if (!rotation_.add(each.target, each.until_us))
            continue;
        probed_target& probed = targets_[each.target];
        probed.request = std::move(each.request);
        probed.until_us = std::max(probed.until_us, each.until_us);
    }
    return true;
}

void target_prober::advance_pending() {
    const std::int64_t now_us = event_loop::now_micros();
    std::erase_if(pending_, [&](pending_probe& probe) {
        probe.connection.advance(*probe.request);
        const std::int64_t age_us = now_us - probe.sent_us;
        const bool timed_out =
            age_us > PROBE_TIMEOUT_US ||
            (age_us > CONNECT_TIMEOUT_US &&
             probe.connection.current() == probe_connection::state::connecting);
        if (probe.connection.current() != probe_connection::state::ended &&
            !timed_out)
            return false;
        handle_end(probe, now_us);
        return true;
    });
}

void target_prober::handle_end(const pending_probe& probe,
                               std::int64_t now_us) {
    const int status = probe.connection.status();
    const auto found = targets_.find(probe.target);
    // A target that refuses the token has seen a higher one.
    const bool answered = status == HTTP_OK || status == HTTP_CONFLICT;
    const bool reached = answered && found != targets_.end() &&
                         found->second.request == probe.request;
    rotation_.ended(probe.target,
                    reached                    ? probe_end::reached
                    : status != 0 && !answered ? probe_end::refused
                                               : probe_end::unanswered,
                    now_us);
    if (found != targets_.end() && !answered)
        found->second.missed = true;
    if (found != targets_.end() && probe.timed) {
        auto& shortest_us = found->second.shortest_us;
        const std::int64_t took_us = now_us - probe.sent_us;
        shortest_us = std::min(shortest_us.value_or(took_us), took_us);
        pacer_.add_delay(took_us - *shortest_us);
    }
    if (!reached)
        return;
    ++answered_;
    reached_target result{.target = probe.target,
                          .missed = found->second.missed,
                          .probes = found->second.probes,
                          .answered_after_us = now_us - probe.sent_us};
    targets_.erase(found);
    {
        const std::scoped_lock lock(mutex_);
        results_.push_back(std::move(result));
    }
    results_pipe_.wake();
}

void target_prober::send_due() {
    const std::int64_t now_us = event_loop::now_micros();
    if (now_us - expired_us_ >= EXPIRY_PERIOD_US) {
        expired_us_ = now_us;
        rotation_.expire(now_us);
        std::erase_if(targets_, [&](const auto& item) {
            return item.second.until_us <= now_us;
        });
    }
    if (rotation_.empty() || pacer_.next_us() > now_us)
        return;
    if (pacer_.measure_due(now_us))
        measure(now_us);
    const auto target = rotation_.next(now_us);
    if (!target)
        return pacer_.skipped(now_us);
    probed_target& probed = targets_.at(*target);
    probed.probes.sent(now_us);
    pacer_.sent(now_us);
    ++sent_;
    pending_probe probe{.target = *target,
                        .request = probed.request,
                        .sent_us = now_us,
                        .connection = probe_connection(*probed.request)};
    if (probe.connection.current() == probe_connection::state::ended)
        return handle_end(probe, now_us);
    probe.timed = sent_ % PROBES_PER_TIMED == 0;
    pending_.push_back(std::move(probe));
}

void target_prober::measure(std::int64_t now_us) {
    pacer_.measure(now_us, used_processor_micros(CLOCK_PROCESS_CPUTIME_ID),
                   used_processor_micros(CLOCK_THREAD_CPUTIME_ID));
    const std::int64_t wall_us =
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    pacer_.place_slots(rank_, wall_us - now_us);
}

void target_prober::wait() {
    constexpr std::int64_t NEVER = std::numeric_limits<std::int64_t>::max();
    const std::int64_t now_us = event_loop::now_micros();
    std::int64_t next_us = NEVER;
    if (!rotation_.empty())
        next_us = pacer_.next_us();
    const bool read_answers =
        next_us == NEVER || next_us - now_us > MAX_READ_DELAY_US;
    // Bounds the delay of time-outs and of targets that may be probed again.
    if (!rotation_.empty() || !pending_.empty())
        next_us = std::min(next_us, now_us + EXPIRY_PERIOD_US);
    if (next_us <= now_us)
        return;
    handles_.assign(1, {.fd = commands_pipe_.handle(), .events = POLLIN});
    for (const pending_probe& probe : pending_) {
        const bool connecting =
            probe.connection.current() == probe_connection::state::connecting;
        if (connecting || read_answers || probe.timed)
            handles_.push_back(
                {.fd = probe.connection.handle(),
                 .events = static_cast<short>(connecting ? POLLOUT : POLLIN)});
    }
    const timespec timeout = to_timespec(next_us - now_us);
    ppoll(handles_.data(), handles_.size(),
          next_us == NEVER ? nullptr : &timeout, nullptr);
    if ((handles_[0].revents & POLLIN) != 0)
        commands_pipe_.drain();
}

} // namespace rattan::front
