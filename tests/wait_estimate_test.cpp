/** @file Expected waits under loads that are given as work over time. */
#include "dispatch/wait_estimate.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

constexpr std::int64_t CORE = 1000; ///< Milli-cores.
constexpr int STEPS_PER_SECOND = 5;
const work_group QUICK{{"quick"}, false};
const work_group QUICK_OVER{{"quick"}, true};
const work_group SLOW{{"slow"}, false};

/** Places waiting work in the order of its groups as far as there is room. */
class load {
public:
    explicit load(std::int64_t cores) : capacity_(cores * CORE) {
        waiting_.groups[QUICK].priority = 0;
        waiting_.groups[SLOW].priority = 2;
    }

    /** @param core_seconds Work of new jobs. */
    void submit(const work_group& group, const std::string& organisation,
                std::int64_t core_seconds) {
        const std::int64_t work = core_seconds * CORE * 1000;
        waiting_.groups[group].work[{organisation}] += work;
        estimate_.work_submitted(group, {organisation}, work, now_);
    }
    /** Cores that an organisation may use at the same time. */
    void set_limit(const std::string& organisation, std::int64_t cores) {
        limits_[{organisation}] = cores * CORE;
    }
    void set_confirmed(bool confirmed) { confirmed_ = confirmed; }
    void set_capacity(std::int64_t cores) { capacity_ = cores * CORE; }
    void replace_owner() { estimate_ = {}; }

    /** Calls `each` after every update. */
    void run(
        millis time, const std::function<void()>& each = [] {}) {
        for (const mono_time end = now_ + time; now_ < end;) {
            now_ += wait_estimate::UPDATE_PERIOD;
            place();
            estimate_.update(waiting_, confirmed_, now_);
            each();
        }
    }

    [[nodiscard]] millis wait(const std::string& queue,
                              const std::string& organisation = "a") const {
        return estimate_.waits().wait_of({queue}, {organisation});
    }
    [[nodiscard]] std::int64_t waiting(const work_group& group) const {
        std::int64_t sum = 0;
        for (const auto& [name, work] : waiting_.groups.at(group).work)
            sum += work;
        return sum;
    }

private:
    void place() {
        std::int64_t room = capacity_ * wait_estimate::UPDATE_PERIOD.count();
        std::map<organisation_id, std::int64_t> allowed;
        for (const auto& [name, cores] : limits_)
            allowed[name] = cores * wait_estimate::UPDATE_PERIOD.count();
        waiting_.at_limit.clear();
        for (const work_group& group : {QUICK, SLOW, QUICK_OVER}) {
            const auto entry = waiting_.groups.find(group);
            if (entry == waiting_.groups.end())
                continue;
            for (auto& [name, work] : entry->second.work) {
                std::int64_t placed = std::min(work, room);
                if (const auto limit = allowed.find(name);
                    limit != allowed.end()) {
                    placed = std::min(placed, limit->second);
                    limit->second -= placed;
                    if (limit->second == 0 && placed < work)
                        waiting_.at_limit.insert(name);
                }
                work -= placed;
                room -= placed;
                if (placed > 0)
                    estimate_.work_placed(group, name, placed);
            }
        }
    }

