/** @file Takeover of a data centre: placers crash, pause or lose the log. */
#include "process_fixture.hpp"

#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class takeover_test : public process_test {
protected:
    /** A watch in the first data centre. */
    json watch_job(int tasks = 1) {
        return {{"plan", "curing-watch"},
                {"tasks", tasks},
                {"cores", 1},
                {"memory_mib", 128},
                {"data_centre", "nairobi-1"}};
    }
    /** A gang in the first data centre. */
    json gang_job(const std::string& payload, const std::string& plan) {
        return {{"plan", plan},
                {"tasks", 2},
                {"cores", 1},
                {"memory_mib", 128},
                {"data_centre", "nairobi-1"},
                {"payload", payload}};
    }
};

TEST_F(takeover_test, new_owner_adopts_running_tasks_and_starts_new_jobs) {
    start(small_options());
    const auto first = submit_accepted(0, BIG_ORG_KEY, watch_job(4));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 4; }));
    const int owner = owner_host(0);
    ASSERT_GE(owner, 0);
    deployment->signal_program(owner, program::placer, SIGKILL);
    const auto second =
        submit_accepted(0, BIG_ORG_KEY, gang_job("run_ms=50", "invoice-run"));
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, second), "done");
    const int successor = owner_host(0);
    EXPECT_NE(successor, owner);
    EXPECT_GE(placer_counter(successor, "tasks_adopted"), 4);
    for (int index = 0; index < 4; ++index)
        EXPECT_EQ(start_count(first, index), 1);
    EXPECT_EQ(running_tasks(), 4);
}

TEST_F(takeover_test, paused_owner_is_fenced_when_it_resumes) {
    start(small_options());
    const auto first = submit_accepted(0, BIG_ORG_KEY, watch_job(4));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 4; }));
    const int owner = owner_host(0);
    const int other = owner == 0 ? 1 : 0;
    deployment->signal_program(owner, program::placer, SIGSTOP);
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(other, "tasks_adopted") >= 4; }));
    // Longer than a lease: renewals by the paused owner come too late.
    std::this_thread::sleep_for(
        std::chrono::milliseconds(deployment->options().lease_ms + 500));
    deployment->signal_program(owner, program::placer, SIGCONT);
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(owner, "ownership_ended") == 1; }));
    const auto second =
        submit_accepted(0, BIG_ORG_KEY, gang_job("run_ms=50", "invoice-run"));
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, second), "done");
    EXPECT_EQ(start_count(first), 1) << placer_counters(owner) << "\n"
                                     << placer_counters(other);
    EXPECT_EQ(running_tasks(), 4);
}

TEST_F(takeover_test, running_tasks_survive_a_restart_of_both_placers) {
    start(small_options());
    const auto first = submit_accepted(0, BIG_ORG_KEY, watch_job(3));
    const auto run_once_job =
        submit_accepted(0, BIG_ORG_KEY, gang_job("run_ms=1500", "invoice-run"));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 5; }));
    for (const int host : {0, 1})
        deployment->signal_program(host, program::placer, SIGKILL);
    for (const int host : {0, 1})
        deployment->start_program(host, program::placer);
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, run_once_job), "done");
    EXPECT_EQ(start_count(run_once_job, 0), 1);
    EXPECT_EQ(start_count(run_once_job, 1), 1);
    EXPECT_EQ(start_count(first), 1);
}

TEST_F(takeover_test, standby_renews_leases_during_a_log_outage) {
    start(small_options());
    const auto first = submit_accepted(0, BIG_ORG_KEY, watch_job(3));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 3; }));
    const int owner = owner_host(0);
    const int other = owner == 0 ? 1 : 0;
    deployment->inject_platform_fault({{"outage", true}});
    ASSERT_TRUE(wait_until(
        [&] { return deployment->platform_stats()["outage_hits"] > 0; }));
    deployment->signal_program(owner, program::placer, SIGKILL);
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(other, "leases_cared_for") > 4; }));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2 * deployment->options().lease_ms));
    EXPECT_EQ(running_tasks(), 3);
    EXPECT_EQ(owner_host(0), -1);
    deployment->inject_platform_fault({{"outage", false}});
    ASSERT_TRUE(wait_until(
        [&] { return placer_counter(other, "tasks_adopted") == 3; }));
    for (int index = 0; index < 3; ++index)
        EXPECT_EQ(start_count(first, index), 1);
}

