#include "net/event_loop.hpp"

#include "rattan/error_type.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <algorithm>
#include <csignal>

namespace rattan {

namespace {

constexpr size_t MAX_HANDLES = 8192;
constexpr std::int64_t MICROS_A_MILLI = 1'000;
constexpr millis LONGEST_WAIT{50}; ///< Bounds how late a signal is seen.

volatile std::sig_atomic_t leave_signals = 0;
volatile std::sig_atomic_t dump_signals = 0;

} // namespace

event_loop::event_loop()
    : reactor_(std::make_unique<ACE_Reactor>(
          new ACE_Dev_Poll_Reactor(MAX_HANDLES, true), true)) {
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() = default;

mono_time event_loop::now() {
    return std::chrono::time_point_cast<millis>(
        std::chrono::steady_clock::now());
}

std::int64_t event_loop::now_micros() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

long event_loop::after(millis delay, callback call) {
    // Not ACE's timers: its epoll reactor rounds their wait down to whole
    // milliseconds and spins through the rest.
    const timer_key key{now_micros() + delay.count() * MICROS_A_MILLI,
                        next_timer_++};
    timers_[key] = std::move(call);
    timer_keys_[key.id] = key;
    return key.id;
}

void event_loop::every(millis period, callback call) {
    after(period, [this, period, call = std::move(call)]() mutable {
        call();
        every(period, std::move(call));
    });
}

void event_loop::cancel(long timer) {
    const auto found = timer_keys_.find(timer);
    if (found == timer_keys_.end())
        return;
    timers_.erase(found->second);
    timer_keys_.erase(found);
}

void event_loop::run_timers() {
    const std::int64_t now = now_micros();
    while (!timers_.empty() && timers_.begin()->first.due_micros <= now) {
        const callback call = std::move(timers_.begin()->second);
        timer_keys_.erase(timers_.begin()->first.id);
        timers_.erase(timers_.begin());
        call();
    }
}

std::int64_t event_loop::wait_ms() const {
    if (!deferred_.empty())
        return 0;
    if (timers_.empty())
        return LONGEST_WAIT.count();
    const std::int64_t left = timers_.begin()->first.due_micros - now_micros();
    return std::clamp<std::int64_t>(
        (left + MICROS_A_MILLI - 1) / MICROS_A_MILLI, 0, LONGEST_WAIT.count());
}

void event_loop::on_signals(callback leave, callback dump) {
    leave_ = std::move(leave);
    dump_ = std::move(dump);
    const auto on_leave = [](int) { leave_signals = leave_signals + 1; };
    std::signal(SIGTERM, on_leave);
    std::signal(SIGINT, on_leave);
    std::signal(SIGUSR1, [](int) { dump_signals = dump_signals + 1; });
}

void event_loop::run_deferred() {
    const size_t count = deferred_.size();
    for (size_t i = 0; i < count; ++i) {
        callback call = std::move(deferred_.front());
        deferred_.pop_front();
        call();
    }
}

void event_loop::run() {
    while (!stopped_) {
        ACE_Time_Value wait(
            0, static_cast<suseconds_t>(wait_ms() * MICROS_A_MILLI));
        reactor_->handle_events(&wait);
        run_timers();
        run_deferred();
        if (leave_signals > 0 && leave_) {
            leave_signals = 0;
            leave_();
        }
        if (dump_signals > 0 && dump_) {
            dump_signals = 0;
            dump_();
        }
    }
}

} // namespace rattan
