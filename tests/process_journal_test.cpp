/** @file Jobs that outlive every process, and a log with faults. */
#include "process_fixture.hpp"

#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class journal_test : public process_test {
protected:
    json gang(int run_ms) {
        return {{"plan", "invoice-run"},
                {"tasks", 2},
                {"cores", 1},
                {"memory_mib", 128},
                {"payload", "run_ms=" + std::to_string(run_ms)}};
    }
    void kill_all() {
        for (int host = 0; host < deployment->hosts(); ++host)
            for (const program which :
                 {program::relay, program::gate, program::placer})
                deployment->kill_program(host, which, SIGKILL);
    }
    void start_all() {
        for (int host = 0; host < deployment->hosts(); ++host)
            for (const program which :
                 {program::relay, program::gate, program::placer})
                deployment->start_program(host, which);
    }
};

TEST_F(journal_test, accepted_jobs_outlive_every_entry_host) {
    start(small_options());
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i)
        jobs.push_back(accepted(i, BIG_ORG_KEY, gang(1'000)));
    kill_all();
    start_all();
    for (const std::string& id : jobs) {
        EXPECT_EQ(outcome(3, BIG_ORG_KEY, id), "done");
        EXPECT_EQ(starts(id, 0), 1);
        EXPECT_EQ(starts(id, 1), 1);
    }
}

TEST_F(journal_test, lost_append_answers_neither_lose_nor_double) {
    start(small_options());
    deployment->fault_platform({{"lose_answers", 20}});
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i) {
        const auto answer = submit(i, BIG_ORG_KEY, new_request_id(), gang(50));
        EXPECT_EQ(answer.status, 202) << answer.body;
        jobs.push_back(answer.json().value("job", ""));
    }
    for (const std::string& id : jobs) {
        EXPECT_EQ(outcome(0, BIG_ORG_KEY, id), "done");
        EXPECT_EQ(starts(id, 0), 1);
    }
    EXPECT_GT(deployment->platform_stats()["answers_lost"], 5);
}

TEST_F(journal_test, outage_refuses_truly_and_the_repeat_runs_once) {
    start(small_options());
    deployment->fault_platform({{"outage", true}});
    const std::string first = new_request_id();
    auto headers = caller_headers(BIG_ORG_KEY, first);
    headers["X-Attempt"] = "1";
    const auto refused = http_do({.method = "POST",
                                  .url = deployment->gate_url(0) + "/v1/jobs",
                                  .body = gang(50).dump(),
                                  .headers = headers,
                                  .timeout_ms = 8'000});
    EXPECT_EQ(refused.status, 503) << refused.body;
    EXPECT_EQ(refused.json()["run_state"], "not_run");
    // Without the word that it is a first sending nothing is promised.
    const auto repeat = submit(1, BIG_ORG_KEY, first, gang(50));
    EXPECT_NE(repeat.json()["run_state"], "not_run");
    EXPECT_GT(deployment->platform_stats()["outage_hits"], 0);
    deployment->fault_platform({{"outage", false}});
    std::string id;
    ASSERT_TRUE(wait_until([&] {
        const auto answer = submit(2, BIG_ORG_KEY, first, gang(50));
        id = answer.json().value("job", "");
        return answer.status / 100 == 2;
    }));
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, id), "done");
    EXPECT_EQ(starts(id, 0), 1);
}

TEST_F(journal_test, running_work_goes_on_through_an_outage) {
    start(small_options());
    const auto id = accepted(0, BIG_ORG_KEY, gang(10'000));
    ASSERT_TRUE(wait_until([&] { return running() == 2; }));
    deployment->fault_platform({{"outage", true}});
    const std::string request = new_request_id();
    // Longer than a lease, and checks are answered meanwhile.
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2 * deployment->options().lease_ms));
    EXPECT_EQ(running(), 2);
    const auto answer = check(0, BIG_ORG_KEY, "",
                              {{"plan", "price-check"}, {"idempotent", true}});
    EXPECT_EQ(answer.status, 200) << answer.body;
    deployment->fault_platform({{"outage", false}});
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, id), "done");
    EXPECT_EQ(starts(id, 0), 1);
}

TEST_F(journal_test, snapshots_outlive_the_retention_of_records) {
    cluster_options options = small_options();
    options.snapshot_records = 20;
    start(options);
    const auto ended = accepted(0, BIG_ORG_KEY, gang(50));
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, ended), "done");
    const auto live = accepted(1, BIG_ORG_KEY, gang(20'000));
    for (int i = 0; i < 30; ++i)
        accepted(i % 6, BIG_ORG_KEY, gang(10));
    ASSERT_TRUE(wait_until([&] {
        return deployment->platform_stats()["streams"].contains("snapshots");
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    kill_all();
    // Only what no snapshot stands for is still kept.
    http_do({.method = "POST",
             .url = deployment->platform_url() + "/admin/retain",
             .body = json({{"stream", "cell"}, {"keep", 25}}).dump()});
    start_all();
    json seen;
    ASSERT_TRUE(wait_until([&] {
        seen = job(0, BIG_ORG_KEY, ended);
        return seen.is_object() && seen.contains("outcome");
    }));
    EXPECT_EQ(seen["outcome"], "done");
    EXPECT_EQ(job(0, BIG_ORG_KEY, live).value("state", ""), "live");
    EXPECT_EQ(starts(live, 0), 1);
}

TEST_F(journal_test, a_host_replaced_in_an_outage_starts_from_its_peers) {
    start(small_options());
    const auto id = accepted(0, BIG_ORG_KEY, gang(20'000));
    ASSERT_TRUE(wait_until([&] { return running() == 2; }));
    deployment->fault_platform({{"outage", true}});
    for (const program which :
         {program::relay, program::gate, program::placer}) {
        deployment->kill_program(4, which, SIGKILL);
        deployment->start_program(4, which);
    }
    json seen;
    EXPECT_TRUE(wait_until([&] {
        seen = job(4, BIG_ORG_KEY, id);
        return seen.is_object() && seen.value("state", "") == "live";
    })) << seen.dump();
    EXPECT_GT(deployment->platform_stats()["outage_hits"], 0);
}

TEST_F(journal_test, cancellations_come_in_a_wave) {
    start(small_options());
    for (int i = 0; i < 200; ++i)
        accepted(i % 6, BIG_ORG_KEY, gang(60'000));
    const auto before =
        deployment->platform_stats()["streams"]["cell"]["appends"]
            .get<std::int64_t>();
    const auto answer =
        http_do({.method = "POST",
                 .url = deployment->relay_url(0) + "/v1/cancel",
                 .body = R"({"team":"nairobi-coop"})",
                 .headers = {{"Authorization", "Bearer ops.demo"}}});
    ASSERT_EQ(answer.status, 202) << answer.body;
    EXPECT_EQ(answer.json()["cancelling"], 200);
    EXPECT_TRUE(wait_until([&] {
        const auto jobs = http_do({.url = deployment->gate_url(0) + "/v1/jobs",
                                   .headers = caller_headers(BIG_ORG_KEY, "")})
                              .json()["jobs"];
        return std::all_of(jobs.begin(), jobs.end(), [](const json& each) {
            return each["state"] == "ended";
        });
    }));
    EXPECT_EQ(running(), 0);
    const auto after =
        deployment->platform_stats()["streams"]["cell"]["appends"]
            .get<std::int64_t>();
    // 200 cancels and 200 ends go in groups; single appends would be 400.
    EXPECT_LE(after - before, 100);
}

} // namespace rattan::standin
