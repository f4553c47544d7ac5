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

constexpr std::int64_t MICROS_A_MILLI = 1'000;
constexpr millis LONGEST_WAIT{10'000}; ///< Signals end a wait sooner.

volatile std::sig_atomic_t leave_signals = 0;
volatile std::sig_atomic_t dump_signals = 0;
volatile std::sig_atomic_t reload_signals = 0;
int signal_write_end = -1; ///< Of the pipe that wakes the reactor.

/** Wakes the reactor; safe in a signal handler. */
void wake_reactor() {
    const int kept = errno;
    const char byte = 0;
    // A full pipe wakes the reactor as well.
    [[maybe_unused]] const ssize_t sent = write(signal_write_end, &byte, 1);
    errno = kept;
}

} // namespace

class event_loop::signal_pipe : public ACE_Event_Handler {
public:
    signal_pipe() {
        if (pipe2(ends_, O_NONBLOCK | O_CLOEXEC) != 0)
            throw system_error("can't open a pipe for signals");
        signal_write_end = ends_[1];
    }
    ~signal_pipe() override {
        signal_write_end = -1;
        close(ends_[0]);
        close(ends_[1]);
    }
    ACE_HANDLE get_handle() const override { return ends_[0]; }
    int handle_input(ACE_HANDLE) override {
        char bytes[64];
        while (read(ends_[0], bytes, sizeof bytes) > 0) {
        }
        return 0;
    }

private:
    int ends_[2] = {-1, -1};
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
    const auto on_leave = [](int) {
        leave_signals = leave_signals + 1;
        wake_reactor();
    };
    std::signal(SIGTERM, on_leave);
    std::signal(SIGINT, on_leave);
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
        // The reactor drops a begun millisecond: without one more, the loop
        // would spin through the last one before each timer.
        const std::int64_t left = wait_ms();
        wait.msec(static_cast<long>(left > 0 ? left + 1 : 0));
        reactor_->handle_events(&wait);
        run_timers();
        run_deferred();
        run_signals();
    }
}

void event_loop::run_signals() {
    const auto take = [](volatile std::sig_atomic_t& count,
                         const callback& call) {
        if (count == 0)
            return;
        count = 0;
        if (call)
            call();
    };
    take(leave_signals, leave_);
    take(dump_signals, dump_);
    take(reload_signals, reload_);
}

} // namespace rattan
