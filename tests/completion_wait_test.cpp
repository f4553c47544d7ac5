/** @file For which jobs a question for the state waits for their last runs. */
#include "dispatch/owner_base.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

const target_id TARGET{"t1"};
constexpr std::int64_t WALL_MS = 1'700'000'000'000;

/** Takes all orders; stores records at once. */
struct accepting_output : owner_output {
    void start(const target_address&, const start_order& order) override {
        starts.push_back(order);
    }
    void stop(const target_address&, const task_id&, std::int32_t,
              std::int64_t) override {}
    void throttle(const target_address&, const task_id&, std::int32_t, int,
                  std::int64_t) override {}
    void poll(const target_address&, const poll_order&) override {}
    void guard_restart(const target_address&, std::int64_t, millis) override {}
    void ask_advice(const host_id&, const step_ref&,
                    const std::vector<std::string>&, millis) override {}
    void store(const std::vector<store_record>&) override { ++store_calls; }
    void remove_jobs(const std::vector<job_id>&) override {}
    void end_stored(const job_id&) override {}
    void log(std::string_view, const job_id&, const std::string&) override {}

    std::vector<start_order> starts;
    int store_calls = 0;
};

/** An owner with a target for two tasks of 1000 milli-cores. */
class small_cell {
public:
    explicit small_cell(const scheduling_policy& policy)
        : owner_({.scheduling = policy}, output_) {
        owner_.set_config(
            {.version = 1, .queues = {{.name = {"q"}, .service = {"pool"}}}});
        owner_.target_listed({.id = TARGET,
                              .address = "10.1.1.1:80",
                              .service = {"pool"},
                              .capacity = {2000, 1000, 0},
                              .incarnation = 5},
                             clock());
        owner_.take_over(clock());
        answer_poll({});
    }

    /** Submits a job and confirms the starts of all tasks that have room. */
    void submit(const std::string& id, std::vector<step_spec> steps) {
        job_record record{.id = {id}, .queue = {"q"}};
        for (step_spec& step : steps)
            step.demand = {1000, 10, 0};
        record.spec.steps = std::move(steps);
        record.accepted_ms = clock().wall_ms;
        owner_.job_accepted(std::move(record), clock());
        tick();
        for (; confirmed_ < output_.starts.size(); ++confirmed_)
            owner_.start_answered(TARGET, output_.starts[confirmed_].task,
                                  output_.starts[confirmed_].run,
                                  {.answered = true,
                                   .sent = true,
                                   .done = true,
                                   .clock_ms = now_ms_},
                                  clock());
        tick();
    }

    /** The first task of a job ends well. */
    void end_first_task(const std::string& id) {
        answer_poll({{.sequence = 1, .task = {{{id}, 0, 0}, 0}, .run = 1}});
    }

    [[nodiscard]] bool waits(const std::string& id) const {
        return owner_.last_runs_placed({id});
    }

private:
    [[nodiscard]] owner_clock clock() const {
        return {.now = mono_time(millis(now_ms_)),
                .wall_ms = WALL_MS + now_ms_};
    }

    void tick() {
        now_ms_ += 50;
        owner_.ownership_confirmed(clock().now);
        owner_.tick(clock());
        if (output_.store_calls > stored_calls_) {
            stored_calls_ = output_.store_calls;
            owner_.records_stored(clock());
        }
    }

    void answer_poll(std::vector<listed_end> ended) {
        tick();
        owner_.poll_answered(TARGET,
                             {.order = {.answered = true,
                                        .sent = true,
                                        .done = true,
                                        .clock_ms = now_ms_},
                              .complete = false,
                              .incarnation = 5,
                              .ended = std::move(ended)},
                             clock().now, clock());
        tick();
    }

    accepting_output output_;
    owner owner_;
    std::int64_t now_ms_ = 1000;
    int stored_calls_ = 0;
    std::size_t confirmed_ = 0;
};

constexpr scheduling_policy AWAITED{.await_completion = true};

} // namespace

// Guards against callers who ask shortly before the end of their job, are told
// `running`, and learn of the end a quarter of a second late.
TEST(completion_wait, question_waits_while_the_last_tasks_run) {
    small_cell cell(AWAITED);
    cell.submit("short", {{.count = 2}});
    EXPECT_TRUE(cell.waits("short"));
    cell.end_first_task("short");
    EXPECT_TRUE(cell.waits("short"));
}

// Guards against questions that wait in vain: for a job with tasks or steps
// still to come, for one that has not begun, for tasks without an end.
TEST(completion_wait, question_does_not_wait_while_more_is_to_start) {
    small_cell cell(AWAITED);
    cell.submit("wide", {{.count = 3}});
    EXPECT_FALSE(cell.waits("wide"));
    cell.submit("behind", {{.count = 1}});
    EXPECT_FALSE(cell.waits("behind"));
    EXPECT_FALSE(cell.waits("unknown"));
    small_cell steps(AWAITED);
    steps.submit("two-steps", {{.count = 1}, {.count = 1, .after = {0}}});
    EXPECT_FALSE(steps.waits("two-steps"));
    small_cell lasting(AWAITED);
    lasting.submit("lasting", {{.count = 1, .long_lived = true}});
    EXPECT_FALSE(lasting.waits("lasting"));
}

// Guards against a change for deployments that do not ask for the wait.
TEST(completion_wait, no_question_waits_with_the_switch_off) {
    small_cell cell({});
    cell.submit("short", {{.count = 2}});
    EXPECT_FALSE(cell.waits("short"));
}
