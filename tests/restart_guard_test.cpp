/** @file Probes of targets that may restart, without a network. */
#include "dispatch/probe_pacer.hpp"
#include "dispatch/probe_rotation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace rattan::dispatch;

namespace {

constexpr std::int64_t SECOND_US = 1'000'000;
constexpr std::int64_t UNTIL_US = 100 * SECOND_US;

/** What a process does in one second in which it may always probe. */
struct second_of_probes {
    int probes = 0;
    double used_share = 0; ///< Processor time of the process, in cores.
};

/**
 * @param probe_us Processor time of a probe.
 * @param other_share Cores that other work takes.
 */
second_of_probes probe_for_a_second(std::int64_t milli_cores,
                                    std::int64_t probe_us,
                                    double other_share = 0) {
    probe_pacer pacer(milli_cores);
    second_of_probes out;
    std::int64_t now_us = 10 * SECOND_US;
    std::int64_t probes_us = 0;
    const auto used_us = [&] {
        return probes_us + static_cast<std::int64_t>(
                               static_cast<double>(now_us) * other_share);
    };
    const auto send = [&] {
        pacer.measure(now_us, used_us(), probes_us);
        pacer.sent(now_us);
    };
    send();
    const std::int64_t begin_us = now_us;
    const std::int64_t used_before_us = used_us();
    for (now_us = pacer.next_us(); now_us < begin_us + SECOND_US;
         now_us = std::max(now_us + probe_us, pacer.next_us())) {
        send();
        probes_us += probe_us;
        ++out.probes;
    }
    out.used_share = static_cast<double>(used_us() - used_before_us) /
                     static_cast<double>(now_us - begin_us);
    return out;
}

/**
 * Lets three hosts probe a target.
 * @param delay_us How much longer than the shortest one each probe takes.
 * @return Mean time until the next probe of any of them.
 */
double mean_wait_for_three_hosts(std::int64_t delay_us) {
    constexpr int PROBES = 1'000;
    std::vector<std::int64_t> times_us;
    for (std::size_t rank = 0; rank < 3; ++rank) {
        probe_pacer pacer(1000);
        // The clocks count from different times; the wall clocks agree.
        const auto clock_offset_us = static_cast<std::int64_t>(rank) * 777'777;
        pacer.place_slots(rank, clock_offset_us);
        std::int64_t now_us = 10 * SECOND_US - clock_offset_us;
        for (int i = 0; i < 2 * PROBES; ++i) {
            pacer.measure(now_us, 0, 0);
            pacer.sent(now_us);
            pacer.add_delay(delay_us);
            now_us = pacer.next_us();
            if (i >= PROBES)
                times_us.push_back(now_us + clock_offset_us);
        }
    }
    std::sort(times_us.begin(), times_us.end());
    double wait_us = 0;
    for (std::size_t i = 1; i < times_us.size(); ++i) {
        const auto gap_us = static_cast<double>(times_us[i] - times_us[i - 1]);
        wait_us += gap_us * gap_us / 2;
    }
    return wait_us / static_cast<double>(times_us.back() - times_us.front());
}

} // namespace

// Guards against probes that take the processor from the other work of a host,
// whatever its size and the cost of a probe.
TEST(restart_guard, probes_leave_a_quarter_of_the_processor_share) {
    for (const std::int64_t milli_cores : {120, 250, 1000})
        for (const std::int64_t probe_us : {20, 60, 300}) {
            SCOPED_TRACE(::testing::Message()
                         << milli_cores << " milli-cores, " << probe_us);
            const double limit = static_cast<double>(milli_cores) * 0.75 / 1000;
            const auto second = probe_for_a_second(milli_cores, probe_us);
            EXPECT_LE(second.used_share, limit * 1.05);
            EXPECT_GE(second.probes,
                      std::min(limit * SECOND_US /
                                   static_cast<double>(probe_us) * 0.9,
                               4900.0));
        }
}

// Guards against probes that stop while a host is busy, and against a host that
// probes as fast as before.
TEST(restart_guard, probes_slow_down_while_the_host_is_busy) {
    const int idle = probe_for_a_second(250, 60).probes;
    const int half_busy = probe_for_a_second(250, 60, 0.125).probes;
    const int busy = probe_for_a_second(250, 60, 0.25).probes;
    EXPECT_GT(idle, half_busy * 2);
    EXPECT_GE(half_busy, 900);
    EXPECT_GE(busy, 45);
    EXPECT_LE(busy, 55);
}

