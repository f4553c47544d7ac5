/** @file Durability of jobs: restarts of all programs and faults of the log. */
#include "process_fixture.hpp"

#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class journal_test : public process_test {
protected:
    json gang_job(int run_ms) {
        return {{"plan", "invoice-run"},
                {"tasks", 2},
                {"cores", 1},
                {"memory_mib", 128},
                {"payload", "run_ms=" + std::to_string(run_ms)}};
    }
    void kill_all() {
        for (int host = 0; host < deployment->hosts(); ++host)
            for (const program kind :
                 {program::relay, program::gate, program::placer})
                deployment->signal_program(host, kind, SIGKILL);
    }
    void start_all() {
        for (int host = 0; host < deployment->hosts(); ++host)
            for (const program kind :
                 {program::relay, program::gate, program::placer})
                deployment->start_program(host, kind);
    }
};

TEST_F(journal_test, accepted_jobs_survive_a_restart_of_all_programs) {
    start(small_options());
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i)
        jobs.push_back(submit_accepted(i, BIG_ORG_KEY, gang_job(1'000)));
    kill_all();
    start_all();
    for (const std::string& id : jobs) {
        EXPECT_EQ(wait_for_outcome(3, BIG_ORG_KEY, id), "done");
        EXPECT_EQ(start_count(id, 0), 1);
        EXPECT_EQ(start_count(id, 1), 1);
    }
}

TEST_F(journal_test, lost_append_responses_neither_lose_nor_repeat_jobs) {
    start(small_options());
    deployment->inject_platform_fault({{"lose_answers", 20}});
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i) {
        const auto answer =
            submit(i, BIG_ORG_KEY, new_request_id(), gang_job(50));
        EXPECT_EQ(answer.status, 202) << answer.body;
        jobs.push_back(answer.json().value("job", ""));
    }
    for (const std::string& id : jobs) {
        EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, id), "done");
        EXPECT_EQ(start_count(id, 0), 1);
    }
    EXPECT_GT(deployment->platform_stats()["answers_lost"], 5);
}

TEST_F(journal_test, job_refused_in_an_outage_runs_once_when_repeated) {
    start(small_options());
    deployment->inject_platform_fault({{"outage", true}});
    const std::string first = new_request_id();
    auto headers = caller_headers(BIG_ORG_KEY, first);
    headers["X-Attempt"] = "1";
    const auto refused =
        send_http_request({.method = "POST",
                           .url = deployment->gate_url(0) + "/v1/jobs",
                           .body = gang_job(50).dump(),
                           .headers = headers,
                           .timeout_ms = 8'000});
    EXPECT_EQ(refused.status, 503) << refused.body;
    EXPECT_EQ(refused.json()["run_state"], "not_run");
    // Without X-Attempt an earlier attempt may have run, so not_run is wrong.
    const auto repeat = submit(1, BIG_ORG_KEY, first, gang_job(50));
    EXPECT_NE(repeat.json()["run_state"], "not_run");
    EXPECT_GT(deployment->platform_stats()["outage_hits"], 0);
    deployment->inject_platform_fault({{"outage", false}});
    std::string id;
    ASSERT_TRUE(wait_until([&] {
        const auto answer = submit(2, BIG_ORG_KEY, first, gang_job(50));
        id = answer.json().value("job", "");
        return answer.status / 100 == 2;
    }));
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, id), "done");
    EXPECT_EQ(start_count(id, 0), 1);
}

TEST_F(journal_test, running_tasks_continue_during_a_log_outage) {
    start(small_options());
    const auto id = submit_accepted(0, BIG_ORG_KEY, gang_job(10'000));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 2; }));
    deployment->inject_platform_fault({{"outage", true}});
    const std::string request = new_request_id();
    // The outage outlasts a lease; checks are served meanwhile.
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2 * deployment->options().lease_ms));
    EXPECT_EQ(running_tasks(), 2);
    const auto answer = check(0, BIG_ORG_KEY, "",
                              {{"plan", "price-check"}, {"idempotent", true}});
    EXPECT_EQ(answer.status, 200) << answer.body;
    deployment->inject_platform_fault({{"outage", false}});
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, id), "done");
    EXPECT_EQ(start_count(id, 0), 1);
}

