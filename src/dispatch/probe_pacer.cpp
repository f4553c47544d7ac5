#include "dispatch/probe_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace rattan::dispatch {

namespace {

constexpr double MILLI_CORES_PER_CORE = 1000;
/** Part of the host's processor share that the process may use. */
constexpr double USABLE_SHARE = 0.75;
/** Share of a host that states none. */
constexpr std::int64_t DEFAULT_MILLI_CORES = 1000;
/** Between two slots of a host; no more probes are sent, whatever they cost. */
constexpr std::int64_t MIN_SLOT_PERIOD_US = 200;
/** Probes go on at this period while other work takes all of the share. */
constexpr double MAX_SPACING_US = 20'000;
/** A share is a quota for each 100 ms; what is overspent is repaid in that. */
constexpr double QUOTA_PERIOD_US = 100'000;
constexpr double MAX_CREDIT_US = 2'000;
/** Period over which other work is averaged. */
constexpr double OTHER_WORK_PERIOD_US = 200'000;
/** Number of probes over which their cost is averaged. */
constexpr double COST_PROBES = 32;
/** Number of probes over which their delay is averaged. */
constexpr double MEAN_DELAYS = 64;
/** Bounds what one probe that was held up adds to the mean. */
constexpr std::int64_t MAX_DELAY_US = 1'000;
/**
 * Means, as parts of the spacing, above and below which it is doubled and
 * halved. On average a spacing delays the next probe by half of itself.
 */
constexpr double LONG_DELAY = 0.5;
constexpr double SHORT_DELAY = 0.125;
constexpr int MAX_SLOT_FACTOR = 4;
/** Its multiples, without their whole parts, are evenly distributed. */
constexpr double GOLDEN_RATIO = 0.6180339887498949;

} // namespace

probe_pacer::probe_pacer(std::int64_t milli_cores, std::uint64_t slot_seed)
    : share_(static_cast<double>(milli_cores > 0 ? milli_cores
                                                 : DEFAULT_MILLI_CORES) /
             MILLI_CORES_PER_CORE * USABLE_SHARE),
      first_phase_(std::ldexp(static_cast<double>(slot_seed), -64)),
      slot_phase_(first_phase_) {
    update_costs(0, 0, 0);
}

void probe_pacer::place_slots(std::size_t rank, std::int64_t wall_offset_us) {
    const double turns =
        first_phase_ + static_cast<double>(rank) * GOLDEN_RATIO;
    slot_phase_ = turns - std::floor(turns);
    wall_offset_us_ = wall_offset_us;
}

std::int64_t probe_pacer::slot_period_us() const {
    return MIN_SLOT_PERIOD_US * slot_factor_;
}

std::int64_t probe_pacer::slot_before(std::int64_t now_us) const {
    const std::int64_t period_us = slot_period_us();
    const auto first_us =
        static_cast<std::int64_t>(slot_phase_ * static_cast<double>(period_us));
    const std::int64_t since_us =
        (now_us + wall_offset_us_ - first_us) % period_us;
    return now_us - since_us - (since_us < 0 ? period_us : 0);
}

void probe_pacer::measure(std::int64_t now_us, std::int64_t process_us,
                          std::int64_t probes_us) {
    update_costs(static_cast<double>(now_us - measured_us_),
                 static_cast<double>(process_us - process_us_),
                 static_cast<double>(probes_us - probes_us_));
    measured_us_ = now_us;
    process_us_ = process_us;
    probes_us_ = probes_us;
    probes_ = 0;
}

void probe_pacer::update_costs(double elapsed_us, double process_us,
                               double probes_us) {
    if (probes_ > 0) {
        const auto probes = static_cast<double>(probes_);
        const double weight = probes / (probes + COST_PROBES);
        cost_us_ += weight * (probes_us / probes - cost_us_);
    }
    if (elapsed_us > 0) {
        const double other = (process_us - probes_us) / elapsed_us;
        const double weight = std::min(1.0, elapsed_us / OTHER_WORK_PERIOD_US);
        other_share_ += weight * (other - other_share_);
    }
    balance_us_ = std::clamp(balance_us_ + elapsed_us * share_ - process_us,
                             -QUOTA_PERIOD_US * share_, MAX_CREDIT_US);
    const double usable = share_ - other_share_ + balance_us_ / QUOTA_PERIOD_US;
    spacing_us_ = usable > 0 ? std::min(cost_us_ / usable, MAX_SPACING_US)
                             : MAX_SPACING_US;
}

void probe_pacer::sent(std::int64_t now_us) {
    ++probes_;
    // Each slot gives a part of a probe.
    const auto period_us = static_cast<double>(slot_period_us());
    const double part = period_us / std::max(spacing_us_, period_us);
    const double slots = std::max(1.0, std::ceil((1 - credit_) / part));
    credit_ = std::min(1.0, credit_ + slots * part - 1);
    next_us_ = slot_before(now_us) +
               static_cast<std::int64_t>(slots) * slot_period_us();
}

void probe_pacer::skipped(std::int64_t now_us) {
    next_us_ = slot_before(now_us) + slot_period_us();
}

void probe_pacer::add_delay(std::int64_t delay_us) {
    const auto bounded_us =
        static_cast<double>(std::min(delay_us, MAX_DELAY_US));
    delay_us_ += (bounded_us - delay_us_) / MEAN_DELAYS;
    const auto period_us = static_cast<double>(slot_period_us());
    if (delay_us_ > LONG_DELAY * period_us && slot_factor_ < MAX_SLOT_FACTOR) {
        slot_factor_ *= 2;
        // The mean of the new spacing is not known.
        delay_us_ = (LONG_DELAY + SHORT_DELAY) / 2 * period_us * 2;
    } else if (delay_us_ < SHORT_DELAY * period_us && slot_factor_ > 1) {
        slot_factor_ /= 2;
        delay_us_ = (LONG_DELAY + SHORT_DELAY) / 2 * period_us / 2;
    }
}

} // namespace rattan::dispatch