// The owner's other work comes in bursts of 5 ms, in all 0.05 cores. Guards
// against hosts that send no probe for milliseconds after each of them.
TEST(restart_guard, probes_stay_even_beside_bursts_of_other_work) {
    constexpr std::int64_t PROBE_US = 40;
    constexpr std::int64_t BURST_US = 5'000;
    constexpr std::int64_t BURST_PERIOD_US = 100'000;
    probe_pacer pacer(250);
    std::int64_t now_us = 10 * SECOND_US;
    const std::int64_t end_us = now_us + 2 * SECOND_US;
    std::int64_t probes_us = 0;
    std::int64_t longest_us = 0;
    int probes = 0;
    while (now_us < end_us) {
        const std::int64_t bursts_us = now_us / BURST_PERIOD_US * BURST_US;
        pacer.measure(now_us, bursts_us + probes_us, probes_us);
        pacer.sent(now_us);
        probes_us += PROBE_US;
        ++probes;
        longest_us = std::max(longest_us, pacer.next_us() - now_us);
        now_us = pacer.next_us();
    }
    const std::int64_t mean_us = 2 * SECOND_US / probes;
    EXPECT_LE(mean_us, 310); // 0.1375 cores are left
    EXPECT_LE(longest_us, 1'000);
}

// Three hosts probe a target. Guards against hosts that probe in step, so that
// their probes count as one: random times would leave a quarter of the spacing
// on average until the next probe of any of them.
TEST(restart_guard, hosts_take_turns) {
    EXPECT_LE(mean_wait_for_three_hosts(0), 0.2 * 200);
}

// Guards against hosts that probe in step once they have lengthened their
// spacing because of delays, each at a time of its own.
TEST(restart_guard, hosts_take_turns_at_a_longer_spacing) {
    EXPECT_LE(mean_wait_for_three_hosts(1'000), 0.2 * 800);
}

// Ten deployments share a machine. Guards against hosts of all of them that
// probe at the same moments and then wait for each other's processor.
TEST(restart_guard, deployments_do_not_probe_in_step) {
    constexpr std::int64_t SLOT_US = 200;
    std::set<std::int64_t> phases_us;
    for (std::uint64_t i = 0; i < 10; ++i) {
        probe_pacer pacer(1000, i << 60U);
        pacer.place_slots(0, 0);
        pacer.measure(10 * SECOND_US, 0, 0);
        pacer.sent(10 * SECOND_US);
        phases_us.insert(pacer.next_us() % SLOT_US);
    }
    EXPECT_EQ(phases_us.size(), 10U);
}

// Other processes slow down the way to a target, so that probes wait for each
// other there. Guards against hosts that go on at the same rate, with which
// each probe arrives later than fewer ones would, and against hosts that stay
// slow.
TEST(restart_guard, probes_are_fewer_while_they_delay_each_other) {
    probe_pacer pacer(1000);
    std::int64_t now_us = 10 * SECOND_US;
    const auto probes_in_a_second = [&](std::int64_t delay_us) {
        int probes = 0;
        for (const std::int64_t end_us = now_us + SECOND_US; now_us < end_us;
             now_us = pacer.next_us()) {
            pacer.measure(now_us, 0, 0);
            pacer.sent(now_us);
            if (++probes % 8 == 0)
                pacer.add_delay(probes % 32 == 0 ? delay_us : 0);
        }
        return probes;
    };
    EXPECT_GE(probes_in_a_second(0), 4900);
    // One in four is delayed, by 250 us on average.
    probes_in_a_second(1'000);
    EXPECT_LE(probes_in_a_second(1'000), 1'300);
    EXPECT_GE(probes_in_a_second(1'000), 1'200);
    probes_in_a_second(0);
    EXPECT_GE(probes_in_a_second(0), 4900);
}

// Guards against a host that never probed and then sends all at once.
TEST(restart_guard, first_probes_are_spaced) {
    probe_pacer pacer(250);
    std::int64_t now_us = 3600 * SECOND_US;
    std::int64_t used_us = 0;
    for (int i = 0; i < 100; ++i) {
        pacer.measure(now_us, used_us, used_us);
        pacer.sent(now_us);
        EXPECT_GE(pacer.next_us() - now_us, 200);
        now_us = pacer.next_us();
        used_us += 60;
    }
    EXPECT_GE(now_us - 3600 * SECOND_US, 21'000);
}

// 300 targets are down at once. Guards against targets that are left out.
TEST(restart_guard, targets_are_probed_in_turn) {
    constexpr int TARGETS = 300;
    constexpr int ROUNDS = 5;
    probe_rotation rotation;
    for (int i = 0; i < TARGETS; ++i)
        EXPECT_TRUE(rotation.add("t" + std::to_string(i), UNTIL_US));
    std::map<std::string, int> probes;
    for (int i = 0; i < TARGETS * ROUNDS; ++i) {
        const auto target = rotation.next(i);
        ASSERT_TRUE(target);
        ++probes[*target];
        rotation.ended(*target, probe_end::unanswered, i);
    }
    EXPECT_EQ(probes.size(), TARGETS);
    for (const auto& [target, count] : probes)
        EXPECT_EQ(count, ROUNDS) << target;
}

// Guards against a target whose probes get no answer keeping others waiting,
// and against probes that pile up there.
TEST(restart_guard, pending_probes_are_bounded) {
    probe_rotation rotation;
    rotation.add("hanging", UNTIL_US);
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(rotation.next(0));
    EXPECT_FALSE(rotation.next(0));
    rotation.add("refusing", UNTIL_US);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(rotation.next(0), "refusing");
        rotation.ended("refusing", probe_end::unanswered, 0);
    }
    for (int i = 0; i < 2000; ++i)
        rotation.add("hanging" + std::to_string(i), UNTIL_US);
    EXPECT_EQ(rotation.size(), 1024);
    int pending = 4;
    while (rotation.next(0))
        ++pending;
    EXPECT_EQ(pending, 32);
}

// Guards against probes of a target that has been reached, that is another one
// now, or whose time is over.
TEST(restart_guard, probes_end) {
    probe_rotation rotation;
    rotation.add("a", UNTIL_US);
    EXPECT_EQ(rotation.next(0), "a");
    rotation.ended("a", probe_end::refused, 0);
    EXPECT_FALSE(rotation.next(19'999));
    EXPECT_EQ(rotation.next(20'000), "a");
    // Added again while a probe of the time before is pending.
    EXPECT_EQ(rotation.next(20'000), "a");
    rotation.ended("a", probe_end::reached, 20'000);
    EXPECT_TRUE(rotation.empty());
    rotation.add("a", UNTIL_US);
    rotation.ended("a", probe_end::unanswered, 20'000);
    EXPECT_EQ(rotation.next(20'000), "a");
    rotation.expire(UNTIL_US);
    EXPECT_TRUE(rotation.empty());
    EXPECT_FALSE(rotation.next(UNTIL_US));
}
