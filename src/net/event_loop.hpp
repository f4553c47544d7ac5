/** @file Single-threaded event loop: sockets, timers, deferred calls. */
#pragma once

#include "rattan/unit_type.hpp"

#include <ace/Reactor.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace rattan {

/** Default limit on the number of watched file descriptors. */
constexpr std::size_t DEFAULT_MAX_HANDLES = 8192;

/** Runs all callbacks of a process on one ACE reactor (epoll). */
class event_loop {
public:
    using callback = std::function<void()>;

    /** @param max_handles Limit on the file descriptors watched at once. */
    explicit event_loop(std::size_t max_handles = DEFAULT_MAX_HANDLES);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Handles events until `stop` is called. */
    void run();

    /** Makes `run` return after the current iteration. */
    void stop() { stopped_ = true; }

    /** Current time of the monotonic clock. */
    [[nodiscard]] static mono_time now();

    /** Current time of the same clock in microseconds. */
    [[nodiscard]] static std::int64_t now_micros();

    /** Runs `call` once after `delay`. @return Positive id for `cancel`. */
    long after(millis delay, callback call);

    /** Runs `call` repeatedly, each time `period` after it last returned. */
    void every(millis period, callback call);

    /** Cancels a timer of `after`; no effect if it has fired. */
    void cancel(long timer);

    /** Runs `call` before the loop next waits for events. */
    void defer(callback call) { deferred_.push_back(std::move(call)); }

    /** The reactor with which socket handlers register. */
    [[nodiscard]] ACE_Reactor& reactor() { return *reactor_; }

    /** Runs `shutdown` on SIGTERM and SIGINT, `dump` on SIGUSR1. */
    void on_signals(callback shutdown, callback dump);

    /** Runs `reload` on SIGHUP, which asks to reload the settings. */
    void on_reload(callback reload) { on_reload_ = std::move(reload); }

private:
    /** Orders timers by due time, then by id. */
    struct timer_key {
        std::int64_t due_micros = 0;
        long id = 0;

        auto operator<=>(const timer_key&) const = default;
    };

    /** Runs the callbacks of the signals received since the last call. */
    void handle_signals();
    /** Runs the calls deferred so far; those they defer run next time. */
    void run_deferred();
    /** Runs the timers that are due. */
    void run_timers();
    /** Milliseconds until the next timer is due, rounded up. */
    [[nodiscard]] std::int64_t wait_ms() const;

    /** Pipe through which signal handlers wake the reactor. */
    class signal_pipe;

    std::unique_ptr<ACE_Reactor> reactor_;
    std::unique_ptr<signal_pipe> signals_;
    std::map<timer_key, callback> timers_;
    std::map<long, timer_key> timer_keys_; ///< By timer id, for `cancel`.
    long next_timer_ = 1;
    std::deque<callback> deferred_;
    callback on_shutdown_;
    callback on_dump_;
    callback on_reload_;
    bool stopped_ = false;
};

} // namespace rattan
