/** @file Quick checks: at most once, whole answers, leaving gates. */
#include "harness_load.hpp"
#include "process_fixture.hpp"

#include <atomic>
#include <csignal>

namespace rattan::standin {

using nlohmann::json;

class check_test : public process_test {
protected:
    json named(const std::string& name, int work_ms = 0) {
        return {{"plan", "price-check"},
                {"deadline_ms", 1'000},
                {"input", {{"name", name}, {"work_ms", work_ms}}}};
    }
    int runs(const std::string& name) {
        return deployment->audit()["check_runs"].value(name, 0);
    }
    void fault_runners(const std::string& mode) {
        for (int i = 0; i < deployment->options().runners; ++i)
            deployment->fault_targets({{"runner", i}, {"mode", mode}});
    }
};

TEST_F(check_test, repeats_at_any_gate_run_once) {
    start(small_options());
    for (int round = 0; round < 5; ++round) {
        const std::string request = new_request_id();
        std::vector<std::thread> callers;
        std::vector<blocking_answer> answers(6);
        for (int host = 0; host < 6; ++host)
            callers.emplace_back([&, host] {
                answers[static_cast<size_t>(host)] =
                    check(host, BIG_ORG_KEY, request, named(request, 50));
            });
        for (std::thread& each : callers)
            each.join();
        for (const auto& answer : answers) {
            EXPECT_EQ(answer.status, 200) << answer.body;
            EXPECT_EQ(answer.json().value("ran", ""), request);
        }
        EXPECT_EQ(runs(request), 1);
    }
}

TEST_F(check_test, repeat_after_the_first_gate_died_runs_no_second_time) {
    start(small_options());
    for (int victim = 0; victim < 6; ++victim) {
        const std::string request = new_request_id();
        std::thread caller([&] {
            check(victim, BIG_ORG_KEY, request, named(request, 300), 2'000);
        });
        ASSERT_TRUE(wait_until([&] { return runs(request) == 1; }));
        deployment->kill_program(victim, program::gate, SIGKILL);
        caller.join();
        for (int host = 0; host < 6; ++host) {
            if (host == victim)
                continue;
            const auto repeat =
                check(host, BIG_ORG_KEY, request, named(request));
            if (repeat.status == 200) {
                EXPECT_EQ(repeat.json().value("ran", ""), request);
            } else {
                EXPECT_EQ(repeat.json()["run_state"], "may_have_run")
                    << repeat.body;
            }
        }
        EXPECT_EQ(runs(request), 1);
        deployment->start_program(victim, program::gate);
        ASSERT_TRUE(wait_until([&] {
            return http_do({.url = deployment->gate_url(victim) + "/readyz"})
                       .status == 200;
        }));
        const auto late = check(victim, BIG_ORG_KEY, request, named(request));
        EXPECT_EQ(runs(request), 1) << late.body;
    }
}

TEST_F(check_test, wrong_answers_are_never_handed_on) {
    start(small_options());
    for (const std::string mode : {"crossed", "error", "hang"}) {
        fault_runners(mode);
        const std::string request = new_request_id();
        const auto answer = check(0, BIG_ORG_KEY, request, named(request));
        EXPECT_EQ(answer.status, 504) << mode << ": " << answer.body;
        EXPECT_EQ(answer.json()["run_state"], "may_have_run");
        EXPECT_EQ(runs(request), 1) << mode;
    }
    EXPECT_GE(deployment->audit()["runner_faults_hit"], 3);
    fault_runners("");
    EXPECT_TRUE(wait_until([&] {
        const std::string request = new_request_id();
        return check(0, BIG_ORG_KEY, request, named(request)).status == 200;
    }));
}

TEST_F(check_test, busy_runners_refuse_truly_and_are_tried_elsewhere) {
    start(small_options());
    fault_runners("refuse");
    const std::string request = new_request_id();
    const auto answer = check(0, BIG_ORG_KEY, request, named(request));
    EXPECT_EQ(answer.status, 503) << answer.body;
    EXPECT_EQ(answer.json()["run_state"], "not_run");
    EXPECT_EQ(runs(request), 0);
    EXPECT_GT(deployment->audit()["runner_faults_hit"], 0);
    fault_runners("");
    EXPECT_TRUE(wait_until([&] {
        return check(0, BIG_ORG_KEY, request, named(request)).status == 200;
    }));
    EXPECT_EQ(runs(request), 1);
}

TEST_F(check_test, killed_connections_are_not_sent_again) {
    start(small_options());
    // Every gate keeps connections; then the targets die under them.
    for (int i = 0; i < 12; ++i)
        check(i % 6, BIG_ORG_KEY, new_request_id(), named("warm"));
    fault_runners("hang");
    const std::string request = new_request_id();
    const auto answer = check(1, BIG_ORG_KEY, request, named(request));
    EXPECT_EQ(answer.json()["run_state"], "may_have_run") << answer.body;
    EXPECT_EQ(runs(request), 1);
}

TEST_F(check_test, graceful_shutdown_cuts_no_request) {
    start(small_options());
    std::atomic<bool> stop{false};
    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    // Callers behind a balancer that notices the leaving gate late.
    std::vector<std::thread> callers;
    std::atomic<bool> sends_to_first{true};
    for (int i = 0; i < 8; ++i)
        callers.emplace_back([&, i] {
            while (!stop) {
                const int host = sends_to_first && i % 2 == 0 ? 0 : 3;
                const auto answer = check(host, BIG_ORG_KEY, "",
                                          {{"plan", "price-check"},
                                           {"idempotent", true},
                                           {"input", {{"work_ms", 20}}}});
                if (answer.status == 200)
                    ++answered;
                else
                    ++cut;
            }
        });
    ASSERT_TRUE(wait_until([&] { return answered > 40; }));
    deployment->kill_program(0, program::gate, SIGTERM);
    ASSERT_TRUE(wait_until([&] {
        return http_do({.url = deployment->gate_url(0) + "/readyz"}).status ==
               503;
    }));
    const int before = answered;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_GT(answered, before);
    sends_to_first = false;
    EXPECT_EQ(deployment->wait_program(0, program::gate), 0);
    stop = true;
    for (std::thread& each : callers)
        each.join();
    EXPECT_EQ(cut, 0);
}

TEST_F(check_test, overload_is_refused_early_and_slots_are_kept) {
    start(small_options());
    // 6 runners with 8 slots and 20 ms a check take 2,400 a second.
    std::vector<std::string> gates;
    for (int host = 0; host < 6; ++host)
        gates.push_back(deployment->gate_url(host));
    const load_report report =
        run_load({.gates = gates,
                  .keys = {BIG_ORG_KEY, "mombasa-coop-1.demo-mombasa-coop"},
                  .plan = "price-check",
                  .rate = 4'000,
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