TEST_F(takeover_test, only_restartable_jobs_of_a_dead_worker_restart) {
    start(small_options());
    // Workers 0 and 3 are in the first data centre.
    const auto run_once_job = submit_accepted(
        0, BIG_ORG_KEY, gang_job("run_ms=60000", "invoice-run"));
    const auto restartable_job = submit_accepted(
        0, BIG_ORG_KEY, gang_job("run_ms=4000", "tender-pricing"));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 4; }));
    const auto places =
        job_status(0, BIG_ORG_KEY, restartable_job)["placement"]["places"];
    const auto worker_name = places["0"]["worker"].get<std::string>();
    const int worker_index =
        std::stoi(worker_name.substr(worker_name.find('-') + 1));
    deployment->inject_target_fault(
        {{"worker", worker_index}, {"mode", "dead"}});
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, run_once_job), "unknown");
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, restartable_job), "done");
    EXPECT_GE(start_count(restartable_job), 2);
    EXPECT_EQ(start_count(run_once_job), 1);
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 0);
}

TEST_F(takeover_test, owner_and_worker_fail_together) {
    start(small_options());
    const auto restartable_job = submit_accepted(
        0, BIG_ORG_KEY, gang_job("run_ms=60000", "tender-pricing"));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 2; }));
    const auto places =
        job_status(0, BIG_ORG_KEY, restartable_job)["placement"]["places"];
    const auto worker_name = places["0"]["worker"].get<std::string>();
    const int worker_index =
        std::stoi(worker_name.substr(worker_name.find('-') + 1));
    const int owner = owner_host(0);
    const int other = owner == 0 ? 1 : 0;
    deployment->inject_target_fault(
        {{"worker", worker_index}, {"mode", "dead"}});
    deployment->signal_program(owner, program::placer, SIGKILL);
    // The worker doesn't respond to the new owner, but is still on the host
    // list. Its leases are known to have expired only when the placer on the
    // old owner's host responds again.
    ASSERT_TRUE(wait_until([&] { return owner_host(0) == other; }));
    EXPECT_EQ(start_count(restartable_job), 1);
    deployment->start_program(owner, program::placer);
    EXPECT_TRUE(wait_until([&] { return start_count(restartable_job) == 2; }));
    EXPECT_GE(placer_counter(other, "workers_cleared_unheard"), 1);
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 0);
}

TEST_F(takeover_test, unreachable_worker_keeps_its_tasks_until_lease_expiry) {
    start(small_options());
    const auto first = submit_accepted(0, BIG_ORG_KEY, watch_job(2));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 2; }));
    const auto places =
        job_status(0, BIG_ORG_KEY, first)["placement"]["places"];
    const auto worker_name = places["0"]["worker"].get<std::string>();
    const int worker_index =
        std::stoi(worker_name.substr(worker_name.find('-') + 1));
    // Its tasks keep running; it no longer receives orders from its owner.
    deployment->inject_target_fault(
        {{"worker", worker_index}, {"mode", "mute"}});
    ASSERT_TRUE(wait_until([&] { return start_count(first, 0) == 2; }));
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 0);
    deployment->inject_target_fault({{"worker", worker_index}, {"mode", ""}});
    EXPECT_TRUE(wait_until([&] { return running_tasks() == 2; }));
}

TEST_F(takeover_test, lost_worker_responses_start_no_task_twice) {
    start(small_options());
    for (int worker = 0; worker < 6; ++worker)
        deployment->inject_target_fault(
            {{"worker", worker}, {"mode", "lose_answers"}, {"count", 5}});
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i)
        jobs.push_back(submit_accepted(i, BIG_ORG_KEY,
                                       gang_job("run_ms=200", "invoice-run")));
    for (const std::string& id : jobs) {
        EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, id), "done");
        EXPECT_EQ(start_count(id, 0), 1);
        EXPECT_EQ(start_count(id, 1), 1);
    }
    EXPECT_GT(deployment->audit()["worker_faults_hit"], 5);
}

} // namespace rattan::standin
