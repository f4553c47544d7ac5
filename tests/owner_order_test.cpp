/** @file Orders of an owner to one target, event by event. */
#include "dispatch/owner_base.hpp"
#include "dispatch/record_codec.hpp"

#include <gtest/gtest.h>

#include <limits>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

const target_id TARGET{"t1"};
constexpr std::int64_t WALL_MS = 1'700'000'000'000;
constexpr std::int64_t INCARNATION = 5;

/** Records the orders of an owner. */
struct order_log : owner_output {
    void start(const target_address&, const start_order& order) override {
        starts.push_back(order);
    }
    void stop(const target_address&, const task_id& task, std::int32_t,
              std::int64_t) override {
        stops.push_back(task);
    }
    void throttle(const target_address&, const task_id& task, std::int32_t,
                  int percent, std::int64_t fencing_token) override {
        speeds.emplace_back(task, percent);
        speed_tokens.push_back(fencing_token);
    }
    void poll(const target_address&, const poll_order& order) override {
        polls.push_back(order);
    }
    void guard_restart(const target_address&, std::int64_t, millis) override {}
    void ask_advice(const host_id&, const step_ref&,
                    const std::vector<std::string>&, millis) override {}
    void store(const std::vector<store_record>& records) override {
        stored = records;
        ++store_calls;
    }
    void remove_jobs(const std::vector<job_id>&) override {}
    void end_stored(const job_id&) override {}
    void log(std::string_view, const job_id&, const std::string&) override {}

    std::vector<start_order> starts;
    std::vector<task_id> stops;
    std::vector<std::pair<task_id, int>> speeds;
    std::vector<std::int64_t> speed_tokens;
    std::vector<poll_order> polls;
    std::vector<store_record> stored;
    int store_calls = 0;
};

/** An owner with one queue and one target. */
class owner_order : public ::testing::Test {
protected:
    void SetUp() override {
        under_test.set_config(
            {.version = 1,
             .queues = {{.name = {"q"}, .service = {"pool"}, .stretch = 2}}});
        under_test.target_listed(entry(), clock());
        under_test.take_over(clock());
        under_test.ownership_confirmed(clock().now);
        tick();
        answer_poll({});
    }

    [[nodiscard]] static target_entry entry() {
        return {.id = TARGET,
                .address = "10.1.1.1:80",
                .data_centre = {"dc1"},
                .service = {"pool"},
                .capacity = {8000, 1000, 0},
                .incarnation = INCARNATION};
    }

    [[nodiscard]] owner_clock clock() const {
        return {.now = mono_time(millis(now_ms)), .wall_ms = WALL_MS + now_ms};
    }

    /** Lets some time pass, confirms the records and does what is due. */
    void tick() {
        now_ms += 50;
        under_test.ownership_confirmed(clock().now);
        under_test.tick(clock());
        if (output.store_calls > stored_calls) {
            stored_calls = output.store_calls;
            under_test.records_stored(clock());
        }
    }

    void answer_poll(std::vector<listed_run> running) {
        under_test.poll_answered(TARGET,
                                 {.order = {.answered = true,
                                            .sent = true,
                                            .done = true,
                                            .clock_ms = now_ms},
                                  .incarnation = INCARNATION,
                                  .running = std::move(running)},
                                 clock().now, clock());
        tick();
    }

    void accept(const std::string& id, step_spec step,
                const organisation_id& organisation = {}) {
        submit(id, std::move(step), organisation);
        tick();
    }

    /** Passes a job of one task to the owner, without a tick. */
    void submit(const std::string& id, step_spec step = {},
                const organisation_id& organisation = {}) {
        step.count = 1;
        step.demand = {1000, 10, 0};
        job_record record{
            .id = {id}, .queue = {"q"}, .organisation = organisation};
        record.spec.steps = {std::move(step)};
        record.accepted_ms = clock().wall_ms;
        under_test.job_accepted(std::move(record), clock());
    }

