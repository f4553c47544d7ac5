#include "dispatch/probe_pacer.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr double MILLI_CORES_PER_CORE = 1000;
/** Part of the host's processor share that the process may use. */
constexpr double USABLE_SHARE = 0.75;
/** Share of a host that states none. */
constexpr std::int64_t DEFAULT_MILLI_CORES = 1000;
/** At most this many probes a second, whatever they cost. */
constexpr std::int64_t MIN_SPACING_US = 200;
/** Probes go on at this period while other work takes all of the share. */
constexpr double MAX_SPACING_US = 20'000;
/** Bound of what may be spent at once; a share is a quota for each 100 ms. */
constexpr double MAX_CREDIT_US = 2'000;

} // namespace

probe_pacer::probe_pacer(std::int64_t milli_cores)
    : share_(static_cast<double>(milli_cores > 0 ? milli_cores
                                                 : DEFAULT_MILLI_CORES) /
             MILLI_CORES_PER_CORE * USABLE_SHARE) {}

void probe_pacer::sent(std::int64_t now_us, std::int64_t used_us) {
    const double earned_us = static_cast<double>(now_us - sent_us_) * share_;
    const auto spent_us = static_cast<double>(used_us - used_us_);
    credit_us_ = std::clamp(credit_us_ + earned_us - spent_us,
                            -MAX_SPACING_US * share_, MAX_CREDIT_US);
    sent_us_ = now_us;
    used_us_ = used_us;
    const auto repaid_us =
        static_cast<std::int64_t>(std::max(0.0, -credit_us_) / share_);
    next_us_ = now_us + std::max(MIN_SPACING_US, repaid_us);
}

} // namespace rattan::dispatch
