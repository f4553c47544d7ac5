/** @file Limits on what a process holds for others. */
#include "net/budget_claim.hpp"
#include "net/progress_check.hpp"
#include "net/resource_shares.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace rattan {
namespace {

constexpr std::size_t MEGABYTE = 1U << 20U;

// Guards against buffers that together exceed the budget.
TEST(caller_budget, refuses_what_exceeds_the_limit_and_counts_the_rest) {
    caller_budget budget(1000);
    EXPECT_TRUE(budget.add(600, 600));
    EXPECT_FALSE(budget.add(401, 401));
    EXPECT_EQ(budget.used(), 600U);
    EXPECT_TRUE(budget.add(400, 400));
    EXPECT_FALSE(budget.add(1, 1));
    budget.remove(1000);
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_FALSE(budget.add(static_cast<std::size_t>(-1), 10));
}

TEST(caller_budget, zero_is_no_limit) {
    caller_budget budget;
    EXPECT_TRUE(budget.add(1U << 30U, 1U << 30U));
    EXPECT_TRUE(budget.add(1U << 30U, 1U << 30U));
}

// Guards against large bodies that leave nothing for small requests.
TEST(caller_budget, large_buffers_leave_a_quarter_to_small_ones) {
    caller_budget budget(400'000);
    EXPECT_TRUE(budget.add(300'000, 300'000));
    EXPECT_FALSE(budget.add(caller_budget::SMALL_BYTES + 1,
                            caller_budget::SMALL_BYTES + 1));
    EXPECT_TRUE(
        budget.add(caller_budget::SMALL_BYTES, caller_budget::SMALL_BYTES));
}

// Guards against bytes that stay counted after their buffer is gone.
TEST(budget_claim, gives_everything_back) {
    caller_budget budget(10'000);
    {
        budget_claim claim(&budget);
        EXPECT_TRUE(claim.grow(6000));
        EXPECT_TRUE(claim.grow(10));
        EXPECT_EQ(budget.used(), 6000U);
        EXPECT_FALSE(claim.grow(20'000));
        claim.shrink(100);
        EXPECT_EQ(budget.used(), 100U);
    }
    EXPECT_EQ(budget.used(), 0U);
}

// Guards against a claim that is used after its budget: callbacks that hold
// one may outlive the service.
TEST(budget_claim, may_outlive_its_budget) {
    auto budget = std::make_unique<caller_budget>(1000);
    budget_claim claim(budget.get());
    EXPECT_TRUE(claim.grow(500));
    budget.reset();
    claim.shrink(0);
    EXPECT_EQ(claim.bytes(), 0U);
}

TEST(budget_claim, without_a_budget_nothing_is_limited) {
    budget_claim claim(nullptr);
    EXPECT_TRUE(claim.grow(1U << 30U));
}

// Guards against a body in chunks of one byte that takes a multiple of its
// size.
TEST(budget_claim, counts_the_capacity_of_a_buffer_that_grows_by_single_bytes) {
    constexpr std::size_t BODY = 262'144;
    caller_budget budget;
    budget_claim claim(&budget);
    std::string buffer;
    for (std::size_t i = 0; i < BODY; ++i) {
        ASSERT_TRUE(claim.append(buffer, "x", 1, BODY));
        ASSERT_GE(claim.bytes() + 15, buffer.capacity());
        ASSERT_LE(claim.bytes(),
                  std::max<std::size_t>(buffer.size() * 2, 1024));
    }
    EXPECT_EQ(buffer.size(), BODY);
    EXPECT_LE(buffer.capacity(), BODY);
    EXPECT_EQ(budget.used(), claim.bytes());
}

TEST(budget_claim, a_refused_append_changes_nothing) {
    caller_budget budget(4000);
    budget_claim claim(&budget);
    std::string buffer;
    EXPECT_TRUE(claim.append(buffer, "abc", 3, 10'000));
    const std::size_t used = budget.used();
    const std::string large(5000, 'x');
    EXPECT_FALSE(claim.append(buffer, large.data(), large.size(), 10'000));
    EXPECT_EQ(buffer, "abc");
    EXPECT_EQ(budget.used(), used);
    EXPECT_FALSE(claim.reserve(buffer, 5000));
}

TEST(budget_claim, a_free_part_needs_no_budget) {
    caller_budget budget(10);
    budget_claim claim(&budget);
    std::string buffer;
    const std::string text(4000, 'x');
    EXPECT_TRUE(claim.append(buffer, text.data(), text.size(), 100'000, 4096));
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_FALSE(claim.append(buffer, text.data(), text.size(), 100'000, 4096));
    EXPECT_EQ(buffer.size(), text.size());
}

// Guards against closing a slow connection because of its age alone.
TEST(progress_check, counts_periods_with_too_few_bytes) {
    progress_check progress;
    std::uint64_t total = 0;
    for (int period = 0; period < 100; ++period) {
        progress.check(total += progress_check::MIN_BYTES);
        EXPECT_EQ(progress.slow_periods(), 0U);
    }
    progress.check(total += progress_check::MIN_BYTES - 1);
    EXPECT_EQ(progress.slow_periods(), 1U);
    EXPECT_TRUE(progress.moved());
    progress.check(total);
    EXPECT_EQ(progress.slow_periods(), 2U);
    EXPECT_FALSE(progress.moved());
    progress.reset();
    EXPECT_EQ(progress.slow_periods(), 0U);
}

// Guards against shares that together exceed the host's resources.
TEST(resource_shares, fit_into_the_smallest_host) {
    const resource_shares shares = divide_resources(160 * MEGABYTE, 4100);
    EXPECT_LE(shares.bodies * 4 + shares.answers + shares.store_answer * 2 +
                  shares.peers +
                  (shares.clients + shares.readiness + shares.metrics) *
                      CONNECTION_BYTES,
              160 * MEGABYTE * 3 / 4);
    EXPECT_GE(shares.bodies, 16U * 262'144);
    EXPECT_GE(shares.clients, 350U);
    EXPECT_LE(shares.clients + shares.peer_connections + shares.readiness +
                  shares.metrics + shares.target_connections +
                  shares.store_connections,
              4100U - 800);
}

TEST(resource_shares, of_few_descriptors_stay_below_them) {
    for (const std::size_t descriptors : {200U, 500U, 2000U, 8192U, 100'000U}) {
        const resource_shares shares = divide_resources(0, descriptors);
        EXPECT_LT(shares.clients + shares.peer_connections + shares.readiness +
                      shares.metrics + shares.target_connections +
                      shares.store_connections,
                  descriptors)
            << descriptors;
        EXPECT_GT(shares.clients, 0U);
        EXPECT_EQ(shares.bodies, 0U);
    }
}

// Guards against shares of a small host in which the largest request, which
// needs its old and its new buffer while it grows, has no room.
TEST(resource_shares, of_little_memory_serve_the_largest_request) {
    const resource_shares shares = divide_resources(MEGABYTE, 500);
    EXPECT_GE(shares.bodies / 4 * 3, 2U * 262'144);
    EXPECT_GE(shares.peer_frame, 2U * 262'144);
    EXPECT_GE(shares.clients, 16U);
}

} // namespace
} // namespace rattan
