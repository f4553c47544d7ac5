/** @file Cost of single decisions at several sizes of the cell. */
#include "fold/fold_base.hpp"
#include "fold/record_codec.hpp"
#include "fold/request_func.hpp"
#include "fold/snapshot_codec.hpp"
#include "placer/placer_base.hpp"
#include "route/runner_pool.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace {

using namespace rattan;
using nlohmann::json;

constexpr std::int64_t START_MS = 1'000'000;
constexpr int TASKS_PER_WORKER = 28; ///< 25,000 tasks on 880 workers.

/** A cell with one data centre; records are folded directly. */
struct bench_cell {
    cell_fold fold;
    std::int64_t offset = 0;
    std::int64_t sequence = 0;
    std::int64_t requests = 0;

    explicit bench_cell(int organisations) {
        json declared_organisations = json::object();
        json organisation_names = json::array();
        json keys = json::object();
        for (int i = 0; i < organisations; ++i) {
            const std::string name = "team-" + std::to_string(i);
            declared_organisations[name] = {
                {"limits", {{"cores", 1'000'000}, {"checks", 9}}}};
            keys["key-" + std::to_string(i)] = {
                {"team", name}, {"salt", "0"}, {"hash", "0"}};
            organisation_names.push_back(name);
        }
        append(config_change{
            .set = {{"data_centres", {{"c0", {{"entry_hosts", {"h0"}}}}}},
                    {"teams", declared_organisations},
                    {"keys", keys},
                    {"plans",
                     {{"watch",
                       {{"kind", "watch"},
                        {"teams", organisation_names},
                        {"restartable", true},
                        {"max_tasks", 1'000}}}}}},
            .drop = json::object(),
            .operator_name = "ops",
            .token = "t"});
    }

    void append(const log_entry& entry) {
        const std::string group =
            encode_group({"h0"}, 1, ++sequence, {encode_entry(entry)});
        fold.apply(offset++, START_MS, group);
    }

    /** Appends the acceptance of a watch. */
    job_id accept_watch(int organisation, int tasks) {
        const request_id request{std::to_string(START_MS) + "-" +
                                 std::to_string(++requests)};
        const organisation_name name{"team-" + std::to_string(organisation)};
        const job_id id = job_of_request(name, request);
        append(job_accept{id,
                          {.organisation = name,
                           .key = {"key-" + std::to_string(organisation)},
                           .plan = {"watch"},
                           .request = request,
                           .kind = work_kind::watch,
                           .tasks = tasks,
                           .shape = {.milli_cores = 1'000, .memory_mib = 1'000},
                           .restartable = true,
                           .data_centre = {"c0"}}});
        return id;
    }
};

/** A placer whose `workers` run tasks but keep some capacity free. */
struct bench_placer {
    bench_cell cell;
    placer_base placer;
    std::int64_t now_ms = START_MS;
    std::map<worker_id, std::vector<listed_task>> running_tasks;

    explicit bench_placer(int workers)
        : cell(95), placer({.host = {"h0"},
                            .data_centre = {"c0"},
                            .incarnation = 1,
                            .address = "a"},
                           packing_policies().at("best_fit")) {
        cell.fold.observe([this](const log_entry& entry, const entry_context&,
                                 fold_verdict verdict) {
            placer.on_entry(cell.fold.state(), entry, verdict, now());
        });
        placer.on_restore(cell.fold.state(), now());
        host_list hosts;
        hosts.version = 1;
        for (int i = 0; i < workers; ++i)
            hosts.workers.push_back(
                {{.id = {"w" + std::to_string(i)},
                  .data_centre = {"c0"},
                  .rack = "r" + std::to_string(i / 8),
                  .address = "a",
                  .owned = {.milli_cores = 32'000, .memory_mib = 64'000}},
                 host_state::live});
        placer.on_hosts(hosts);
        for (int i = 0; i < 20; ++i)
            tick();
        for (int i = 0; i < workers; ++i)
            cell.accept_watch(i % 95, TASKS_PER_WORKER);
        for (int i = 0; i < workers / 10 + 100; ++i)
            tick();
    }

    [[nodiscard]] mono_time now() const { return mono_time(millis(now_ms)); }

    /** Runs one tick, acknowledges all orders and appends all records. */
    size_t tick() {
        now_ms += 100;
        const placer_output output =
            placer.tick(cell.fold.state(), {.now = now()});
        for (const outgoing_order& out : output.orders)
            acknowledge(out);
        for (const log_entry& record : output.records)
            cell.append(record);
        return output.orders.size();
    }

    void acknowledge(const outgoing_order& out) {
        auto& tasks = running_tasks[out.worker];
        for (const task_order& start : out.order.start)
            tasks.push_back({start.task, start.organisation, start.shape,
                             worker_task_state::running});
        worker_answer answer{.fence = out.order.owner,
                             .instance = 1,
                             .clock_ms = now_ms,
                             .tasks = tasks};
        placer.on_answer(out.worker, out.order.owner, out.order.sequence,
                         answer, now());
    }
};

/** Placement of one task: from its job's record to the order. */
void placement_decision(benchmark::State& state) {
    bench_placer bench(static_cast<int>(state.range(0)));
    int organisation = 0;
    std::vector<std::int64_t> latencies_us;
    for (auto _ : state) {
        const auto begin = std::chrono::steady_clock::now();
        bench.cell.accept_watch(organisation++ % 95, 1);
        const placer_output output =
            bench.placer.tick(bench.cell.fold.state(), {.now = bench.now()});
        latencies_us.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now() - begin)
                .count());
        state.PauseTiming();
        for (const outgoing_order& out : output.orders)
            bench.acknowledge(out);
        for (const log_entry& record : output.records)
            bench.cell.append(record);
        state.ResumeTiming();
    }
    std::sort(latencies_us.begin(), latencies_us.end());
    state.counters["p99_us"] = static_cast<double>(
        latencies_us[static_cast<size_t>(0.99 * (latencies_us.size() - 1))]);
    state.counters["jobs"] =
        static_cast<double>(bench.cell.fold.state().jobs.size());
}
BENCHMARK(placement_decision)
    ->Arg(50)
    ->Arg(98)
    ->Arg(880)
    ->Iterations(100)
    ->Unit(benchmark::kMicrosecond);

/** A tick without any decision to make. */
void idle_tick(benchmark::State& state) {
    bench_placer bench(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(
            bench.placer.tick(bench.cell.fold.state(), {.now = bench.now()}));
}
BENCHMARK(idle_tick)->Arg(50)->Arg(98)->Arg(880)->Iterations(200)->Unit(
    benchmark::kMicrosecond);

/** Folds one accepted job when `range(0)` jobs are live. */
void fold_entry(benchmark::State& state) {
    bench_cell cell(95);
    for (int i = 0; i < state.range(0); ++i)
        cell.accept_watch(i % 95, 1);
    int organisation = 0;
    for (auto _ : state)
        cell.accept_watch(organisation++ % 95, 1);
}
BENCHMARK(fold_entry)
    ->Arg(100)
    ->Arg(5'000)
    ->Iterations(2'000)
    ->Unit(benchmark::kMicrosecond);

/** Encodes and decodes a snapshot of `range(0)` live jobs. */
void snapshot(benchmark::State& state) {
    bench_cell cell(95);
    for (int i = 0; i < state.range(0); ++i)
        cell.accept_watch(i % 95, 1);
    size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = encode_snapshot(cell.fold.state());
        bytes = text.size();
        benchmark::DoNotOptimize(decode_snapshot(text));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(snapshot)->Arg(500)->Arg(5'000)->Unit(benchmark::kMillisecond);

/** Chooses one of `range(0)` runners. */
void choose_runner(benchmark::State& state) {
    runner_pool pool(choice_policies().at("least_wait"), 1);
    std::vector<listed_runner> runners;
    for (int i = 0; i < state.range(0); ++i)
        runners.push_back({{.id = {"r" + std::to_string(i)},
                            .data_centre = {"c0"},
                            .address = "a",
                            .slots = 8},
                           host_state::live});
    pool.update(runners, {"c0"}, 0, 2);
    for (auto _ : state) {
        runner_view* chosen = pool.acquire(mono_time(millis(1)));
        pool.release(chosen->info.id, millis(1));
    }
}
BENCHMARK(choose_runner)->Arg(17)->Arg(98)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
