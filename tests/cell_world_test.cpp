/** @file Random histories of a cell against the workers' own count. */
#include "cell_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdio>

namespace rattan {

/** Shows an event in a counterexample. */
void showValue(const event& happens, std::ostream& out) {
    out << "{" << static_cast<int>(happens.what) << ", " << happens.which
        << ", " << happens.amount << "}";
}

namespace {

constexpr int HISTORY_LENGTH = 120; ///< Events in a history, at most.

/** Mostly time and work, every fault now and then. */
rc::Gen<event> arbitrary_event() {
    using rc::gen::element;
    const auto what = rc::gen::weightedElement<deed>(
        {{12, deed::pass_time},   {8, deed::submit},
         {2, deed::cancel},       {2, deed::kill},
         {2, deed::pause},        {3, deed::resume},
         {2, deed::cut_log},      {2, deed::cut_worker},
         {1, deed::cut_peers},    {1, deed::outage},
         {1, deed::repeat_group}, {1, deed::old_group},
         {2, deed::worker_dies},  {1, deed::worker_leaves},
         {2, deed::lose_answers}, {2, deed::delay_orders},
         {1, deed::limit},        {1, deed::centre},
         {1, deed::race},         {2, deed::repeat_job}});
    return rc::gen::build<event>(
        rc::gen::set(&event::what, what),
        rc::gen::set(&event::which, rc::gen::inRange(0, 60)),
        rc::gen::set(&event::amount, rc::gen::inRange(1, 40)));
}

} // namespace

TEST(cell_world_test, promises_hold_over_random_histories) {
    fault_hits total;
    std::uint64_t jobs = 0;
    std::uint64_t cases = 0;
    const bool held =
        rc::check("nothing runs twice, too much or where it may not", [&] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto history = *rc::gen::resize(
                HISTORY_LENGTH,
                rc::gen::container<std::vector<event>>(arbitrary_event()));
            cell_world world(seed);
            for (const event& happens : history) {
                world.apply(happens);
                const std::string broken = world.broken();
                if (!broken.empty())
                    RC_FAIL(broken);
            }
            total += world.hits();
            jobs += world.jobs();
            ++cases;
        });
    std::printf("cases %llu, jobs %llu, takeovers %llu, adopted %llu, "
                "fenced %llu, answers lost %llu, orders late %llu, groups "
                "repeated %llu, races lost %llu, shed %llu, moved %llu\n",
                static_cast<unsigned long long>(cases),
                static_cast<unsigned long long>(jobs),
                static_cast<unsigned long long>(total.takeovers),
                static_cast<unsigned long long>(total.adopted),
                static_cast<unsigned long long>(total.fenced),
                static_cast<unsigned long long>(total.answers_lost),
                static_cast<unsigned long long>(total.orders_late),
                static_cast<unsigned long long>(total.groups_repeated),
                static_cast<unsigned long long>(total.races_lost),
                static_cast<unsigned long long>(total.shed),
                static_cast<unsigned long long>(total.moved));
    EXPECT_TRUE(held);
    EXPECT_GT(total.takeovers, 0);
    EXPECT_GT(total.adopted, 0);
    EXPECT_GT(total.fenced, 0);
    EXPECT_GT(total.answers_lost, 0);
    EXPECT_GT(total.orders_late, 0);
    EXPECT_GT(total.groups_repeated, 0);
    EXPECT_GT(total.races_lost, 0);
    EXPECT_GT(total.shed, 0);
    EXPECT_GT(total.moved, 0);
}

TEST(cell_world_test, every_job_ends_once_faults_are_over) {
    const bool held = rc::check("no accepted job is lost", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto history = *rc::gen::resize(
            HISTORY_LENGTH,
            rc::gen::container<std::vector<event>>(arbitrary_event()));
        cell_world world(seed);
        for (const event& happens : history)
            world.apply(happens);
        const bool finished = world.finishes();
        const std::string broken = world.broken();
        if (!broken.empty())
            RC_FAIL(broken);
        RC_ASSERT(finished);
    });
    EXPECT_TRUE(held);
}

} // namespace rattan
