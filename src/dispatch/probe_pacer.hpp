/** @file Processor time that a host may spend on probes. */
#pragma once

#include <cstddef>
#include <cstdint>

namespace rattan::dispatch {

/**
 * Spaces the probes of a host so that the process, with all its other work,
 * uses at most three quarters of the host's processor share while it probes.
 * Probes are sent in slots, which the hosts place evenly by the wall clock. A
 * burst of other work lengthens the spacing a little for some time in place of
 * a pause. Times are in microseconds.
 */
class probe_pacer {
public:
    /**
     * @param milli_cores Processor share of the host; 0: not stated.
     * @param slot_seed Places the slots of all hosts of a deployment, so that
     * deployments that share machines do not probe in step.
     */
    explicit probe_pacer(std::int64_t milli_cores, std::uint64_t slot_seed = 0);

    /**
     * Places the slots of this host.
     * @param rank Place among the hosts; their slots are far apart whatever
     * their number.
     * @param wall_offset_us The wall clock minus the clock of all other times.
     */
    void place_slots(std::size_t rank, std::int64_t wall_offset_us);

    /**
     * Reports the processor time used so far; due every `MEASURE_PERIOD_US`
     * while probes are sent. The first call counts from time 0.
     * @param process_us Of the process.
     * @param probes_us Part of it that probes took.
     */
    void measure(std::int64_t now_us, std::int64_t process_us,
                 std::int64_t probes_us);
    [[nodiscard]] bool measure_due(std::int64_t now_us) const {
        return now_us - measured_us_ >= MEASURE_PERIOD_US;
    }

    /** Reports that a probe is sent. */
    void sent(std::int64_t now_us);

    /** Reports that a slot is not used, as too many probes are pending. */
    void skipped(std::int64_t now_us);

    /**
     * Reports how much longer than the shortest one to its target a probe took.
     * Probes that wait for each other on their way arrive late, so they are
     * sent less often while that delays them more than a longer spacing would.
     */
    void add_delay(std::int64_t delay_us);

    /** The next slot in which a probe may be sent. */
    [[nodiscard]] std::int64_t next_us() const { return next_us_; }

private:
    static constexpr std::int64_t MEASURE_PERIOD_US = 10'000;
    /** Assumed cost of a probe before one has been measured. */
    static constexpr double INITIAL_COST_US = 60;

    void update_costs(double elapsed_us, double process_us, double probes_us);

    /** Time between two slots. */
    [[nodiscard]] std::int64_t slot_period_us() const;

    /** The last slot that has begun. */
    [[nodiscard]] std::int64_t slot_before(std::int64_t now_us) const;

    double share_;       ///< Cores.
    double first_phase_; ///< Of the slots of the host with rank 0.
    double slot_phase_;  ///< Of the slots, as part of their period.
    std::int64_t wall_offset_us_ = 0;
    double cost_us_ = INITIAL_COST_US; ///< Mean of one probe.
    double other_share_ = 0;           ///< Mean of other work, in cores.
    double balance_us_ = 0; ///< Processor time left; negative: overspent.
    double spacing_us_ = 0;
    double delay_us_ = 0;     ///< Mean of the last probes.
    int slot_factor_ = 1;     ///< Lengthens the slots because of delays.
    double credit_ = 0;       ///< Part of a probe that may be sent early.
    std::int64_t probes_ = 0; ///< Since the last measurement.
    std::int64_t measured_us_ = 0;
    std::int64_t process_us_ = 0; ///< At that time.
    std::int64_t probes_us_ = 0;  ///< At that time.
    std::int64_t next_us_ = 0;
};

} // namespace rattan::dispatch
