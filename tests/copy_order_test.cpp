/** @file Orders for a second copy of a task, event by event. */
#include "dispatch/owner_base.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

constexpr std::int64_t WALL_MS = 1'700'000'000'000;
constexpr std::int64_t INCARNATION = 5;

/** Records the orders of an owner. */
struct copy_order_log : owner_output {
    void start(const target_address& target,
               const start_order& order) override {
        starts.emplace_back(target.id, order);
    }
    void stop(const target_address& target, const task_id&, std::int32_t run,
              std::int64_t) override {
        stops.emplace_back(target.id, run);
    }
    void throttle(const target_address&, const task_id&, std::int32_t, int,
                  std::int64_t) override {}
    void poll(const target_address& target, const poll_order& order) override {
        polls[target.id] = order;
    }
    void guard_restart(const target_address&, std::int64_t, millis) override {}
    void ask_advice(const host_id&, const step_ref&,
                    const std::vector<std::string>&, millis) override {}
    void store(const std::vector<store_record>&) override { pending = true; }
    void remove_jobs(const std::vector<job_id>&) override {}
    void end_stored(const job_id&) override {}
    void log(std::string_view, const job_id&, const std::string&) override {}

    std::vector<std::pair<target_id, start_order>> starts;
    std::vector<std::pair<target_id, std::int32_t>> stops;
    std::map<target_id, poll_order> polls; ///< Last one of each target.
    bool pending = false;
};

/** An owner, three targets, and a step of three tasks that may be copied. */
class copy_order : public ::testing::Test {
protected:
    void SetUp() override {
        under_test.set_config(
            {.version = 1,
             .queues = {
                 {.name = {"q"}, .service = {"pool"}, .max_attempts = 3}}});
        for (const char* name : {"t1", "t2", "t3"})
            under_test.target_listed({.id = {name},
                                      .address = name,
                                      .service = {"pool"},
                                      .capacity = {2000, 1000, 0},
                                      .labels = {"a"},
                                      .incarnation = INCARNATION},
                                     clock());
        under_test.take_over(clock());
        tick();
        for (const char* name : {"t1", "t2", "t3"})
            answer_poll({name}, {}, {});
        job_record record{.id = {"j"}, .queue = {"q"}};
        record.spec.steps = {{.count = 3,
                              .demand = {1000, 10, 0},
                              .estimate = millis(1000),
                              .speculation_allowed = true}};
        record.accepted_ms = clock().wall_ms;
        under_test.job_accepted(std::move(record), clock());
        tick();
        ASSERT_EQ(output.starts.size(), 3U);
        for (std::size_t i = 0; i < 3; ++i)
            confirm(output.starts[i]);
        now_ms += 900;
        // All but the last task end, which goes on for much longer.
        straggler = output.starts[2];
        for (std::size_t i = 0; i < 2; ++i)
            answer_poll(output.starts[i].first, {},
                        {end_of(output.starts[i], run_end::done)});
        now_ms += 2000;
        answer_poll(straggler.first,
                    {{.task = straggler.second.task, .run = 1, .percent = 10}},
                    {});
        tick();
        ASSERT_EQ(output.starts.size(), 4U);
        copy = output.starts[3];
        ASSERT_EQ(copy.second.task, straggler.second.task);
        ASSERT_EQ(copy.second.run, 2);
        ASSERT_NE(copy.first, straggler.first);
    }

    [[nodiscard]] owner_clock clock() const {
        return {.now = mono_time(millis(now_ms)), .wall_ms = WALL_MS + now_ms};
    }

    /** Lets some time pass, does what is due and confirms the records. */
    void tick() {
        for (int i = 0; i < 3; ++i) {
            now_ms += 20;
            under_test.ownership_confirmed(clock().now);
            under_test.tick(clock());
            if (std::exchange(output.pending, false))
                under_test.records_stored(clock());
        }
    }

