/** @file Changes that are too large for one call to the store. */
#include "dispatch/owner_base.hpp"

#include <gtest/gtest.h>

#include <numeric>
#include <set>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

constexpr owner_clock CLOCK{.now = mono_time(millis(1'000'000)),
                            .wall_ms = 1'700'000'000'000};
constexpr std::size_t MAX_CALL_BYTES = 1U << 20U;
constexpr std::size_t MAX_RECORD_BYTES = 262'144;

/** Records what is stored, and which ends are shown. */
struct store_log : owner_output {
    void start(const target_address&, const start_order&) override {}
    void stop(const target_address&, const task_id&, std::int32_t,
              std::int64_t) override {}
    void throttle(const target_address&, const task_id&, std::int32_t, int,
                  std::int64_t) override {}
    void poll(const target_address&, const poll_order&) override {}
    void guard_restart(const target_address&, std::int64_t, millis) override {}
    void ask_advice(const host_id&, const step_ref&,
                    const std::vector<std::string>&, millis) override {}
    void store(const std::vector<store_record>& records) override {
        ++calls;
        const std::size_t bytes =
            std::accumulate(records.begin(), records.end(), std::size_t{0},
                            [](std::size_t sum, const store_record& record) {
                                return sum + record.value.size();
                            });
        largest = std::max(largest, bytes);
        for (const store_record& record : records)
            stored.insert(record.key);
        pending = true;
    }
    void remove_jobs(const std::vector<job_id>&) override {}
    void end_stored(const job_id& job) override {
        shown_unstored += stored.contains(progress_key(job)) ? 0 : 1;
        ++shown;
    }
    void log(std::string_view, const job_id&, const std::string&) override {}

    std::set<std::string> stored;
    std::size_t largest = 0;
    int calls = 0;
    int shown = 0;
    int shown_unstored = 0;
    bool pending = false;
};

} // namespace

// Guards against copies of the records of all jobs at once, and against ends
// that are shown before the call that stores them.
TEST(store_round, many_ends_take_several_calls) {
    constexpr int JOBS = 30'000;
    store_log output;
    owner under_test({.epoch = 1}, output);
    under_test.set_config(
        {.version = 1, .queues = {{.name = {"q"}, .service = {"pool"}}}});
    under_test.take_over(CLOCK);
    under_test.ownership_confirmed(CLOCK.now);
    const organisation_id organisation{std::string(40, 'o')};
    for (int i = 0; i < JOBS; ++i) {
        job_record record{.id = {"job-" + std::to_string(i)},
                          .queue = {"q"},
                          .organisation = organisation};
        record.spec.steps = {{.count = 1}};
        under_test.job_accepted(std::move(record), CLOCK);
        under_test.job_cancelled({"job-" + std::to_string(i)}, organisation,
                                 CLOCK);
    }
    for (int tick = 0; tick < JOBS && output.shown < JOBS; ++tick) {
        under_test.tick(CLOCK);
        if (std::exchange(output.pending, false))
            under_test.records_stored(CLOCK);
    }
    EXPECT_EQ(output.shown, JOBS);
    EXPECT_EQ(output.shown_unstored, 0);
    EXPECT_GT(output.calls, 1);
    EXPECT_LE(output.largest, MAX_CALL_BYTES + MAX_RECORD_BYTES);
}
