/**
 * @file The order by cost of delay under recorded loads, compared with the
 * order without the switch and with earliest due time first.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

/** A job of a recorded load. */
struct load_job {
    millis when{0};
    std::string queue;
    std::string organisation;
    job_spec spec;
};

/** A cell with a load that does not depend on what the cell does. */
struct recorded_load {
    simulation_options options;
    std::vector<request_kind> kinds;
    std::vector<std::pair<std::string, double>> organisations;
    std::vector<load_job> jobs;
};

/** Outcome of a group of jobs. */
struct group_outcome {
    int jobs = 0;
    int in_time = 0;
    int of_value = 0; ///< Ended within three times the objective.

    [[nodiscard]] double in_time_share() const { return share(in_time); }
    [[nodiscard]] double of_value_share() const { return share(of_value); }

private:
    [[nodiscard]] double share(int count) const {
        return jobs == 0 ? 0 : static_cast<double>(count) / jobs;
    }
};

enum class order_kind { unchanged, earliest_due, delay_cost };

work_key earliest_due_key(const work_input& input) {
    return {.until_objective_ms = input.until_objective.count()};
}

/** A queue whose calls take as long as on the quick queues of a large cell. */
request_kind quick_requests() {
    return {.queue = "quick",
            .tasks_per_step = 4,
            .milli_cores = 1200,
            .advice = {27, 0.4, millis(2500)}};
}

request_kind large_requests() {
    return {.queue = "large",
            .steps = 2,
            .tasks_per_step = 8,
            .task_ms = 4000,
            .milli_cores = 2500,
            .priority = 2,
            .stretch = 2.2,
            .objective = millis(1200),
            .advice = {400, 5.7, millis(2500)},
            .eligible_share = 0.35};
}

/** Loads of each kind, since a single one has few large jobs. */
constexpr std::uint32_t LOADS = 5;
constexpr int TARGETS = 24;
constexpr std::int64_t TARGET_CORES = 16'000;
/** The mean size factor of the targets is 1.125. */
constexpr double CAPACITY = TARGETS * TARGET_CORES * 1.125;

simulation_options cell_options(std::uint32_t seed) {
    simulation_options options{.seed = seed,
                               .targets = TARGETS,
                               .target_cores = TARGET_CORES,
                               .hosts = 18};
    options.settings.rate_window = millis(5000);
    options.settings.rate_overage = 0.1;
    options.settings.rate_slack_jobs = 20;
    return options;
}

/** Jobs per second that use all of the capacity if estimates are exact. */
double full_rate(const request_kind& kind) {
    return CAPACITY * 1000 /
           (kind.steps * kind.tasks_per_step * kind.task_ms * kind.milli_cores);
}

void add_jobs(recorded_load& load, std::mt19937& random,
              const request_kind& kind, const std::string& organisation,
              millis from, millis to, double per_second) {
    std::exponential_distribution<double> interval(per_second / 1000);
    const auto draw = [&](double mean, double spread, double max) {
        std::lognormal_distribution<double> deviation(-spread * spread / 2,
                                                      spread);
        return std::clamp(mean * deviation(random), 1.0, max);
    };
    for (double when = static_cast<double>(from.count()) + interval(random);
         when < static_cast<double>(to.count()); when += interval(random)) {
        job_spec spec{.payload = "p"};
        const auto steps = std::lround(draw(kind.steps, 0.4, 4));
        for (int s = 0; s < steps; ++s) {
            step_spec step{
                .count = static_cast<std::int32_t>(std::lround(
                    draw(kind.tasks_per_step, 0.8, 6 * kind.tasks_per_step))),
                .demand = {static_cast<std::int64_t>(draw(
                               kind.milli_cores, 0.45, 3 * kind.milli_cores)),
                           100, 0},
                .estimate = millis(static_cast<std::int64_t>(
                    draw(kind.task_ms, 0.5, 2.5 * kind.task_ms)))};
            if (s > 0)
                step.after = {s - 1};
            spec.steps.push_back(step);
        }
        load.jobs.push_back({millis(static_cast<std::int64_t>(when)),
                             kind.queue, organisation, std::move(spec)});
    }
}