    /** Runs a tick that takes some time, and confirms its records. */
    void tick_for(millis duration) {
        under_test.ownership_confirmed(clock().now);
        under_test.tick(clock());
        now_ms += duration.count();
        under_test.tick_took(duration, clock().now);
        if (output.store_calls > stored_calls) {
            stored_calls = output.store_calls;
            under_test.records_stored(clock());
        }
    }

    void confirm_start(const start_order& order) {
        under_test.start_answered(
            TARGET, order.task, order.run,
            {.answered = true, .sent = true, .done = true, .clock_ms = now_ms},
            clock());
        tick();
    }

    struct serving_and_best_effort {
        start_order serving;
        start_order best_effort;
    };

    /** Starts a serving task and a best-effort task on the target. */
    serving_and_best_effort start_serving_and_best_effort() {
        accept("serving",
               {.long_lived = true, .tail_latency_target = millis(100)});
        accept("filler", {.long_lived = true, .best_effort = true});
        EXPECT_EQ(output.starts.size(), 2U);
        confirm_start(output.starts.at(0));
        confirm_start(output.starts.at(1));
        return {output.starts.at(0), output.starts.at(1)};
    }

    void poll_with_tail_latency(const start_order& serving,
                                const start_order& best_effort,
                                std::int64_t tail_ms) {
        answer_poll({{.task = serving.task, .run = 1, .measurement = tail_ms},
                     {.task = best_effort.task, .run = 1}});
    }

    void answer_speed(const start_order& order, int percent, bool done) {
        under_test.throttle_answered(
            TARGET, order.task, order.run, percent,
            {.answered = done, .sent = true, .done = done});
    }

    /** As a later owner reads them for a job of one task. */
    [[nodiscard]] std::vector<recorded_run>
    leftover_runs_of(const std::string& id) const {
        job_record record{.id = {id}, .queue = {"q"}};
        record.spec.steps = {{.count = 1}};
        job_entry job{.record = std::move(record)};
        for (const store_record& stored : output.stored)
            if (stored.key == progress_key({id}))
                apply_progress(job, stored.value);
        return job.leftover_runs;
    }

    std::int64_t now_ms = 1000;
    int stored_calls = 0;
    order_log output;
    owner under_test{{.epoch = 3 * TOKENS_PER_CLAIM}, output};
};

} // namespace

// A start without an answer raises the token of its target, so that the target
// refuses earlier orders. Guards against an owner that takes such a refusal for
// that of a later owner and gives up.
TEST_F(owner_order, refusal_of_an_earlier_token_keeps_the_ownership) {
    accept("first", {.estimate = millis(1000)});
    ASSERT_EQ(output.starts.size(), 1U);
    const start_order start = output.starts[0];
    const order_answer no_answer{.sent = true,
                                 .fencing_token = start.fencing_token};
    under_test.start_answered(TARGET, start.task, start.run, no_answer,
                              clock());
    answer_poll({});
    const std::int64_t raised = output.polls.back().fencing_token;
    EXPECT_GT(raised, start.fencing_token);
    order_answer refused{.answered = true,
                         .sent = true,
                         .refusal = order_refusal::stale_token,
                         .clock_ms = now_ms,
                         .fencing_token = start.fencing_token};
    under_test.poll_answered(TARGET, {.order = refused}, clock().now, clock());
    under_test.stop_answered(TARGET, start.task, start.run, refused, clock());
    EXPECT_FALSE(under_test.superseded());
    refused.fencing_token = raised;
    under_test.poll_answered(TARGET, {.order = refused}, clock().now, clock());
    EXPECT_TRUE(under_test.superseded());
}

