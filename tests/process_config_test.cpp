/** @file Configuration changes: keys, data centres, versions, isolation. */
#include "process_fixture.hpp"

#include "harness_tcp_proxy.hpp"

#include <csignal>

namespace rattan::standin {

using nlohmann::json;

/** Requirement: a change is in force at every gate within this time. */
constexpr int CONFIG_PROPAGATION_MS = 3'000;

class config_test : public process_test {
protected:
    json idempotent_check() {
        return {{"plan", "price-check"}, {"idempotent", true}};
    }
    std::int64_t config_version() {
        return send_http_request(
                   {.url = deployment->relay_url(0) + "/v1/config",
                    .headers = {{"Authorization", "Bearer ops.demo"}}})
            .json()["version"];
    }
    json data_centre_change(bool in_service) {
        json entry = deployment->declarations()["data_centres"]["nairobi-1"];
        entry["in_service"] = in_service;
        return {{"data_centres", {{"nairobi-1", entry}}}};
    }
    json gang_job(int run_ms, const std::string& plan = "tender-pricing") {
        return {{"plan", plan},
                {"tasks", 2},
                {"cores", 1},
                {"memory_mib", 128},
                {"payload", "run_ms=" + std::to_string(run_ms)}};
    }
};

TEST_F(config_test, withdrawn_key_is_refused_by_every_gate) {
    start(small_options());
    for (int host = 0; host < 6; ++host)
        EXPECT_EQ(check(host, OTHER_ORG_KEY, "", idempotent_check()).status,
                  200);
    const auto answer = deployment->publish_change(
        config_version(), json::object(), {{"keys", {"kisumu-coop-1"}}});
    ASSERT_EQ(answer.status, 200) << answer.body;
    for (int host = 0; host < 6; ++host) {
        EXPECT_TRUE(wait_until(
            [&] {
                return check(host, OTHER_ORG_KEY, "", idempotent_check())
                           .status == 401;
            },
            CONFIG_PROPAGATION_MS));
        EXPECT_EQ(check(host, BIG_ORG_KEY, "", idempotent_check()).status, 200);
    }
    const auto job = submit(0, OTHER_ORG_KEY, new_request_id(), gang_job(10));
    EXPECT_EQ(job.status, 401) << job.body;
}

TEST_F(config_test, resumed_gate_does_not_accept_a_withdrawn_key) {
    start(small_options());
    EXPECT_EQ(check(3, OTHER_ORG_KEY, "", idempotent_check()).status, 200);
    // Pause the relay too, so that the gate can't learn of the change from it.
    for (const program kind : {program::relay, program::gate})
        deployment->signal_program(3, kind, SIGSTOP);
    ASSERT_EQ(deployment
                  ->publish_change(config_version(), json::object(),
                                   {{"keys", {"kisumu-coop-1"}}})
                  .status,
              200);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(CONFIG_PROPAGATION_MS + 500));
    // The request is already queued when the gate resumes.
    blocking_response answer;
    std::thread caller(
        [&] { answer = check(3, OTHER_ORG_KEY, "", idempotent_check()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    deployment->signal_program(3, program::gate, SIGCONT);
    deployment->signal_program(3, program::relay, SIGCONT);
    caller.join();
    EXPECT_TRUE(answer.status == 503 || answer.status == 401) << answer.body;
    EXPECT_EQ(deployment->audit()["checks"], 1);
}

TEST_F(config_test, one_of_concurrent_changes_is_accepted) {
    start(small_options());
    const auto base = config_version();
    std::vector<blocking_response> answers(6);
    std::vector<std::thread> operators;
    for (int host = 0; host < 6; ++host)
        operators.emplace_back([&, host] {
            const std::string name = "racer-" + std::to_string(host);
            answers[static_cast<size_t>(host)] = deployment->publish_change(
                base,
                {{"teams",
                  {{name,
                    {{"weight", 1},
                     {"limits", {{"cores", 1}, {"checks", 1}}}}}}}},
                json::object(), host);
        });
    for (std::thread& each : operators)
        each.join();
    int won = 0;
    json winner;
    for (const auto& answer : answers) {
        if (answer.status != 200)
            continue;
        ++won;
        winner = answer.json();
    }
    ASSERT_EQ(won, 1);
    for (const auto& answer : answers) {
        if (answer.status == 200)
            continue;
        EXPECT_EQ(answer.status, 409) << answer.body;
        EXPECT_EQ(answer.json()["verdict"], "base_changed");
        EXPECT_EQ(answer.json()["version"], winner["version"]);
    }
}

TEST_F(config_test, version_never_decreases_after_restarts_or_lost_responses) {
    start(small_options());
    deployment->inject_platform_fault({{"lose_answers", 3}});
    const auto answer = deployment->publish_change(
        config_version(), data_centre_change(false), json::object());
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_GT(deployment->platform_stats()["answers_lost"], 0);
    const auto published = answer.json()["version"].get<std::int64_t>();
    for (int host = 0; host < 6; ++host)
        EXPECT_TRUE(wait_until([&] { return gate_version(host) == published; },
                               CONFIG_PROPAGATION_MS));
    // A host replaced during a log outage loads its state from its peers.
    deployment->inject_platform_fault({{"outage", true}});
    for (const program kind : {program::relay, program::gate}) {
        deployment->signal_program(2, kind, SIGKILL);
        deployment->start_program(2, kind);
    }
    std::int64_t seen = 0;
    ASSERT_TRUE(wait_until([&] {
        const auto now = gate_version(2);
        EXPECT_TRUE(now == 0 || now >= published) << now;
        seen = now;
        return now != 0;
    }));
    EXPECT_EQ(seen, published);
    deployment->inject_platform_fault({{"outage", false}});
}

TEST_F(config_test, invalid_change_is_refused) {
    start(small_options());
    const auto before = config_version();
    const auto answer = deployment->publish_change(
        before, {{"teams", {{"broken", {{"weight", -4}}}}}}, json::object());
    EXPECT_EQ(answer.status, 409) << answer.body;
    EXPECT_EQ(answer.json()["verdict"], "malformed");
    for (int host = 0; host < 6; ++host)
        EXPECT_EQ(gate_version(host), before);
}

TEST_F(config_test, no_task_starts_in_a_data_centre_out_of_service) {
    start(small_options());
    // Workers 0 and 3 belong to the first data centre.
    const auto movable_job = submit_accepted(0, BIG_ORG_KEY, [&] {
        json job = gang_job(60'000);
        job["data_centre"] = "nairobi-1";
        return job;
    }());
    ASSERT_TRUE(wait_until([&] { return running_tasks() == 2; }));
    ASSERT_EQ(deployment
                  ->publish_change(config_version(), data_centre_change(false),
                                   json::object())
                  .status,
              200);
    // Tasks that may move are restarted in another data centre.
    EXPECT_TRUE(wait_until([&] {
        return job_status(2, BIG_ORG_KEY, movable_job)
                       .value("data_centre", "") != "nairobi-1" &&
               running_tasks() == 2;
    }));
    for (int i = 0; i < 12; ++i) {
        const auto id = submit_accepted(i % 6, BIG_ORG_KEY, gang_job(50));
        EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, id), "done");
        EXPECT_NE(job_status(0, BIG_ORG_KEY, id).value("data_centre", ""),
                  "nairobi-1");
    }
    const int owner = owner_host(0);
    ASSERT_GE(owner, 0);
    const auto placed = placer_counter(owner, "placements");
    EXPECT_EQ(placed, 1);
    // Gates there send checks to other data centres.
    EXPECT_EQ(check(0, BIG_ORG_KEY, "", idempotent_check()).status, 200);
    const auto returned = deployment->publish_change(
        config_version(), data_centre_change(true), json::object());
    ASSERT_EQ(returned.status, 200);
    ASSERT_TRUE(wait_until(
        [&] { return gate_version(3) == returned.json()["version"]; },
        CONFIG_PROPAGATION_MS));
    json back = gang_job(50);
    back["data_centre"] = "nairobi-1";
    const auto id = submit_accepted(3, BIG_ORG_KEY, back);
    EXPECT_EQ(wait_for_outcome(0, BIG_ORG_KEY, id), "done");
}

TEST_F(config_test, host_without_log_reads_from_its_peers) {
    cluster_options options = small_options();
    deployment = std::make_unique<cluster>(options);
    const int port = options.base_port + 160;
    tcp_proxy proxy(port, options.base_port + 150);
    deployment->adjust_settings = [port](int host, program kind,
                                         std::string& yaml) {
        if (host != 5 || kind != program::relay)
            return;
        const size_t at = yaml.find("platform: ");
        yaml.replace(at, yaml.find('\n', at) - at,
                     "platform: http://127.0.0.1:" + std::to_string(port));
    };
    deployment->start();
    proxy.set(proxy_mode::discard);
    ASSERT_EQ(deployment
                  ->publish_change(config_version(), json::object(),
                                   {{"keys", {"kisumu-coop-1"}}})
                  .status,
              200);
    // Pending log reads time out first; then it reads from its peers.
    EXPECT_TRUE(wait_until(
        [&] {
            return check(5, OTHER_ORG_KEY, "", idempotent_check()).status ==
                   401;
        },
        CONFIG_PROPAGATION_MS));
    EXPECT_GT(proxy.interruptions(), 0);
    EXPECT_EQ(check(5, BIG_ORG_KEY, "", idempotent_check()).status, 200);
}

TEST_F(config_test, gate_refuses_after_the_isolation_limit) {
    cluster_options options = small_options();
    deployment = std::make_unique<cluster>(options);
    deployment->start();
    json cell = deployment->declarations()["cell"];
    cell["isolation_limit_s"] = 5;
    ASSERT_EQ(deployment
                  ->publish_change(config_version(),
                                   {{"cell", {{"cell", cell}}}}, json::object())
                  .status,
              409); // `cell` has no nested `cell`: refused
    json set = {{"cell", {{"isolation_limit_s", 5}}}};
    ASSERT_EQ(deployment->publish_change(config_version(), set, json::object())
                  .status,
              200);
    deployment->inject_platform_fault({{"outage", true}});
    EXPECT_EQ(check(0, BIG_ORG_KEY, "", idempotent_check()).status, 200);
    EXPECT_TRUE(wait_until([&] {
        return check(0, BIG_ORG_KEY, "", idempotent_check()).status == 503;
    }));
    deployment->inject_platform_fault({{"outage", false}});
    EXPECT_TRUE(wait_until([&] {
        return check(0, BIG_ORG_KEY, "", idempotent_check()).status == 200;
    }));
}

/** Guards against an age of the state that counts from the machine's boot. */
TEST_F(config_test, host_replaced_in_an_outage_serves_up_to_the_limit) {
    start(small_options());
    const json set = {{"cell", {{"isolation_limit_s", 20}}}};
    ASSERT_EQ(deployment->publish_change(config_version(), set, json::object())
                  .status,
              200);
    const auto job = submit_accepted(0, BIG_ORG_KEY, gang_job(60'000));
    deployment->inject_platform_fault({{"outage", true}});
    deployment->signal_program(4, program::gate, SIGKILL);
    deployment->signal_program(4, program::relay, SIGKILL);
    deployment->start_program(4, program::relay);
    // Otherwise the gate may read from the relay of another host.
    ASSERT_TRUE(wait_until([&] {
        const json relay =
            send_http_request({.url = deployment->relay_url(4) + "/v1/state"})
                .json();
        return relay.is_object() && relay.value("ready", false);
    }));
    deployment->start_program(4, program::gate);
    json seen;
    const auto is_live = [&] {
        seen = job_status(4, BIG_ORG_KEY, job);
        return seen.is_object() && seen.value("state", "") == "live";
    };
    EXPECT_TRUE(wait_until(is_live)) << seen.dump();
    // A valid key is not refused as such.
    EXPECT_TRUE(wait_until([&] { return !is_live(); }, 25'000)) << seen.dump();
    EXPECT_EQ(seen.value("title", ""), "stale") << seen.dump();
}

} // namespace rattan::standin
