/** @file The one thread of a process: sockets, timers, deferred calls. */
#pragma once

#include "rattan/unit_type.hpp"

#include <ace/Reactor.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace rattan {

/** Descriptors to watch where the settings give no limit. */
constexpr std::size_t DEFAULT_MAX_HANDLES = 8192;

/** Runs everything of a process on an ACE reactor (epoll). */
class event_loop {
public:
    using callback = std::function<void()>;

    /** @param max_handles Most descriptors that the reactor watches. */
    explicit event_loop(std::size_t max_handles = DEFAULT_MAX_HANDLES);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Handles events until `stop`. */
    void run();

    /** Ends `run` after the present round. */
    void stop() { stopped_ = true; }

    /** Time that never goes back. */
    [[nodiscard]] static mono_time now();

    /** The same clock in microseconds, for latencies. */
    [[nodiscard]] static std::int64_t now_micros();

    /** Calls once, `delay` from now. @return An id for `cancel`, over 0. */
    long after(millis delay, callback call);

    /** Calls again and again until the loop ends. */
    void every(millis period, callback call);

    /** Forgets a call of `after` that has not happened. */
    void cancel(long timer);

    /** Calls before the loop waits again. */
    void defer(callback call) { deferred_.push_back(std::move(call)); }

    /** The reactor, for handlers of sockets. */
    [[nodiscard]] ACE_Reactor& reactor() { return *reactor_; }

    /** Calls on SIGTERM and SIGINT (leave) and SIGUSR1 (dump). */
    void on_signals(callback leave, callback dump);

    /** Calls on SIGHUP: the settings file has changed. */
    void on_reload(callback reload) { reload_ = std::move(reload); }

private:
    /** A call that is due at a time; the id tells equal times apart. */
    struct timer_key {
        std::int64_t due_micros = 0;
        long id = 0;

        auto operator<=>(const timer_key&) const = default;
    };

    /** Calls what a signal asked for. */
    void run_signals();
    /** Calls what was deferred up to now. */
    void run_deferred();
    /** Calls the timers that are due. */
    void run_timers();
    /** Milliseconds until the next timer, rounded up. */
    [[nodiscard]] std::int64_t wait_ms() const;

    /** Wakes the reactor when a signal came. */
    class signal_pipe;

    std::unique_ptr<ACE_Reactor> reactor_;
    std::unique_ptr<signal_pipe> signals_;
    std::map<timer_key, callback> timers_;
    std::map<long, timer_key> timer_keys_; ///< For cancelling.
    long next_timer_ = 1;
    std::deque<callback> deferred_;
    callback leave_;
    callback dump_;
    callback reload_;
    bool stopped_ = false;
};

} // namespace rattan
