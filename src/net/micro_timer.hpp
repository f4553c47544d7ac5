/** @file A timer with a resolution below that of the event loop's timers. */
#pragma once

#include "net/event_loop.hpp"

#include <ace/Event_Handler.h>

#include <cstdint>

namespace rattan {

/** Calls a function at a given microsecond. */
class micro_timer : public ACE_Event_Handler {
public:
    micro_timer(event_loop& loop, event_loop::callback call);
    ~micro_timer() override;
    micro_timer(const micro_timer&) = delete;
    micro_timer& operator=(const micro_timer&) = delete;

    /**
     * Calls the function once at `due_us`, a time of `event_loop::now_micros`.
     * Replaces what was set before.
     */
    void set(std::int64_t due_us);
    void cancel();

    ACE_HANDLE get_handle() const override { return timer_; }
    int handle_input(ACE_HANDLE) override;

private:
    event_loop& loop_;
    event_loop::callback call_;
    ACE_HANDLE timer_;      ///< Invalid if the kernel has no such timers.
    long coarse_timer_ = 0; ///< Of the event loop, used in that case.
};

} // namespace rattan
