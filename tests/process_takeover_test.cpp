/** @file Placers that die, pause and lose the log. */
#include "process_fixture.hpp"

#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class takeover_test : public process_test {
protected:
    /** A watch of one task in the first data centre. */
    json watch(int tasks = 1) {
        return {{"plan", "curing-watch"},
                {"tasks", tasks},
                {"cores", 1},
                {"memory_mib", 128},
                {"data_centre", "nairobi-1"}};
    }
    /** A gang in the first data centre. */
    json gang(const std::string& payload, const std::string& plan) {
        return {{"plan", plan},
                {"tasks", 2},
                {"cores", 1},
                {"memory_mib", 128},
                {"data_centre", "nairobi-1"},
                {"payload", payload}};
    }
};

TEST_F(takeover_test, successor_adopts_what_runs_and_starts_the_rest) {
    start(small_options());
    const auto first = accepted(0, BIG_ORG_KEY, watch(4));
    ASSERT_TRUE(wait_until([&] { return running() == 4; }));
    const int owner = owner_host(0);
    ASSERT_GE(owner, 0);
    deployment->kill_program(owner, program::placer, SIGKILL);
    const auto second =
        accepted(0, BIG_ORG_KEY, gang("run_ms=50", "invoice-run"));
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, second), "done");
    const int successor = owner_host(0);
    EXPECT_NE(successor, owner);
    EXPECT_GE(placer_counter(successor, "tasks_adopted"), 4);
    for (int index = 0; index < 4; ++index)
        EXPECT_EQ(starts(first, index), 1);
    EXPECT_EQ(running(), 4);
}

TEST_F(takeover_test, paused_owner_is_fenced_when_it_comes_back) {
    start(small_options());
    const auto first = accepted(0, BIG_ORG_KEY, watch(4));
    ASSERT_TRUE(wait_until([&] { return running() == 4; }));
    const int owner = owner_host(0);
    const int other = owner == 0 ? 1 : 0;
    deployment->kill_program(owner, program::placer, SIGSTOP);
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(other, "tasks_adopted") >= 4; }));
    // Longer than a lease: whatever the paused one renews is too late.
    std::this_thread::sleep_for(
        std::chrono::milliseconds(deployment->options().lease_ms + 500));
    deployment->kill_program(owner, program::placer, SIGCONT);
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(owner, "ownership_ended") == 1; }));
    const auto second =
        accepted(0, BIG_ORG_KEY, gang("run_ms=50", "invoice-run"));
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, second), "done");
    EXPECT_EQ(starts(first), 1) << placer_counters(owner) << "\n"
                                << placer_counters(other);
    EXPECT_EQ(running(), 4);
}

TEST_F(takeover_test, both_placers_replaced_at_once) {
    start(small_options());
    const auto first = accepted(0, BIG_ORG_KEY, watch(3));
    const auto once =
        accepted(0, BIG_ORG_KEY, gang("run_ms=1500", "invoice-run"));
    ASSERT_TRUE(wait_until([&] { return running() == 5; }));
    for (const int host : {0, 1})
        deployment->kill_program(host, program::placer, SIGKILL);
    for (const int host : {0, 1})
        deployment->start_program(host, program::placer);
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, once), "done");
    EXPECT_EQ(starts(once, 0), 1);
    EXPECT_EQ(starts(once, 1), 1);
    EXPECT_EQ(starts(first), 1);
}

TEST_F(takeover_test, standby_keeps_leases_alive_without_the_log) {
    start(small_options());
    const auto first = accepted(0, BIG_ORG_KEY, watch(3));
    ASSERT_TRUE(wait_until([&] { return running() == 3; }));
    const int owner = owner_host(0);
    const int other = owner == 0 ? 1 : 0;
    deployment->fault_platform({{"outage", true}});
    ASSERT_TRUE(wait_until(
        [&] { return deployment->platform_stats()["outage_hits"] > 0; }));
    deployment->kill_program(owner, program::placer, SIGKILL);
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(other, "leases_cared_for") > 4; }));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2 * deployment->options().lease_ms));
    EXPECT_EQ(running(), 3);
    EXPECT_EQ(owner_host(0), -1);
    deployment->fault_platform({{"outage", false}});
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(other, "tasks_adopted") == 3; }));
    for (int index = 0; index < 3; ++index)
        EXPECT_EQ(starts(first, index), 1);
}

