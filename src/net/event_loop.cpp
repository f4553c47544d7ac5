#include "net/event_loop.hpp"

#include "rattan/error_type.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace rattan {

namespace {

constexpr std::int64_t MICROS_PER_MILLI = 1'000;
constexpr millis MAX_WAIT{10'000}; ///< Upper bound of one wait for events.

volatile std::sig_atomic_t shutdown_signals = 0;
volatile std::sig_atomic_t dump_signals = 0;
volatile std::sig_atomic_t reload_signals = 0;
int signal_pipe_write_fd = -1; ///< -1 while there is no event loop.

/** Wakes the reactor; async-signal-safe. */
void wake_reactor() {
    const int saved_errno = errno;
    const char byte = 0;
    // A failed write to a full pipe is harmless: the reactor wakes anyway.
    [[maybe_unused]] const ssize_t sent = write(signal_pipe_write_fd, &byte, 1);
    errno = saved_errno;
}

} // namespace

class event_loop::signal_pipe : public ACE_Event_Handler {
public:
    signal_pipe() {
        if (pipe2(fds_, O_NONBLOCK | O_CLOEXEC) != 0)
            throw system_error("can't create the pipe for signals");
        signal_pipe_write_fd = fds_[1];
    }
    ~signal_pipe() override {
        signal_pipe_write_fd = -1;
        close(fds_[0]);
        close(fds_[1]);
    }
    ACE_HANDLE get_handle() const override { return fds_[0]; }
    int handle_input(ACE_HANDLE) override {
        char bytes[64];
        while (read(fds_[0], bytes, sizeof bytes) > 0) {
        }
        return 0;
    }

private:
    int fds_[2] = {-1, -1};
};

event_loop::event_loop(std::size_t max_handles)
    : reactor_(std::make_unique<ACE_Reactor>(
          new ACE_Dev_Poll_Reactor(max_handles, true), true)),
      signals_(std::make_unique<signal_pipe>()) {
    std::signal(SIGPIPE, SIG_IGN);
    reactor_->register_handler(signals_.get(), ACE_Event_Handler::READ_MASK);
}

event_loop::~event_loop() {
    reactor_->remove_handler(signals_.get(),
                             ACE_Event_Handler::ALL_EVENTS_MASK |
                                 ACE_Event_Handler::DONT_CALL);
}

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
    // ACE's own timers are not used: its epoll reactor rounds the wait down
    // to whole milliseconds and busy-waits for the remainder.
    const timer_key key{now_micros() + delay.count() * MICROS_PER_MILLI,
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
        return MAX_WAIT.count();
    const std::int64_t left = timers_.begin()->first.due_micros - now_micros();
    return std::clamp<std::int64_t>(
        (left + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI, 0, MAX_WAIT.count());
}

void event_loop::on_signals(callback shutdown, callback dump) {
    on_shutdown_ = std::move(shutdown);
    on_dump_ = std::move(dump);
    const auto on_shutdown = [](int) {
        shutdown_signals = shutdown_signals + 1;
        wake_reactor();
    };
    std::signal(SIGTERM, on_shutdown);
    std::signal(SIGINT, on_shutdown);
    std::signal(SIGUSR1, [](int) {
        dump_signals = dump_signals + 1;
        wake_reactor();
    });
    std::signal(SIGHUP, [](int) {
        reload_signals = reload_signals + 1;
        wake_reactor();
    });
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
        ACE_Time_Value wait;
        // The reactor rounds the wait down to whole milliseconds. One is
        // added so that the loop does not busy-wait before each timer.
        const std::int64_t left = wait_ms();
        wait.msec(static_cast<long>(left > 0 ? left + 1 : 0));
        reactor_->handle_events(&wait);
        run_timers();
        run_deferred();
        handle_signals();
    }
}

void event_loop::handle_signals() {
    const auto handle = [](volatile std::sig_atomic_t& count,
                           const callback& call) {
        if (count == 0)
            return;
        count = 0;
        if (call)
            call();
    };
    handle(shutdown_signals, on_shutdown_);
    handle(dump_signals, on_dump_);
    handle(reload_signals, on_reload_);
}

} // namespace rattan