    void answer_poll(const target_id& target, std::vector<listed_run> running,
                     std::vector<listed_end> ended) {
        under_test.poll_answered(target,
                                 {.order = {.answered = true,
                                            .sent = true,
                                            .done = true,
                                            .clock_ms = now_ms},
                                  .incarnation = INCARNATION,
                                  .running = std::move(running),
                                  .ended = std::move(ended)},
                                 clock().now, clock());
        tick();
    }

    listed_end end_of(const std::pair<target_id, start_order>& start,
                      run_end how) {
        return {.sequence = ++sequences[start.first],
                .task = start.second.task,
                .run = start.second.run,
                .end = how};
    }

    void confirm(const std::pair<target_id, start_order>& start) {
        under_test.start_answered(
            start.first, start.second.task, start.second.run,
            {.answered = true, .sent = true, .done = true, .clock_ms = now_ms},
            clock());
        tick();
    }

    /** Last end that the next poll of a target acknowledges. */
    std::int64_t acknowledged(const target_id& target) {
        now_ms += 1000;
        tick();
        return output.polls[target].last_seen;
    }

    std::int64_t now_ms = 1000;
    copy_order_log output;
    owner under_test{{.epoch = 100,
                      .max_unconfirmed = millis(60'000),
                      .scheduling = {.place_by_expected_end = true}},
                     output};
    std::map<target_id, std::int64_t> sequences;
    std::pair<target_id, start_order> straggler;
    std::pair<target_id, start_order> copy;
};

} // namespace

// Guards against a start after the acknowledgement of a good end: the start of
// the copy may still be under way when the first run ends.
TEST_F(copy_order, an_end_is_not_acknowledged_before_the_copy_is_ruled_out) {
    const listed_end end = end_of(straggler, run_end::done);
    answer_poll(straggler.first, {}, {end});
    EXPECT_LT(acknowledged(straggler.first), end.sequence);
    ASSERT_FALSE(output.stops.empty());
    EXPECT_EQ(output.stops.back(), std::pair(copy.first, 2));
    under_test.stop_answered(copy.first, copy.second.task, 2,
                             {.answered = true, .sent = true, .done = true},
                             clock());
    now_ms += 100;
    answer_poll(copy.first, {}, {});
    answer_poll(straggler.first, {}, {end});
    EXPECT_EQ(acknowledged(straggler.first), end.sequence);
}

// Guards against two runs to the end: the first good end stops the other run.
TEST_F(copy_order, the_end_of_the_copy_stops_the_first_run) {
    confirm(copy);
    answer_poll(copy.first, {}, {end_of(copy, run_end::done)});
    ASSERT_FALSE(output.stops.empty());
    EXPECT_EQ(output.stops.back(), std::pair(straggler.first, 1));
    EXPECT_EQ(under_test.jobs().find(job_id{"j"})->state, job_state::completed);
}

// Guards against a third run, and against a second one that is not recorded:
// a failed copy counts as an attempt, and the first run goes on.
TEST_F(copy_order, a_failed_copy_counts_and_starts_nothing) {
    confirm(copy);
    const std::vector<recorded_run>& leftover =
        under_test.jobs().find(job_id{"j"})->leftover_runs;
    ASSERT_EQ(leftover.size(), 1U);
    EXPECT_EQ(leftover[0].target, straggler.first);
    EXPECT_EQ(leftover[0].run, 1);
    answer_poll(copy.first, {}, {end_of(copy, run_end::failed)});
    now_ms += 2000;
    answer_poll(straggler.first,
                {{.task = straggler.second.task, .run = 1, .percent = 20}}, {});
    EXPECT_EQ(output.starts.size(), 4U);
    EXPECT_TRUE(output.stops.empty());
    answer_poll(straggler.first, {}, {end_of(straggler, run_end::done)});
    EXPECT_EQ(under_test.jobs().find(job_id{"j"})->state, job_state::completed);
}
