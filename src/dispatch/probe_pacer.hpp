/** @file Processor time that a host may spend on probes. */
#pragma once

#include <cstdint>

namespace rattan::dispatch {

/**
 * Spaces the probes of a host so that the process, with all its other work,
 * uses at most three quarters of the host's processor share while it probes.
 * Times are in microseconds.
 */
class probe_pacer {
public:
    /** @param milli_cores Processor share of the host; 0: not stated. */
    explicit probe_pacer(std::int64_t milli_cores);

    /**
     * Reports that a probe is sent.
     * @param used_us Processor time that the process has used so far. What this
     * probe costs counts when the next one is sent.
     */
    void sent(std::int64_t now_us, std::int64_t used_us);

    /** When the next probe may be sent. */
    [[nodiscard]] std::int64_t next_us() const { return next_us_; }

private:
    double share_;         ///< Cores.
    double credit_us_ = 0; ///< Processor time left; negative: overspent.
    std::int64_t sent_us_ = 0;
    std::int64_t used_us_ = 0; ///< At that time.
    std::int64_t next_us_ = 0;
};

} // namespace rattan::dispatch