TEST_F(takeover_test, job_of_a_dead_worker_restarts_only_if_it_may) {
    start(small_options());
    // Workers 0 and 3 are those of the first data centre.
    const auto once =
        accepted(0, BIG_ORG_KEY, gang("run_ms=60000", "invoice-run"));
    const auto again =
        accepted(0, BIG_ORG_KEY, gang("run_ms=4000", "tender-pricing"));
    ASSERT_TRUE(wait_until([&] { return running() == 4; }));
    const auto places = job(0, BIG_ORG_KEY, again)["placement"]["places"];
    const auto name = places["0"]["worker"].get<std::string>();
    const int number = std::stoi(name.substr(name.find('-') + 1));
    deployment->fault_targets({{"worker", number}, {"mode", "dead"}});
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, once), "unknown");
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, again), "done");
    EXPECT_GE(starts(again), 2);
    EXPECT_EQ(starts(once), 1);
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 0);
}

TEST_F(takeover_test, owner_and_worker_die_together) {
    start(small_options());
    const auto again =
        accepted(0, BIG_ORG_KEY, gang("run_ms=60000", "tender-pricing"));
    ASSERT_TRUE(wait_until([&] { return running() == 2; }));
    const auto places = job(0, BIG_ORG_KEY, again)["placement"]["places"];
    const auto name = places["0"]["worker"].get<std::string>();
    const int number = std::stoi(name.substr(name.find('-') + 1));
    const int owner = owner_host(0);
    const int other = owner == 0 ? 1 : 0;
    deployment->fault_targets({{"worker", number}, {"mode", "dead"}});
    deployment->kill_program(owner, program::placer, SIGKILL);
    // The successor can't hear the worker; it is still on the list. Only
    // when the dead owner's host speaks again are its leases known to be
    // over.
    ASSERT_TRUE(wait_until([&] { return owner_host(0) == other; }));
    EXPECT_EQ(starts(again), 1);
    deployment->start_program(owner, program::placer);
    EXPECT_TRUE(wait_until([&] { return starts(again) == 2; }));
    EXPECT_GE(placer_counter(other, "workers_cleared_unheard"), 1);
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 0);
}

TEST_F(takeover_test, mute_worker_keeps_its_tasks_until_their_lease_ended) {
    start(small_options());
    const auto first = accepted(0, BIG_ORG_KEY, watch(2));
    ASSERT_TRUE(wait_until([&] { return running() == 2; }));
    const auto places = job(0, BIG_ORG_KEY, first)["placement"]["places"];
    const auto name = places["0"]["worker"].get<std::string>();
    const int number = std::stoi(name.substr(name.find('-') + 1));
    // It runs on, and does not hear its owner any more.
    deployment->fault_targets({{"worker", number}, {"mode", "mute"}});
    ASSERT_TRUE(wait_until([&] { return starts(first, 0) == 2; }));
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 0);
    deployment->fault_targets({{"worker", number}, {"mode", ""}});
    EXPECT_TRUE(wait_until([&] { return running() == 2; }));
}

TEST_F(takeover_test, lost_worker_answers_start_nothing_twice) {
    start(small_options());
    for (int worker = 0; worker < 6; ++worker)
        deployment->fault_targets(
            {{"worker", worker}, {"mode", "lose_answers"}, {"count", 5}});
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i)
        jobs.push_back(
            accepted(i, BIG_ORG_KEY, gang("run_ms=200", "invoice-run")));
    for (const std::string& id : jobs) {
        EXPECT_EQ(outcome(0, BIG_ORG_KEY, id), "done");
        EXPECT_EQ(starts(id, 0), 1);
        EXPECT_EQ(starts(id, 1), 1);
    }
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 5);
}

} // namespace rattan::standin