TEST_F(journal_test, state_is_restored_from_a_snapshot_after_retention) {
    cluster_options options = small_options();
    options.snapshot_records = 20;
    start(options);
    const auto ended = submit_accepted(0, BIG_ORG_KEY, gang_job(50));
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, ended), "done");
    const auto live = submit_accepted(1, BIG_ORG_KEY, gang_job(20'000));
    for (int i = 0; i < 30; ++i)
        submit_accepted(i % 6, BIG_ORG_KEY, gang_job(10));
    ASSERT_TRUE(wait_until([&] {
        return deployment->platform_stats()["streams"].contains("snapshots");
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    kill_all();
    // Drop the older records, which the snapshot covers.
    send_http_request(
        {.method = "POST",
         .url = deployment->platform_url() + "/admin/retain",
         .body = json({{"stream", "cell"}, {"keep", 25}}).dump()});
    start_all();
    json seen;
    ASSERT_TRUE(wait_until([&] {
        seen = job_status(0, BIG_ORG_KEY, ended);
        return seen.is_object() && seen.contains("outcome");
    }));
    EXPECT_EQ(seen["outcome"], "done");
    EXPECT_EQ(job_status(0, BIG_ORG_KEY, live).value("state", ""), "live");
    EXPECT_EQ(start_count(live, 0), 1);
}

TEST_F(journal_test, host_replaced_in_an_outage_loads_state_from_its_peers) {
    start(small_options());
    const auto id = submit_accepted(0, BIG_ORG_KEY, gang_job(20'000));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 2; }));
    deployment->inject_platform_fault({{"outage", true}});
    for (const program kind :
         {program::relay, program::gate, program::placer}) {
        deployment->signal_program(4, kind, SIGKILL);
        deployment->start_program(4, kind);
    }
    json seen;
    EXPECT_TRUE(wait_until([&] {
        seen = job_status(4, BIG_ORG_KEY, id);
        return seen.is_object() && seen.value("state", "") == "live";
    })) << seen.dump();
    EXPECT_GT(deployment->platform_stats()["outage_hits"], 0);
}

TEST_F(journal_test, cancellation_of_all_jobs_is_batched) {
    start(small_options());
    for (int i = 0; i < 200; ++i)
        submit_accepted(i % 6, BIG_ORG_KEY, gang_job(60'000));
    const auto before =
        deployment->platform_stats()["streams"]["cell"]["appends"]
            .get<std::int64_t>();
    const auto answer =
        send_http_request({.method = "POST",
                           .url = deployment->relay_url(0) + "/v1/cancel",
                           .body = R"({"team":"nairobi-coop"})",
                           .headers = {{"Authorization", "Bearer ops.demo"}}});
    ASSERT_EQ(answer.status, 202) << answer.body;
    EXPECT_EQ(answer.json()["cancelling"], 200);
    EXPECT_TRUE(wait_until([&] {
        const auto jobs =
            send_http_request({.url = deployment->gate_url(0) + "/v1/jobs",
                               .headers = caller_headers(BIG_ORG_KEY, "")})
                .json()["jobs"];
        return std::all_of(jobs.begin(), jobs.end(), [](const json& each) {
            return each["state"] == "ended";
        });
    }));
    EXPECT_EQ(running_tasks(), 0);
    const auto after =
        deployment->platform_stats()["streams"]["cell"]["appends"]
            .get<std::int64_t>();
    // 200 cancels and 200 ends are appended in groups, not one by one (400).
    EXPECT_LE(after - before, 100);
}

} // namespace rattan::standin