// A start finds no process at the address of its target, while a poll that
// acknowledges ends may be on its way. Guards against a next process that obeys
// the late poll and forgets ends which nobody has read.
TEST_F(owner_order, start_that_is_not_sent_makes_earlier_polls_void) {
    accept("first", {.estimate = millis(1000)});
    ASSERT_EQ(output.starts.size(), 1U);
    const start_order start = output.starts[0];
    under_test.start_answered(TARGET, start.task, start.run, {}, clock());
    under_test.poll_answered(
        TARGET, {.order = {.sent = true, .fencing_token = start.fencing_token}},
        clock().now, clock());
    const std::size_t polls = output.polls.size();
    for (int i = 0; i < 20 && output.polls.size() == polls; ++i)
        tick();
    ASSERT_GT(output.polls.size(), polls);
    EXPECT_GT(output.polls.back().fencing_token, start.fencing_token);
}

TEST_F(owner_order, malformed_entry_of_a_target_stops_new_work_only) {
    accept("first", {.estimate = millis(1000)});
    ASSERT_EQ(output.starts.size(), 1U);
    confirm_start(output.starts[0]);
    under_test.target_unreadable(TARGET);
    accept("second", {.estimate = millis(1000)});
    EXPECT_EQ(output.starts.size(), 1U);
    EXPECT_TRUE(output.stops.empty());
    const auto& runs = under_test.targets().all().at(TARGET).runs;
    EXPECT_TRUE(runs.contains(task_id{{{"first"}, 0, 0}, 0}));
    const std::size_t polls = output.polls.size();
    answer_poll({{.task = output.starts[0].task, .run = 1}});
    EXPECT_GT(output.polls.size(), polls) << "its lease is still renewed";
    under_test.target_listed(entry(), clock());
    for (int i = 0; i < 20 && output.starts.size() < 2; ++i)
        answer_poll({{.task = output.starts[0].task, .run = 1}});
    EXPECT_EQ(output.starts.size(), 2U) << "a valid entry allows new work";
}

// A run whose row could not be read was taken for gone by a new owner.
TEST_F(owner_order, an_incomplete_list_ends_no_run) {
    accept("first", {.estimate = millis(1000)});
    ASSERT_EQ(output.starts.size(), 1U);
    const start_order order = output.starts[0];
    confirm_start(order);
    order_log next_output;
    owner next({.epoch = 4 * TOKENS_PER_CLAIM}, next_output);
    next.target_listed(entry(), clock());
    for (const auto& [id, job] : under_test.jobs().all())
        next.restore_job(job, clock());
    next.take_over(clock());
    poll_answer answer{.order = {.answered = true,
                                 .sent = true,
                                 .done = true,
                                 .clock_ms = now_ms},
                       .complete = false,
                       .incarnation = INCARNATION};
    next.poll_answered(TARGET, answer, clock().now, clock());
    EXPECT_TRUE(next.targets().all().at(TARGET).runs.contains(order.task));
    answer.complete = true;
    next.poll_answered(TARGET, answer, clock().now, clock());
    EXPECT_FALSE(next.targets().all().at(TARGET).runs.contains(order.task));
}

TEST_F(owner_order, malformed_entry_of_an_unknown_target_is_ignored) {
    under_test.target_unreadable({"t9"});
    EXPECT_EQ(under_test.targets().all().size(), 1U);
}

// Any organisation could cancel the jobs of every other one.
TEST_F(owner_order, only_the_organisation_of_a_job_can_cancel_it) {
    accept("first", {.estimate = millis(1000)}, {"a"});
    const job_id job{"first"};
    under_test.job_cancelled(job, {"b"}, clock());
    under_test.job_cancelled(job, {""}, clock());
    EXPECT_NE(under_test.state_of(job, {"a"}), job_state::cancelled);
    under_test.job_cancelled(job, {"a"}, clock());
    EXPECT_EQ(under_test.state_of(job, {"a"}), job_state::cancelled);
    EXPECT_EQ(under_test.state_of(job, {"b"}), job_state::unknown);
}

