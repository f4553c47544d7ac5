/** @file Property tests of placement over random histories with faults. */
#include "cell_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdio>

namespace rattan {

/** Prints an event of a counterexample for rapidcheck. */
void showValue(const event& next, std::ostream& out) {
    out << "{" << static_cast<int>(next.kind) << ", " << next.selector << ", "
        << next.amount << "}";
}

namespace {

constexpr int MAX_HISTORY_LENGTH = 120;

/** Mostly time steps and submissions; each fault occurs now and then. */
rc::Gen<event> arbitrary_event() {
    using rc::gen::element;
    const auto kind = rc::gen::weightedElement<event_kind>(
        {{12, event_kind::pass_time},
         {8, event_kind::submit},
         {2, event_kind::cancel},
         {2, event_kind::kill_placer},
         {2, event_kind::pause_placer},
         {3, event_kind::resume_placer},
         {2, event_kind::toggle_log_access},
         {2, event_kind::toggle_worker_link},
         {1, event_kind::toggle_peer_link},
         {1, event_kind::toggle_log_outage},
         {1, event_kind::duplicate_group},
         {1, event_kind::late_group},
         {2, event_kind::restart_worker},
         {1, event_kind::toggle_worker_leaving},
         {2, event_kind::lose_answers},
         {2, event_kind::delay_orders},
         {1, event_kind::change_limit},
         {1, event_kind::toggle_data_centre},
         {1, event_kind::race_config_changes},
         {2, event_kind::resubmit_job}});
    return rc::gen::build<event>(
        rc::gen::set(&event::kind, kind),
        rc::gen::set(&event::selector, rc::gen::inRange(0, 60)),
        rc::gen::set(&event::amount, rc::gen::inRange(1, 40)));
}

} // namespace

TEST(cell_world_test, promises_hold_over_random_histories) {
    fault_counts total;
    std::uint64_t jobs = 0;
    std::uint64_t cases = 0;
    const bool held =
        rc::check("no task runs twice, above a limit or out of service", [&] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto history = *rc::gen::resize(
                MAX_HISTORY_LENGTH,
                rc::gen::container<std::vector<event>>(arbitrary_event()));
            cell_world world(seed);
            for (const event& next : history) {
                world.apply(next);
                const std::string violation = world.violation();
                if (!violation.empty())
                    RC_FAIL(violation);
            }
            total += world.faults();
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
            MAX_HISTORY_LENGTH,
            rc::gen::container<std::vector<event>>(arbitrary_event()));
        cell_world world(seed);
        for (const event& next : history)
            world.apply(next);
        const bool finished = world.completes_all_jobs();
        const std::string violation = world.violation();
        if (!violation.empty())
            RC_FAIL(violation);
        RC_ASSERT(finished);
    });
    EXPECT_TRUE(held);
}

} // namespace rattan
