/** @file Quotas across the fleet, leaving and failing workers. */
#include "harness_load.hpp"
#include "process_fixture.hpp"

#include <atomic>
#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class quota_test : public process_test {
protected:
    json watch_job(int tasks, int cores) {
        return {{"plan", "curing-watch"},
                {"tasks", tasks},
                {"cores", cores},
                {"memory_mib", 128}};
    }
    int peak_cores(const std::string& organisation) {
        const auto organisations = deployment->audit()["teams"];
        return organisations.contains(organisation)
                   ? organisations[organisation]["most_cores"].get<int>()
                   : 0;
    }
    std::int64_t config_version() {
        return send_http_request(
                   {.url = deployment->relay_url(0) + "/v1/config",
                    .headers = {{"Authorization", "Bearer ops.demo"}}})
            .json()["version"];
    }
};

TEST_F(quota_test, running_tasks_reach_and_never_exceed_the_limit) {
    start(small_options());
    // The limit of eldoret-shops is 100 cores; 12 watches x 16 ask for 192.
    for (int i = 0; i < 12; ++i)
        submit_accepted(i % 6, SMALL_ORG_KEY, watch_job(8, 2));
    EXPECT_TRUE(wait_until([&] { return running_tasks() == 50; }))
        << running_tasks();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    EXPECT_EQ(running_tasks(), 50);
    EXPECT_EQ(peak_cores("eldoret-shops"), 100);
}

TEST_F(quota_test, limit_holds_when_the_owning_placers_are_killed) {
    start(small_options());
    for (int i = 0; i < 12; ++i)
        submit_accepted(i % 6, SMALL_ORG_KEY, watch_job(8, 2));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 50; }));
    for (int centre = 0; centre < 3; ++centre)
        deployment->signal_program(owner_host(centre), program::placer,
                                   SIGKILL);
    ASSERT_TRUE(wait_until([&] {
        return owner_host(0) >= 0 && owner_host(1) >= 0 && owner_host(2) >= 0;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    EXPECT_EQ(peak_cores("eldoret-shops"), 100);
    EXPECT_EQ(running_tasks(), 50);
}

TEST_F(quota_test, lowered_limit_is_reached_and_not_exceeded_again) {
    start(small_options());
    for (int i = 0; i < 12; ++i)
        submit_accepted(i % 6, SMALL_ORG_KEY, watch_job(8, 2));
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 50; }));
    json organisation = deployment->declarations()["teams"]["eldoret-shops"];
    organisation["limits"]["cores"] = 40;
    ASSERT_EQ(
        deployment
            ->publish_change(config_version(),
                             {{"teams", {{"eldoret-shops", organisation}}}},
                             json::object())
            .status,
        200);
    EXPECT_TRUE(wait_until([&] { return running_tasks() <= 20; }))
        << running_tasks();
    for (int i = 0; i < 20; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        EXPECT_LE(running_tasks(), 20);
    }
}

TEST_F(quota_test, checks_stay_within_a_limit_below_the_number_of_gates) {
    start(small_options());
    // The limit is two concurrent checks, shared by six gates.
    std::vector<std::string> gates;
    for (int host = 0; host < 6; ++host)
        gates.push_back(deployment->gate_url(host));
    std::vector<std::thread> callers;
    std::atomic<int> answered{0};
    for (int i = 0; i < 12; ++i)
        callers.emplace_back([&, i] {
            for (int round = 0; round < 5; ++round) {
                const auto answer =
                    check(i % 6, SMALL_ORG_KEY, "",
                          {{"plan", "price-check"},
                           {"idempotent", true},
                           {"deadline_ms", 1'000},
                           {"input", {{"work_ms", 10}, {"team", "eldoret"}}}});
                if (answer.status == 200)
                    ++answered;
            }
        });
    for (std::thread& each : callers)
        each.join();
    EXPECT_LE(deployment->audit()["most_checks"]["eldoret"], 2);
    EXPECT_GT(answered, 6);
}

TEST_F(quota_test, leaving_worker_is_drained_and_gets_no_new_tasks) {
    start(small_options());
    json job = watch_job(2, 1);
    job["data_centre"] = "nairobi-1";
    const auto id = submit_accepted(0, BIG_ORG_KEY, job);
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 2; }));
    deployment->update_host_list({0});
    // Its tasks move to worker 3, the other one in that data centre.
    EXPECT_TRUE(wait_until([&] {
        const auto places =
            this->job_status(0, BIG_ORG_KEY, id)["placement"]["places"];
        return places.size() == 2 && places["0"]["worker"] == "worker-3" &&
               places["1"]["worker"] == "worker-3" && running_tasks() == 2;
    }));
    for (int i = 0; i < 4; ++i)
        submit_accepted(i, BIG_ORG_KEY, job);
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 10; }));
    const int owner = owner_host(0);
    const auto dump =
        send_http_request({.url = deployment->placer_url(owner) + "/dump"})
            .json();
    EXPECT_TRUE(dump["workers"]["worker-0"]["tasks"].empty());
    EXPECT_TRUE(dump["workers"]["worker-0"]["leaving"].get<bool>());
}

TEST_F(quota_test, worker_that_fails_all_tasks_is_avoided) {
    start(small_options());
    deployment->inject_target_fault({{"worker", 0}, {"mode", "fail"}});
    std::vector<std::string> jobs;
    for (int i = 0; i < 20; ++i)
        jobs.push_back(submit_accepted(i % 6, BIG_ORG_KEY,
                                       {{"plan", "tender-pricing"},
                                        {"tasks", 1},
                                        {"cores", 1},
                                        {"memory_mib", 128},
                                        {"data_centre", "nairobi-1"},
                                        {"payload", "run_ms=20"}}));
    int done = 0;
    for (const std::string& id : jobs)
        done += wait_for_outcome(0, BIG_ORG_KEY, id) == "done" ? 1 : 0;
    EXPECT_GE(done, 18);
    const int owner = owner_host(0);
    EXPECT_GE(placer_counter(owner, "workers_avoided"), 1);
}

} // namespace rattan::standin