TEST_F(owner_order, an_early_cancellation_counts_only_for_its_organisation) {
    under_test.job_cancelled({"first"}, {"b"}, clock());
    under_test.job_cancelled({"second"}, {"b"}, clock());
    under_test.job_cancelled({"second"}, {"a"}, clock());
    accept("first", {.estimate = millis(1000)}, {"a"});
    accept("second", {.estimate = millis(1000)}, {"a"});
    EXPECT_NE(under_test.state_of({"first"}, {"a"}), job_state::cancelled);
    EXPECT_EQ(under_test.state_of({"second"}, {"a"}), job_state::cancelled);
}

TEST_F(owner_order, anyone_can_cancel_an_anonymous_job) {
    accept("first", {.estimate = millis(1000)});
    under_test.job_cancelled({"first"}, {"b"}, clock());
    EXPECT_EQ(under_test.state_of({"first"}, {}), job_state::cancelled);
}

TEST(cancel_key, names_the_job_and_is_of_limited_length) {
    const job_id job{"00000000000000aa"};
    const std::string key = cancel_key(job, {std::string(5000, 'x')});
    EXPECT_LT(key.size(), 100U);
    EXPECT_TRUE(key.starts_with(cancel_key_prefix(job)));
    EXPECT_EQ(cancelled_job(key), job);
    EXPECT_NE(key, cancel_key(job, {"b"}));
    for (const char* other : {"", "c", "c/", "c//5", "j/00000000000000aa"})
        EXPECT_FALSE(cancelled_job(other)) << other;
}

// A speed order that failed was not repeated.
TEST_F(owner_order, speed_orders_are_repeated_until_they_are_answered) {
    const auto [serving, filler] = start_serving_and_best_effort();
    poll_with_tail_latency(serving, filler, 200);
    ASSERT_EQ(output.speeds.size(), 1U);
    EXPECT_EQ(output.speeds[0], std::pair(filler.task, 0));
    answer_speed(filler, 0, false);
    poll_with_tail_latency(serving, filler, 200);
    ASSERT_EQ(output.speeds.size(), 2U);
    EXPECT_EQ(output.speeds[1], std::pair(filler.task, 0));
    // While an order is pending, no other is sent.
    poll_with_tail_latency(serving, filler, 200);
    EXPECT_EQ(output.speeds.size(), 2U);
    answer_speed(filler, 0, true);
    poll_with_tail_latency(serving, filler, 200);
    EXPECT_EQ(output.speeds.size(), 2U);
}

// Guards against a speed order that is carried out seconds later, after a newer
// one has been confirmed: the target kept the old speed.
TEST_F(owner_order, speed_order_without_an_answer_is_void_for_newer_ones) {
    const auto [serving, filler] = start_serving_and_best_effort();
    poll_with_tail_latency(serving, filler, 90);
    answer_speed(filler, 50, false);
    poll_with_tail_latency(serving, filler, 10);
    ASSERT_EQ(output.speeds.size(), 2U);
    EXPECT_GT(output.speed_tokens[1], output.speed_tokens[0]);
    // The next poll shows the target the same token.
    EXPECT_EQ(output.polls.back().fencing_token, output.speed_tokens[1]);
    // A refusal is an answer: the order will not be carried out.
    under_test.throttle_answered(
        TARGET, filler.task, filler.run, 70,
        {.answered = true, .sent = true, .refusal = order_refusal::other});
    poll_with_tail_latency(serving, filler, 10);
    ASSERT_EQ(output.speeds.size(), 3U);
    EXPECT_EQ(output.speed_tokens[2], output.speed_tokens[1]);
}

TEST_F(owner_order, the_newest_speed_follows_the_answer_to_an_older_one) {
    const auto [serving, filler] = start_serving_and_best_effort();
    poll_with_tail_latency(serving, filler, 90);
    ASSERT_EQ(output.speeds.size(), 1U);
    EXPECT_EQ(output.speeds[0].second, 50);
    poll_with_tail_latency(serving, filler, 200);
    ASSERT_EQ(output.speeds.size(), 1U);
    answer_speed(filler, 50, true);
    ASSERT_EQ(output.speeds.size(), 2U);
    EXPECT_EQ(output.speeds[1].second, 0);
}

