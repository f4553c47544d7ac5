#include "net/micro_timer.hpp"

#include "base/log_func.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/timerfd.h>
#include <unistd.h>

namespace rattan {

namespace {

constexpr std::int64_t MICROS_PER_SECOND = 1'000'000;
constexpr std::int64_t MICROS_PER_MILLI = 1'000;
constexpr std::int64_t NANOS_PER_MICRO = 1'000;

} // namespace

micro_timer::micro_timer(event_loop& loop, event_loop::callback call)
    : loop_(loop), call_(std::move(call)),
      timer_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (timer_ != ACE_INVALID_HANDLE)
        loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    else
        log_event(log_level::info, "no_timer_descriptor",
                  {{"errno", std::to_string(errno)}});
}

micro_timer::~micro_timer() {
    loop_.cancel(coarse_timer_);
    if (timer_ == ACE_INVALID_HANDLE)
        return;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    close(timer_);
}

void micro_timer::set(std::int64_t due_us) {
    if (timer_ == ACE_INVALID_HANDLE) {
        loop_.cancel(coarse_timer_);
        const std::int64_t left = due_us - event_loop::now_micros();
        coarse_timer_ = loop_.after(
            millis(std::max<std::int64_t>(0, left) / MICROS_PER_MILLI), call_);
        return;
    }
    itimerspec due{};
    due.it_value.tv_sec = due_us / MICROS_PER_SECOND;
    due.it_value.tv_nsec = due_us % MICROS_PER_SECOND * NANOS_PER_MICRO;
    timerfd_settime(timer_, TFD_TIMER_ABSTIME, &due, nullptr);
}

void micro_timer::cancel() {
    loop_.cancel(coarse_timer_);
    const itimerspec never{};
    if (timer_ != ACE_INVALID_HANDLE)
        timerfd_settime(timer_, 0, &never, nullptr);
}

int micro_timer::handle_input(ACE_HANDLE) {
    std::uint64_t expirations = 0;
    // Fails if the timer was set again after it had expired.
    if (read(timer_, &expirations, sizeof expirations) > 0)
        call_();
    return 0;
}

} // namespace rattan
