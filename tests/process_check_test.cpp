/** @file Quick checks: at-most-once execution, runner faults, shutdown. */
#include "harness_load.hpp"
#include "process_fixture.hpp"

#include <atomic>
#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class check_test : public process_test {
protected:
    json named_check(const std::string& name, int work_ms = 0) {
        return {{"plan", "price-check"},
                {"deadline_ms", 1'000},
                {"input", {{"name", name}, {"work_ms", work_ms}}}};
    }
    int run_count(const std::string& name) {
        return deployment->audit()["check_runs"].value(name, 0);
    }
    void inject_runner_fault(const std::string& mode) {
        for (int i = 0; i < deployment->options().runners; ++i)
            deployment->inject_target_fault({{"runner", i}, {"mode", mode}});
    }
};

TEST_F(check_test, repeated_check_runs_once_across_gates) {
    start(small_options());
    for (int round = 0; round < 5; ++round) {
        const std::string request = new_request_id();
        std::vector<std::thread> callers;
        std::vector<blocking_response> answers(6);
        for (int host = 0; host < 6; ++host)
            callers.emplace_back([&, host] {
                answers[static_cast<size_t>(host)] =
                    check(host, BIG_ORG_KEY, request, named_check(request, 50));
            });
        for (std::thread& each : callers)
            each.join();
        for (const auto& answer : answers) {
            EXPECT_EQ(answer.status, 200) << answer.body;
            EXPECT_EQ(answer.json().value("ran", ""), request);
        }
        EXPECT_EQ(run_count(request), 1);
    }
}

TEST_F(check_test, repeat_after_gate_crash_does_not_run_again) {
    start(small_options());
    for (int victim = 0; victim < 6; ++victim) {
        const std::string request = new_request_id();
        std::thread caller([&] {
            check(victim, BIG_ORG_KEY, request, named_check(request, 300),
                  2'000);
        });
        ASSERT_TRUE(wait_until([&] { return run_count(request) == 1; }));
        deployment->signal_program(victim, program::gate, SIGKILL);
        caller.join();
        for (int host = 0; host < 6; ++host) {
            if (host == victim)
                continue;
            const auto repeat =
                check(host, BIG_ORG_KEY, request, named_check(request));
            if (repeat.status == 200) {
                EXPECT_EQ(repeat.json().value("ran", ""), request);
            } else {
                EXPECT_EQ(repeat.json()["run_state"], "may_have_run")
                    << repeat.body;
            }
        }
        EXPECT_EQ(run_count(request), 1);
        deployment->start_program(victim, program::gate);
        ASSERT_TRUE(wait_until([&] {
            return send_http_request(
                       {.url = deployment->gate_url(victim) + "/readyz"})
                       .status == 200;
        }));
        const auto late =
            check(victim, BIG_ORG_KEY, request, named_check(request));
        EXPECT_EQ(run_count(request), 1) << late.body;
    }
}

TEST_F(check_test, invalid_runner_responses_are_not_forwarded) {
    start(small_options());
    for (const std::string mode : {"crossed", "error", "hang"}) {
        inject_runner_fault(mode);
        const std::string request = new_request_id();
        const auto answer =
            check(0, BIG_ORG_KEY, request, named_check(request));
        EXPECT_EQ(answer.status, 504) << mode << ": " << answer.body;
        EXPECT_EQ(answer.json()["run_state"], "may_have_run");
        EXPECT_EQ(run_count(request), 1) << mode;
    }
    EXPECT_GE(deployment->audit()["runner_faults_hit"], 3);
    inject_runner_fault("");
    EXPECT_TRUE(wait_until([&] {
        const std::string request = new_request_id();
        return check(0, BIG_ORG_KEY, request, named_check(request)).status ==
               200;
    }));
}

TEST_F(check_test, check_refused_by_runners_is_not_run_and_can_be_repeated) {
    start(small_options());
    inject_runner_fault("refuse");
    const std::string request = new_request_id();
    const auto answer = check(0, BIG_ORG_KEY, request, named_check(request));
    EXPECT_EQ(answer.status, 503) << answer.body;
    EXPECT_EQ(answer.json()["run_state"], "not_run");
    EXPECT_EQ(run_count(request), 0);
    EXPECT_GT(deployment->audit()["runner_faults_hit"], 0);
    inject_runner_fault("");
    EXPECT_TRUE(wait_until([&] {
        return check(0, BIG_ORG_KEY, request, named_check(request)).status ==
               200;
    }));
    EXPECT_EQ(run_count(request), 1);
}

TEST_F(check_test, check_without_response_is_not_resent) {
    start(small_options());
    // Every gate opens and keeps connections; then the runners hang.
    for (int i = 0; i < 12; ++i)
        check(i % 6, BIG_ORG_KEY, new_request_id(), named_check("warm"));
    inject_runner_fault("hang");
    const std::string request = new_request_id();
    const auto answer = check(1, BIG_ORG_KEY, request, named_check(request));
    EXPECT_EQ(answer.json()["run_state"], "may_have_run") << answer.body;
    EXPECT_EQ(run_count(request), 1);
}

TEST_F(check_test, graceful_shutdown_fails_no_request) {
    start(small_options());
    std::atomic<bool> stop{false};
    std::atomic<int> failed{0};
    std::atomic<int> answered{0};
    // Callers behind a load balancer that is late to drop the leaving gate.
    std::vector<std::thread> callers;
    std::atomic<bool> use_leaving_gate{true};
    for (int i = 0; i < 8; ++i)
        callers.emplace_back([&, i] {
            while (!stop) {
                const int host = use_leaving_gate && i % 2 == 0 ? 0 : 3;
                const auto answer = check(host, BIG_ORG_KEY, "",
                                          {{"plan", "price-check"},
                                           {"idempotent", true},
                                           {"input", {{"work_ms", 20}}}});
                if (answer.status == 200)
                    ++answered;
                else
                    ++failed;
            }
        });
    ASSERT_TRUE(wait_until([&] { return answered > 40; }));
    deployment->signal_program(0, program::gate, SIGTERM);
    ASSERT_TRUE(wait_until([&] {
        return send_http_request({.url = deployment->gate_url(0) + "/readyz"})
                   .status == 503;
    }));
    const int before = answered;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_GT(answered, before);
    use_leaving_gate = false;
    EXPECT_EQ(deployment->wait_for_exit(0, program::gate), 0);
    stop = true;
    for (std::thread& each : callers)
        each.join();
    EXPECT_EQ(failed, 0);
}

TEST_F(check_test, overload_is_refused_within_the_slot_limit) {
    start(small_options());
    // Capacity: 6 runners x 8 slots / 20 ms per check = 2,400 checks/s.
    std::vector<std::string> gates;
    for (int host = 0; host < 6; ++host)
        gates.push_back(deployment->gate_url(host));
    const load_report report =
        run_load({.gates = gates,
                  .keys = {BIG_ORG_KEY, "mombasa-coop-1.demo-mombasa-coop"},
                  .plan = "price-check",
                  .checks_per_s = 4'000,
                  .duration_ms = 1'500,
                  .work_ms = 20,
                  .deadline_ms = 200,
                  .idempotent = true});
    EXPECT_GT(report.statuses.count(200), 0);
    EXPECT_GT(report.statuses.count(429) + report.statuses.count(503), 0);
    EXPECT_EQ(report.statuses.count(0), 0);
    EXPECT_EQ(deployment->audit()["slots_exceeded"], 0);
}

} // namespace rattan::standin
