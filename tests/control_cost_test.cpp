/** @file Bounds on the orders, bytes and records that a placer causes. */
#include "fold/fold_base.hpp"
#include "fold/record_codec.hpp"
#include "fold/request_func.hpp"
#include "placer/order_codec.hpp"
#include "placer/placer_base.hpp"
#include "worker_model.hpp"

#include <gtest/gtest.h>

namespace rattan {
namespace {

using nlohmann::json;

constexpr int WORKERS = 98;          ///< 880 workers in 9 data centres.
constexpr int TASKS_PER_WORKER = 28; ///< 25,000 tasks on 880 workers.
/** Target for the control traffic of one worker. */
constexpr std::int64_t WORKER_BYTES_PER_SECOND = 6'000;
constexpr std::int64_t TICK_MS = 100;
const organisation_name ORGANISATION{"team"};

/** A placer that owns one data centre of the target fleet's size. */
class owner_simulation {
public:
    owner_simulation()
        : placer_({.host = {"h0"},
                   .data_centre = {"c0"},
                   .incarnation = 1,
                   .address = "a"},
                  packing_policies().at("best_fit")) {
        fold_.observe([this](const log_entry& entry, const entry_context&,
                             fold_verdict verdict) {
            placer_.on_entry(fold_.state(), entry, verdict, now());
        });
        append(config_change{
            .set = {{"data_centres", {{"c0", {{"entry_hosts", {"h0"}}}}}},
                    {"teams",
                     {{"team",
                       {{"limits", {{"cores", 100'000}, {"checks", 1}}}}}}},
                    {"keys",
                     {{"key",
                       {{"team", "team"}, {"salt", "0"}, {"hash", "0"}}}}},
                    {"plans",
                     {{"plan", {{"teams", {"team"}}, {"max_tasks", 1'000}}}}}},
            .drop = json::object(),
            .operator_name = "ops",
            .token = "t"});
        host_list hosts;
        hosts.version = 1;
        for (int i = 0; i < WORKERS; ++i) {
            const worker_info info{
                .id = {"worker-" + std::to_string(i)},
                .data_centre = {"c0"},
                .rack = "rack-" + std::to_string(i / 8),
                .address = "a",
                .owned = {.milli_cores = 64'000, .memory_mib = 64'000}};
            hosts.workers.push_back({info, host_state::live});
            workers_.emplace(
                info.id, standin::worker_model(
                             {.owned = info.owned, .instance = 1 + i}, audit_));
        }
        placer_.on_hosts(hosts);
    }

    void submit(work_kind kind, int tasks, std::int64_t run_ms,
                bool restartable) {
        const request_id request{std::to_string(time_ms_) + "-" +
                                 std::to_string(++requests_)};
        append(job_accept{job_of_request(ORGANISATION, request),
                          {.organisation = ORGANISATION,
                           .key = {"key"},
                           .plan = {"plan"},
                           .request = request,
                           .kind = kind,
                           .tasks = tasks,
                           .shape = {.milli_cores = 1'000, .memory_mib = 100},
                           .run_ms = run_ms,
                           .restartable = restartable,
                           .data_centre = {"c0"}}});
    }

    void run(std::int64_t period_ms) {
        const std::int64_t end = time_ms_ + period_ms;
        while (time_ms_ < end) {
            time_ms_ += TICK_MS;
            for (auto& [id, worker] : workers_)
                worker.advance_to(time_ms_);
            const placer_output output =
                placer_.tick(fold_.state(), {.now = now()});
            for (const outgoing_order& out : output.orders) {
                const worker_answer answer =
                    workers_.at(out.worker).handle_order(out.order, time_ms_);
                ++orders;
                bytes += static_cast<std::int64_t>(
                    json(out.order).dump().size() + json(answer).dump().size());
                placer_.on_answer(out.worker, out.order.owner,
                                  out.order.sequence, answer, now());
            }
            for (const log_entry& record : output.records) {
                ++records;
                append(record);
            }
        }
    }

    [[nodiscard]] size_t running() const { return audit_.running.size(); }
    [[nodiscard]] size_t live() const { return fold_.state().jobs.size(); }

    std::int64_t orders = 0;
    std::int64_t bytes = 0;
    std::int64_t records = 0;

private:
    [[nodiscard]] mono_time now() const { return mono_time(millis(time_ms_)); }

    void append(const log_entry& entry) {
        const std::string group =
            encode_group({"h0"}, 1, ++sequence_, {encode_entry(entry)});
        fold_.apply(offset_++, time_ms_, group);
    }

    std::int64_t time_ms_ = 1'000'000;
    std::int64_t offset_ = 0;
    std::int64_t sequence_ = 0;
    int requests_ = 0;
    cell_fold fold_;
    placer_base placer_;
    standin::auditor audit_;
    std::map<worker_id, standin::worker_model> workers_;
};

} // namespace

TEST(control_cost_test, renewals_stay_within_byte_budget) {
    owner_simulation world;
    world.run(5'000);
    for (int i = 0; i < WORKERS; ++i)
        world.submit(work_kind::watch, TASKS_PER_WORKER, 0, true);
    world.run(10'000);
    ASSERT_EQ(world.running(), static_cast<size_t>(WORKERS) * TASKS_PER_WORKER);
    world.orders = world.bytes = world.records = 0;
    world.run(60'000);
    EXPECT_LE(world.bytes / 60, WORKERS * WORKER_BYTES_PER_SECOND);
    // One renewal for each third of a lease of 15 s.
    EXPECT_LE(world.orders, WORKERS * 60 / 5 + WORKERS);
    EXPECT_EQ(world.records, 0);
}

TEST(control_cost_test, records_grow_with_jobs_not_with_starts) {
    owner_simulation world;
    world.run(5'000);
    world.records = 0;
    constexpr int GANGS = 60;
    for (int i = 0; i < GANGS; ++i)
        world.submit(work_kind::batch, 20, 500, false);
    world.run(20'000);
    EXPECT_EQ(world.live(), 0);
    // A start and an end record for each job, and the quota records: 1,200
    // tasks at 620 starts a second can't each cost an append.
    EXPECT_LE(world.records, 3 * GANGS);
}

TEST(control_cost_test, peak_starts_stay_within_byte_budget) {
    owner_simulation world;
    world.run(5'000);
    world.bytes = 0;
    constexpr int SECONDS = 20;
    // 620 starts a second in the fleet are 69 in each of 9 data centres.
    for (int i = 0; i < SECONDS; ++i) {
        for (int gang = 0; gang < 17; ++gang)
            world.submit(work_kind::batch, 4, 1'000, true);
        world.run(1'000);
    }
    EXPECT_LE(world.bytes / SECONDS, WORKERS * WORKER_BYTES_PER_SECOND);
}

} // namespace rattan