// A run that an earlier owner had throttled to 0 kept that speed for ever: the
// next owner assumed full speed.
TEST_F(owner_order, a_new_owner_sends_the_speed_of_each_best_effort_run) {
    const auto [serving, filler] = start_serving_and_best_effort();
    poll_with_tail_latency(serving, filler, 200);
    answer_speed(filler, 0, true);
    order_log next_output;
    owner next({.epoch = 4 * TOKENS_PER_CLAIM}, next_output);
    next.target_listed(entry(), clock());
    for (const auto& [id, job] : under_test.jobs().all())
        next.restore_job(job, clock());
    next.take_over(clock());
    next.ownership_confirmed(clock().now);
    next.tick(clock());
    for (int i = 0; i < 3; ++i) {
        next.poll_answered(
            TARGET,
            {.order = {.answered = true,
                       .sent = true,
                       .done = true,
                       .clock_ms = now_ms},
             .incarnation = INCARNATION,
             .running = {{.task = serving.task, .run = 1, .measurement = 10},
                         {.task = filler.task, .run = 1}}},
            clock().now, clock());
        ASSERT_EQ(next_output.speeds.size(), 1U);
        EXPECT_EQ(next_output.speeds[0], std::pair(filler.task, 100));
        if (i == 0)
            next.throttle_answered(
                TARGET, filler.task, 1, 100,
                {.answered = true, .sent = true, .done = true});
    }
}

// A tick without a placement round takes little time. Guards against spacing
// the next round by such a tick: with rounds that take longer than the shortest
// period, an owner did nothing else.
TEST_F(owner_order, placement_rounds_are_spaced_by_their_own_duration) {
    constexpr millis ROUND_TIME{20};
    now_ms += 1000;
    submit("first");
    tick_for(ROUND_TIME);
    ASSERT_EQ(output.starts.size(), 1U);
    const std::int64_t round_end_ms = now_ms;
    tick_for(millis(0));
    submit("second");
    now_ms = round_end_ms + ROUND_TIME.count();
    tick_for(millis(0));
    EXPECT_EQ(output.starts.size(), 1U) << "rounds take over half of the time";
    now_ms = round_end_ms + 2 * ROUND_TIME.count();
    tick_for(millis(0));
    EXPECT_EQ(output.starts.size(), 2U);
}

// A target lists a run that no record names, as after a late start. Guards
// against a later owner that learns of it only from the target, which may not
// answer any more, and starts the task beside it.
TEST_F(owner_order, run_that_no_record_names_is_recorded_until_it_ends) {
    under_test.set_evacuated({{"dc1"}}); // Nothing is placed.
    accept("first", {.estimate = millis(1000)});
    const task_id task{{{"first"}, 0, 0}, 0};
    answer_poll({{.task = task, .run = 5}});
    const auto runs = leftover_runs_of("first");
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0], (recorded_run{.task = task,
                                     .run = 5,
                                     .target = TARGET,
                                     .incarnation = INCARNATION}));
    ASSERT_EQ(output.stops.size(), 1U);
    under_test.stop_answered(
        TARGET, task, 5,
        {.answered = true, .sent = true, .done = true, .clock_ms = now_ms},
        clock());
    tick();
    answer_poll({});
    EXPECT_TRUE(leftover_runs_of("first").empty());
}

// A target lists runs with numbers that no owner gives out. Guards against a
// record of the job that no later owner can read.
TEST_F(owner_order, listed_run_with_odd_numbers_is_not_recorded) {
    constexpr std::int32_t MAX_INT = std::numeric_limits<std::int32_t>::max();
    under_test.set_evacuated({{"dc1"}});
    accept("first", {.estimate = millis(1000)});
    answer_poll({{.task = {{{"first"}, 0, 0}, 0}, .run = MAX_INT},
                 {.task = {{{"first"}, 0, 0}, 1}, .run = 1},
                 {.task = {{{"first"}, MAX_INT, 0}, 0}, .run = 1}});
    EXPECT_EQ(output.stops.size(), 3U);
    EXPECT_TRUE(leftover_runs_of("first").empty());
}

