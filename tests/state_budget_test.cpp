#include "dispatch/job_size.hpp"
#include "dispatch/job_table.hpp"
#include "dispatch/record_codec.hpp"
#include "dispatch/state_reservations.hpp"
#include "dispatch/state_share.hpp"

#include <gtest/gtest.h>

namespace rattan::dispatch {
namespace {

const organisation_id FIRST{"first"};
const organisation_id SECOND{"second"};
constexpr std::size_t SMALL = state_budget::SMALL_JOB_BYTES;
constexpr std::size_t LIMIT = 100 * SMALL;
const mono_time NOW{millis(1'000'000)};
constexpr std::int64_t WALL = 1'000'000;

std::size_t fill(state_budget& budget, const organisation_id& organisation,
                 std::size_t bytes) {
    std::size_t used = 0;
    while (budget.admits(organisation, bytes)) {
        budget.add(organisation, bytes);
        used += bytes;
    }
    return used;
}

job_record job_with(std::vector<step_spec> steps) {
    return {.id = {"5c0e7a21d94b36f8"},
            .queue = {"q"},
            .organisation = FIRST,
            .spec = {.steps = std::move(steps)}};
}

// Guards against one organisation that leaves no room for the others.
TEST(state_budget, one_organisation_leaves_room_for_another) {
    state_budget budget;
    budget.set_limit(LIMIT);
    EXPECT_EQ(fill(budget, FIRST, SMALL), LIMIT / 2);
    EXPECT_TRUE(budget.over_share().contains(FIRST));
    EXPECT_GE(fill(budget, SECOND, SMALL), LIMIT / 4 - SMALL);
    EXPECT_LE(budget.used(), LIMIT);
}

// Guards against large jobs that leave no room for small ones.
TEST(state_budget, large_jobs_leave_room_for_small_ones) {
    state_budget budget;
    budget.set_limit(LIMIT);
    fill(budget, FIRST, 2 * SMALL);
    EXPECT_LE(budget.used(), LIMIT / 3 + SMALL);
    EXPECT_GT(fill(budget, FIRST, SMALL), LIMIT / 10);
}

TEST(state_budget, without_a_limit_everything_is_admitted) {
    state_budget budget;
    budget.add(FIRST, LIMIT);
    EXPECT_TRUE(budget.admits(FIRST, LIMIT));
    EXPECT_TRUE(budget.over_share().empty());
}

// Guards against hosts that accept more than the owner's limit between them.
TEST(state_share, hosts_together_stay_within_the_limit) {
    constexpr std::size_t HOSTS = 10;
    constexpr millis GRANT_PERIOD{250};
    std::vector<state_share> hosts(HOSTS);
    std::size_t used = 0;
    std::deque<std::pair<mono_time, std::size_t>> unseen;
    mono_time now = NOW;
    for (int round = 0; round < 100; ++round, now += GRANT_PERIOD) {
        // The owner counts a job as late as it is allowed to.
        std::size_t counted = used;
        for (const auto& [at, bytes] : unseen)
            if (at + state_share::SEEN_AFTER >= now)
                counted -= bytes;
        const std::size_t left = LIMIT - std::min(LIMIT, counted);
        for (state_share& host : hosts) {
            host.granted({.bytes = host_share(left, HOSTS)}, now);
            while (host.admits(FIRST, SMALL / 8)) {
                host.accepted(SMALL / 8, now);
                unseen.emplace_back(now, SMALL / 8);
                used += SMALL / 8;
            }
        }
        EXPECT_LE(used, LIMIT);
    }
    EXPECT_GT(used, LIMIT / 2);
}

// Guards against a host that goes on accepting without an owner.
TEST(state_share, without_new_grants_the_share_is_used_up) {
    state_share share;
    share.granted({.bytes = 10 * SMALL}, NOW);
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(share.admits(FIRST, SMALL));
        share.accepted(SMALL, NOW + millis(i * 60'000));
    }
    EXPECT_FALSE(share.admits(FIRST, SMALL));
    share.granted({.bytes = 10 * SMALL, .refused = {FIRST}},
                  NOW + millis(700'000));
    EXPECT_FALSE(share.admits(FIRST, SMALL));
    EXPECT_TRUE(share.admits(SECOND, SMALL));
    share.lift();
    EXPECT_TRUE(share.admits(FIRST, LIMIT));
}

// Guards against room that is kept for jobs that were never stored.
TEST(state_reservations, expire) {
    state_budget budget;
    budget.set_limit(LIMIT);
    state_reservations reservations(budget);
    EXPECT_TRUE(reservations.reserve({"a"}, FIRST, SMALL, NOW));
    EXPECT_TRUE(reservations.reserve({"a"}, FIRST, SMALL, NOW));
    EXPECT_TRUE(reservations.reserve({"b"}, FIRST, SMALL, NOW + millis(5)));
    EXPECT_EQ(budget.used(), 2 * SMALL);
    budget.set_limit(2 * SMALL); // A smaller host has joined.
    EXPECT_TRUE(reservations.reserve({"a"}, FIRST, SMALL, NOW));
    EXPECT_FALSE(reservations.reserve({"c"}, FIRST, SMALL, NOW));
    reservations.release({"b"});
    EXPECT_EQ(budget.used(), SMALL);
    reservations.expire(NOW);
    EXPECT_EQ(budget.used(), SMALL);
    reservations.expire(NOW + millis(1));
    EXPECT_EQ(budget.used(), 0U);
}

// Guards against a count that differs after a job has ended or was restored.
TEST(job_table_budget, follows_the_life_of_a_job) {
    job_table table;
    const job_record record = job_with({{.count = 3}, {.count = 2}});
    table.accept(record);
    const std::size_t accepted = table.budget().used();
    EXPECT_EQ(accepted, job_state_bytes(record.spec));
    table.cancel(record.id, WALL);
    table.drop_definition(record.id);
    EXPECT_EQ(table.budget().used(), ENDED_JOB_BYTES);
    EXPECT_EQ(table.find(record.id)->state, job_state::cancelled);
    table.restore({.record = record}, NOW);
    EXPECT_EQ(table.budget().used(), accepted);
    table.remove(record.id);
    EXPECT_EQ(table.budget().used(), 0U);
}

// Guards against repeats beyond the reserved ones that exceed the limit, and
// against a job that never continues.
TEST(job_table_budget, repeats_wait_for_memory) {
    job_table table;
    job_record record = job_with({{.count = 1}});
    record.spec.repeats = 1000;
    record.spec.first_due_ms = WALL;
    record.spec.interval = millis(1);
    table.budget().set_limit(job_state_bytes(record.spec) * 4);
    table.accept(record);
    job_entry& job = *table.find(record.id);
    EXPECT_TRUE(table.start_due_repeats(job, WALL + 2000, NOW));
    const std::size_t started = job.repeats.size();
    EXPECT_GE(started, reserved_repeats(record.spec));
    EXPECT_LT(started, 1000U);
    EXPECT_LE(table.budget().used(), table.budget().limit());
    EXPECT_GT(job_table::next_due_ms(job), WALL + 2000);
    table.complete({{record.id, 0, 0}, 0}, WALL, NOW);
    EXPECT_TRUE(table.start_due_repeats(job, WALL + 2000, NOW));
    EXPECT_EQ(job.repeats.size(), started);
}

// Guards against an estimate that a job exceeds once it is encoded.
TEST(job_state_bytes, covers_the_encoded_job) {
    step_spec step{.count = 1};
    step.required_label = std::string(170, '\x01');
    job_record record = job_with(std::vector<step_spec>(100, step));
    record.spec.payload = std::string(4000, '\x02');
    EXPECT_GE(job_state_bytes(record.spec), encode_job(record).size());
}

} // namespace
} // namespace rattan::dispatch