std::vector<single_outcome> run(const recorded_load& load, order_kind order) {
    simulation_options options = load.options;
    options.settings.scheduling.order_by_delay_cost =
        order != order_kind::unchanged;
    if (order == order_kind::earliest_due)
        options.settings.work_order = earliest_due_key;
    simulated_cell cell(options);
    for (const request_kind& kind : load.kinds)
        cell.add_queue(kind);
    for (const auto& [name, weight] : load.organisations)
        cell.add_organisation(name, weight);
    for (const load_job& job : load.jobs)
        cell.at(job.when, [&cell, &job] {
            cell.submit(job.queue, job.organisation, job.spec);
        });
    cell.run_until(millis(80'000));
    EXPECT_EQ(cell.overlapping_runs(), 0);
    EXPECT_EQ(cell.overcommitted_starts(), 0);
    std::vector<single_outcome> out = cell.outcomes();
    EXPECT_TRUE(std::all_of(out.begin(), out.end(), [](const auto& job) {
        return job.took_ms > 0;
    })) << "each accepted job has to end";
    return out;
}

template <typename Selects>
group_outcome group(const std::vector<single_outcome>& jobs, Selects selects) {
    group_outcome out;
    for (const single_outcome& job : jobs) {
        if (!selects(job))
            continue;
        ++out.jobs;
        out.in_time += job.in_time() ? 1 : 0;
        out.of_value +=
            job.took_ms > 0 && job.took_ms <= 3 * job.objective_ms ? 1 : 0;
    }
    return out;
}

/** Work of the job below which a share of the jobs of a queue are. */
double work_quantile(const std::vector<single_outcome>& jobs,
                     const std::string& queue, double share) {
    std::vector<double> work;
    for (const single_outcome& job : jobs)
        if (job.queue == queue)
            work.push_back(job.work);
    std::sort(work.begin(), work.end());
    return work[static_cast<std::size_t>(share *
                                         static_cast<double>(work.size()))];
}

/** Jobs of a queue: all, the largest tenth, the fifth below it, the others. */
struct queue_outcome {
    group_outcome all;
    group_outcome largest;
    group_outcome below;
    group_outcome others;
};

queue_outcome by_size(const std::vector<single_outcome>& jobs,
                      const std::string& queue) {
    const double largest = work_quantile(jobs, queue, 0.9);
    const double below = work_quantile(jobs, queue, 0.7);
    const auto between = [&](double from, double to) {
        return group(jobs, [&](const single_outcome& job) {
            return job.queue == queue && job.work >= from && job.work < to;
        });
    };
    return {.all = between(0, INFINITY),
            .largest = between(largest, INFINITY),
            .below = between(below, largest),
            .others = between(0, below)};
}

void record(const std::string& name, const group_outcome& outcome) {
    ::testing::Test::RecordProperty(
        name, std::to_string(outcome.in_time) + " in time, " +
                  std::to_string(outcome.of_value) + " of value, of " +
                  std::to_string(outcome.jobs));
}

void record(const std::string& order, const std::string& queue,
            const queue_outcome& outcome) {
    record(order + " " + queue, outcome.all);
    record(order + " " + queue + " largest tenth", outcome.largest);
    record(order + " " + queue + " fifth below", outcome.below);
    record(order + " " + queue + " others", outcome.others);
}

std::string name_of(order_kind order) {
    return order == order_kind::unchanged      ? "unchanged"
           : order == order_kind::earliest_due ? "earliest due"
                                               : "delay cost";
}

/** The outcome with each order, over several loads of one kind. */
std::map<order_kind, std::vector<single_outcome>>
run_all(const std::function<recorded_load(std::uint32_t seed)>& make_load) {
    std::map<order_kind, std::vector<single_outcome>> out;
    std::set<std::string> queues;
    for (std::uint32_t seed = 1; seed <= LOADS; ++seed) {
        recorded_load load = make_load(seed);
        std::stable_sort(
            load.jobs.begin(), load.jobs.end(),
            [](const auto& a, const auto& b) { return a.when < b.when; });
        for (const request_kind& kind : load.kinds)
            queues.insert(kind.queue);
        for (const order_kind order :
             {order_kind::unchanged, order_kind::earliest_due,
              order_kind::delay_cost}) {
            const auto outcomes = run(load, order);
            out[order].insert(out[order].end(), outcomes.begin(),
                              outcomes.end());
        }
    }
    for (const auto& [order, outcomes] : out)
        for (const std::string& queue : queues)
            record(name_of(order), queue, by_size(outcomes, queue));
    return out;
}

/**
 * The largest tenth must not be served less than half as often as the whole
 * queue.
 */
void expect_large_jobs_served(const queue_outcome& outcome) {
    EXPECT_GE(2 * outcome.largest.in_time_share(), outcome.all.in_time_share());
    EXPECT_GE(2 * outcome.largest.of_value_share(),
              outcome.all.of_value_share());
}

} // namespace

// For six seconds, quick jobs arrive at twice the capacity, beside a light load
// before and after. Guards against an order in which all jobs end slightly
// late, as with earliest due time first.
TEST(order_load, burst_of_quick_jobs_at_twice_the_capacity) {
    const auto outcomes = run_all([](std::uint32_t seed) {
        recorded_load load{.options = cell_options(seed),
                           .kinds = {quick_requests()}};
        load.options.estimate_factor = 1.5;
        load.options.estimate_error = 0.5;
        // The mean of the ratio of actual run time to estimate is above its
        // median.
        const double full =
            full_rate(quick_requests()) / (1.5 * std::exp(0.125));
        load.organisations = {{"a", 1000}};
        std::mt19937 random(seed);
        add_jobs(load, random, quick_requests(), "a", millis(2000),
                 millis(20'000), 0.4 * full);
        add_jobs(load, random, quick_requests(), "a", millis(8000),
                 millis(14'000), 1.6 * full);
        return load;
    });
    const auto mine = by_size(outcomes.at(order_kind::delay_cost), "quick");
    const auto due = by_size(outcomes.at(order_kind::earliest_due), "quick");
    const auto before = by_size(outcomes.at(order_kind::unchanged), "quick");
    EXPECT_GT(mine.all.in_time, before.all.in_time);
    EXPECT_GT(mine.all.in_time, due.all.in_time);
    expect_large_jobs_served(mine);
}

// One organisation submits at seven times its usual rate. Guards against jobs
// of the 19 others that wait behind it, and against taking a burst that it is
// entitled to for one beyond the rate.
TEST(order_load, organisation_at_seven_times_its_usual_rate) {
    int entitled = 0; // Jobs within the allowance of that organisation.
    const auto outcomes = run_all([&](std::uint32_t seed) {
        recorded_load load{.options = cell_options(seed),
                           .kinds = {quick_requests()}};
        load.options.estimate_error = 0.3;
        const double each =
            0.85 * full_rate(quick_requests()) / std::exp(0.045) / 20;
        std::mt19937 random(seed);
        for (int i = 0; i < 20; ++i) {
            const std::string name = "o" + std::to_string(10 + i);
            // A rate is agreed with room above the usual one.
            load.organisations.emplace_back(name, 1.5 * each);
            add_jobs(load, random, quick_requests(), name, millis(2000),
                     millis(22'000), i == 0 ? 7 * each : each);
        }
        const owner_settings& settings = load.options.settings;
        rate_window window;
        for (const load_job& job : load.jobs)
            if (job.organisation == "o10" &&
                window.admit(
                    job.when.count(),
                    {.window = settings.rate_window,
                     .jobs = 1.5 * each * 5 * (1 + settings.rate_overage) +
                             settings.rate_slack_jobs}))
                ++entitled;
        return load;
    });
    std::map<order_kind, group_outcome> others;
    std::map<order_kind, group_outcome> hot;
    for (const auto& [order, jobs] : outcomes) {
        others[order] = group(
            jobs, [](const auto& job) { return job.organisation != "o10"; });
        hot[order] = group(
            jobs, [](const auto& job) { return job.organisation == "o10"; });
        record(name_of(order) + " 19 others", others[order]);
        record(name_of(order) + " at seven times", hot[order]);
    }
    ::testing::Test::RecordProperty("entitled", std::to_string(entitled));
    EXPECT_GE(others[order_kind::delay_cost].in_time_share(), 0.95);
    EXPECT_GT(others[order_kind::delay_cost].in_time,
              others[order_kind::unchanged].in_time);
    EXPECT_GT(others[order_kind::delay_cost].in_time,
              others[order_kind::earliest_due].in_time);
    EXPECT_GE(hot[order_kind::delay_cost].in_time, 0.9 * entitled);
    // What the others gain is what the one no longer takes: the sum is equal
    // up to the difference between loads, which is 2.5%.
    EXPECT_GE(by_size(outcomes.at(order_kind::delay_cost), "quick").all.in_time,
              by_size(outcomes.at(order_kind::unchanged), "quick").all.in_time *
                  0.97);
    expect_large_jobs_served(
        by_size(outcomes.at(order_kind::delay_cost), "quick"));
}

// A backlog of large jobs beside quick ones, at 1.6 times the capacity. Guards
// against quick jobs that wait behind large ones, and against large ones that
// never get room.
TEST(order_load, backlog_of_large_jobs_beside_quick_ones) {
    const auto outcomes = run_all([](std::uint32_t seed) {
        recorded_load load{.options = cell_options(seed),
                           .kinds = {quick_requests(), large_requests()}};
        load.options.estimate_error = 0.3;
        load.organisations = {{"a", 1000}};
        std::mt19937 random(seed);
        add_jobs(load, random, large_requests(), "a", millis(2000),
                 millis(20'000),
                 1.2 * full_rate(large_requests()) / std::exp(0.045));
        add_jobs(load, random, quick_requests(), "a", millis(2000),
                 millis(26'000),
                 0.4 * full_rate(quick_requests()) / std::exp(0.045));
        return load;
    });
    const auto& jobs = outcomes.at(order_kind::delay_cost);
    const auto quick = by_size(jobs, "quick");
    const auto large = by_size(jobs, "large");
    const auto& unchanged = outcomes.at(order_kind::unchanged);
    EXPECT_GE(quick.all.in_time,
              by_size(unchanged, "quick").all.in_time * 0.98);
    // 4% more on average over 15 loads.
    EXPECT_GE(large.all.in_time,
              by_size(unchanged, "large").all.in_time * 0.98);
    expect_large_jobs_served(quick);
    expect_large_jobs_served(large);
}