// The next process of a target answers two polls that overlap; the one that was
// sent before the restart names an end of the earlier process. Guards against
// ends that this answer lacks and that are then taken for processed.
TEST_F(owner_order, answer_to_a_poll_of_an_earlier_process_hides_no_end) {
    const auto answer = [&](const poll_answer& lists, mono_time sent_at) {
        poll_answer out = lists;
        out.order = {
            .answered = true, .sent = true, .done = true, .clock_ms = now_ms};
        out.incarnation = INCARNATION + 1;
        under_test.poll_answered(TARGET, out, sent_at, clock());
        tick();
    };
    const mono_time before_restart = clock().now;
    tick();
    answer({.concurrent = true}, clock().now);
    target_entry restarted = entry();
    restarted.incarnation = INCARNATION + 1;
    under_test.target_listed(restarted, clock());
    tick();
    answer({}, clock().now);
    accept("first", {});
    accept("second", {});
    ASSERT_EQ(output.starts.size(), 2U);
    confirm_start(output.starts[0]);
    confirm_start(output.starts[1]);
    const listed_end first{
        .sequence = 1, .task = output.starts[0].task, .run = 1};
    const listed_end second{
        .sequence = 2, .task = output.starts[1].task, .run = 1};
    answer({.last_seen = 1, .ended = {second}}, before_restart);
    tick();
    answer({.ended = {first, second}}, clock().now);
    tick();
    tick();
    EXPECT_EQ(under_test.state_of({"first"}, {}), job_state::completed);
    EXPECT_EQ(under_test.state_of({"second"}, {}), job_state::completed);
    EXPECT_EQ(output.starts.size(), 2U);
}

// A start without an answer is stopped and its run released, yet a process that
// takes the place of the known one may still carry it out. Guards against
// acknowledging an end of that process unread, by the position of the earlier.
TEST_F(owner_order, no_end_is_acknowledged_while_a_start_may_arrive) {
    accept("first", {});
    accept("second", {});
    confirm_start(output.starts.at(0));
    confirm_start(output.starts.at(1));
    const auto answer_end = [&](std::int64_t sequence) {
        const task_id& task =
            output.starts.at(static_cast<std::size_t>(sequence) - 1).task;
        under_test.poll_answered(
            TARGET,
            {.order = {.answered = true,
                       .sent = true,
                       .done = true,
                       .clock_ms = now_ms},
             .complete = false,
             .incarnation = INCARNATION,
             .ended = {{.sequence = sequence, .task = task, .run = 1}}},
            clock().now, clock());
    };
    answer_end(1);
    tick();
    tick();
    EXPECT_EQ(output.polls.back().last_seen, 1);
    accept("third", {});
    const start_order late = output.starts.at(2);
    under_test.set_evacuated({{"dc1"}}); // The task is not placed again.
    under_test.start_answered(TARGET, late.task, late.run, {.sent = true},
                              clock());
    tick();
    under_test.stop_answered(
        TARGET, late.task, late.run,
        {.answered = true, .sent = true, .done = true, .clock_ms = now_ms},
        clock());
    tick();
    answer_poll({{.task = output.starts.at(1).task, .run = 1}});
    ASSERT_EQ(under_test.targets().all().at(TARGET).runs.size(), 1U);
    // The store is slow to take the next end, so polls renew the lease only.
    answer_end(2);
    under_test.ownership_confirmed(clock().now);
    under_test.tick(clock());
    const std::size_t polls = output.polls.size();
    now_ms += 900;
    under_test.ownership_confirmed(clock().now);
    under_test.tick(clock());
    ASSERT_EQ(output.polls.size(), polls + 1);
    EXPECT_EQ(output.polls.back().last_seen, 0);
}