    wait_estimate estimate_;
    waiting_work waiting_;
    std::map<organisation_id, std::int64_t> limits_;
    std::int64_t capacity_;
    bool confirmed_ = true;
    mono_time now_{millis(100'000)};
};

} // namespace

TEST(wait_estimate, backlog_of_30_s_is_expected_to_wait_30_s) {
    load cell(10);
    cell.submit(QUICK, "a", 320);
    cell.run(millis(2400));
    EXPECT_NEAR(static_cast<double>(cell.wait("quick").count()), 29'600, 1500);
    cell.run(millis(20'000));
    EXPECT_NEAR(static_cast<double>(cell.wait("quick").count()), 9'600, 1000);
    cell.run(millis(12'000));
    EXPECT_EQ(cell.wait("quick"), millis(0));
}

// Guards against a rate that shows the demand of a quiet time instead of the
// room: the burst would seem to take ten times as long as it does.
TEST(wait_estimate, burst_that_the_room_absorbs_is_not_expected_to_wait) {
    load cell(100);
    for (int i = 0; i < 20 * STEPS_PER_SECOND; ++i) {
        cell.submit(QUICK, "a", 2);
        cell.run(wait_estimate::UPDATE_PERIOD);
    }
    cell.submit(QUICK, "a", 300); // 3 s of the room, 30 s of the demand.
    millis longest{0};
    cell.run(millis(6000),
             [&] { longest = std::max(longest, cell.wait("quick")); });
    EXPECT_EQ(cell.waiting(QUICK), 0);
    EXPECT_LE(longest, millis(1200));
}

TEST(wait_estimate, twice_the_capacity_is_expected_to_wait_longer_and_longer) {
    load cell(10);
    for (int i = 0; i < 10 * STEPS_PER_SECOND; ++i) {
        cell.submit(QUICK, "a", 4);
        cell.run(wait_estimate::UPDATE_PERIOD);
    }
    EXPECT_NEAR(static_cast<double>(cell.wait("quick").count()), 10'000, 1000);
}

// Guards against a backlog of one organisation, which waits for its own limit,
// that refuses the jobs of the others.
TEST(wait_estimate, organisation_at_its_limit_waits_and_others_do_not) {
    load cell(100);
    cell.set_limit("full", 5);
    cell.submit(QUICK, "full", 200);
    for (int i = 0; i < 5 * STEPS_PER_SECOND; ++i) {
        cell.submit(QUICK, "a", 2);
        cell.run(wait_estimate::UPDATE_PERIOD,
                 [&] { EXPECT_EQ(cell.wait("quick", "a"), millis(0)); });
    }
    EXPECT_NEAR(static_cast<double>(cell.wait("quick", "full").count()), 35'000,
                3000);
    EXPECT_EQ(cell.wait("quick", "other"), millis(0));
}

TEST(wait_estimate, work_beyond_the_rate_delays_only_its_like) {
    load cell(10);
    cell.submit(QUICK_OVER, "greedy", 400);
    for (int i = 0; i < 4 * STEPS_PER_SECOND; ++i) {
        cell.submit(QUICK, "a", 1);
        cell.submit(QUICK_OVER, "greedy", 1);
        cell.run(wait_estimate::UPDATE_PERIOD);
    }
    EXPECT_EQ(cell.wait("quick", "a"), millis(0));
    EXPECT_GT(cell.wait("quick", "greedy"), millis(40'000));
    // Its jobs within the rate do not wait for the others.
    cell.submit(QUICK, "greedy", 1);
    cell.run(wait_estimate::UPDATE_PERIOD);
    EXPECT_EQ(cell.wait("quick", "greedy"), millis(0));
}

// The slow queue gets nothing while the burst lasts, and all of the room
// afterwards: its own rate alone would give a wait without end.
TEST(wait_estimate, less_urgent_queue_waits_for_a_burst_of_the_urgent_one) {
    load cell(10);
    cell.submit(SLOW, "a", 100);
    cell.run(millis(4000));
    EXPECT_NEAR(static_cast<double>(cell.wait("slow").count()), 6000, 1000);
    cell.submit(QUICK, "a", 200);
    cell.run(millis(4000));
    EXPECT_NEAR(static_cast<double>(cell.wait("slow").count()), 22'000, 4000);
    cell.run(millis(6000));
    EXPECT_NEAR(static_cast<double>(cell.wait("slow").count()), 16'000, 3000);
}

// The urgent queue takes half of the room all the time.
TEST(wait_estimate, less_urgent_queue_has_what_a_steady_urgent_one_leaves) {
    load cell(10);
    cell.submit(SLOW, "a", 200);
    for (int i = 0; i < 10 * STEPS_PER_SECOND; ++i) {
        cell.submit(QUICK, "a", 1);
        cell.run(wait_estimate::UPDATE_PERIOD);
    }
    EXPECT_NEAR(static_cast<double>(cell.wait("slow").count()), 30'000, 2000);
    EXPECT_EQ(cell.wait("quick"), millis(0));
}

TEST(wait_estimate, new_owner_expects_nothing_for_2_s) {
    load cell(10);
    cell.submit(QUICK, "a", 320);
    cell.run(millis(5000));
    EXPECT_GT(cell.wait("quick"), millis(20'000));
    cell.replace_owner();
    cell.run(millis(2000), [&] { EXPECT_EQ(cell.wait("quick"), millis(0)); });
    cell.run(millis(400));
    EXPECT_GT(cell.wait("quick"), millis(20'000));
}

TEST(wait_estimate, nothing_is_expected_while_the_store_does_not_confirm) {
    load cell(10);
    cell.submit(QUICK, "a", 320);
    cell.run(millis(5000));
    cell.set_confirmed(false);
    cell.run(millis(1000), [&] { EXPECT_EQ(cell.wait("quick"), millis(0)); });
    cell.set_confirmed(true);
    cell.run(millis(1800), [&] { EXPECT_EQ(cell.wait("quick"), millis(0)); });
    cell.run(millis(400));
    EXPECT_GT(cell.wait("quick"), millis(15'000));
}

// Targets that can't be reached for a while make no job hopeless: how long the
// backlog takes afterwards can't be told from a rate that has fallen to zero.
TEST(wait_estimate, nothing_is_expected_while_nothing_can_be_placed) {
    load cell(10);
    cell.submit(QUICK, "a", 120);
    cell.run(millis(5000));
    cell.set_capacity(0);
    cell.run(millis(2200));
    cell.run(millis(20'000), [&] { EXPECT_EQ(cell.wait("quick"), millis(0)); });
    cell.set_capacity(10);
    cell.run(millis(400));
    EXPECT_LT(cell.wait("quick"), millis(14'000)); // Twice what it takes.
}

TEST(wait_estimate, work_of_any_declared_size_does_not_overflow) {
    constexpr std::int64_t MAX = std::numeric_limits<std::int64_t>::max();
    const std::int64_t huge = task_work(MAX, millis(MAX), MAX);
    EXPECT_GT(huge, 0);
    wait_estimate estimate;
    waiting_work waiting;
    waiting.groups[QUICK].work[{"a"}] = huge;
    waiting.groups[QUICK].work[{"b"}] = huge;
    for (int i = 1; i <= 30; ++i) {
        estimate.work_placed(QUICK, {"a"}, i % 2 == 0 ? huge : 1);
        estimate.update(waiting, true, mono_time(millis(i * 200)));
        EXPECT_GE(estimate.waits().wait_of({"quick"}, {"a"}), millis(0));
    }
    EXPECT_EQ(task_work(-5, millis(3), 1), 0);
}
