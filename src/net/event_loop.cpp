#include "net/event_loop.hpp"

#include "rattan/error_type.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <csignal>

namespace rattan {

namespace {

constexpr size_t MAX_HANDLES = 8192;
constexpr millis LONGEST_WAIT{50}; ///< Bounds how late a signal is seen.

volatile std::sig_atomic_t leave_signals = 0;
volatile std::sig_atomic_t dump_signals = 0;

} // namespace

/** One pending timer; a single call deletes itself when it is done. */
class event_loop::timer_handler : public ACE_Event_Handler {
public:
    timer_handler(event_loop& loop, callback call, long id)
        : loop_(loop), call_(std::move(call)), id_(id) {}

    int handle_timeout(const ACE_Time_Value&, const void*) override {
        if (id_ == 0) {
            call_();
            return 0;
        }
        loop_.timers_.erase(id_);
        call_();
        delete this;
        return 0;
    }

    long reactor_id = -1; ///< For cancelling it.

private:
    event_loop& loop_;
    callback call_;
    long id_; ///< 0 when it repeats.
};

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
    const long id = next_timer_++;
    auto* handler = new timer_handler(*this, std::move(call), id);
    ACE_Time_Value wait;
    wait.set(static_cast<double>(delay.count()) / 1000.0);
    handler->reactor_id = reactor_->schedule_timer(handler, nullptr, wait);
    if (handler->reactor_id < 0) {
        delete handler;
        throw system_error("no timer can be scheduled");
    }
    timers_[id] = handler;
    return id;
}

void event_loop::every(millis period, callback call) {
    auto* handler = new timer_handler(*this, std::move(call), 0);
    ACE_Time_Value wait;
    wait.set(static_cast<double>(period.count()) / 1000.0);
    if (reactor_->schedule_timer(handler, nullptr, wait, wait) < 0) {
        delete handler;
        throw system_error("no timer can be scheduled");
    }
}

void event_loop::cancel(long timer) {
    const auto found = timers_.find(timer);
    if (found == timers_.end())
        return;
    timer_handler* handler = found->second;
    timers_.erase(found);
    reactor_->cancel_timer(handler->reactor_id);
    delete handler;
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
        ACE_Time_Value wait;
        if (deferred_.empty())
            wait.set(static_cast<double>(LONGEST_WAIT.count()) / 1000.0);
        reactor_->handle_events(&wait);
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
