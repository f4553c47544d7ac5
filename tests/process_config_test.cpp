/** @file Keys, data centres and versions in force. */
#include "process_fixture.hpp"

#include "harness_cut.hpp"

#include <csignal>

namespace rattan::standin {

using nlohmann::json;

/** Stated by the letter: in force everywhere within this. */
constexpr int IN_FORCE_MS = 3'000;

class config_test : public process_test {
protected:
    json ping_check() {
        return {{"plan", "price-check"}, {"idempotent", true}};
    }
    std::int64_t version() {
        return http_do({.url = deployment->relay_url(0) + "/v1/config",
                        .headers = {{"Authorization", "Bearer ops.demo"}}})
            .json()["version"];
    }
    json centre(bool in_service) {
        json entry = deployment->declarations()["data_centres"]["nairobi-1"];
        entry["in_service"] = in_service;
        return {{"data_centres", {{"nairobi-1", entry}}}};
    }
    json gang(int run_ms, const std::string& plan = "tender-pricing") {
        return {{"plan", plan},
                {"tasks", 2},
                {"cores", 1},
                {"memory_mib", 128},
                {"payload", "run_ms=" + std::to_string(run_ms)}};
    }
};

TEST_F(config_test, withdrawn_key_stops_at_every_gate) {
    start(small_options());
    for (int host = 0; host < 6; ++host)
        EXPECT_EQ(check(host, OTHER_ORG_KEY, "", ping_check()).status, 200);
    const auto answer = deployment->publish_change(
        version(), json::object(), {{"keys", {"kisumu-coop-1"}}});
    ASSERT_EQ(answer.status, 200) << answer.body;
    for (int host = 0; host < 6; ++host) {
        EXPECT_TRUE(wait_until(
            [&] {
                return check(host, OTHER_ORG_KEY, "", ping_check()).status ==
                       401;
            },
            IN_FORCE_MS));
        EXPECT_EQ(check(host, BIG_ORG_KEY, "", ping_check()).status, 200);
    }
    const auto job = submit(0, OTHER_ORG_KEY, new_request_id(), gang(10));
    EXPECT_EQ(job.status, 401) << job.body;
}

TEST_F(config_test, gate_resumed_after_a_pause_does_not_take_an_old_key) {
    start(small_options());
    EXPECT_EQ(check(3, OTHER_ORG_KEY, "", ping_check()).status, 200);
    // The whole entry host pauses, so that its relay knows no better.
    for (const program which : {program::relay, program::gate})
        deployment->kill_program(3, which, SIGSTOP);
    ASSERT_EQ(deployment
                  ->publish_change(version(), json::object(),
                                   {{"keys", {"kisumu-coop-1"}}})
                  .status,
              200);
    std::this_thread::sleep_for(std::chrono::milliseconds(IN_FORCE_MS + 500));
    // A request already waits when the gate comes back.
    blocking_answer answer;
    std::thread caller(
        [&] { answer = check(3, OTHER_ORG_KEY, "", ping_check()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    deployment->kill_program(3, program::gate, SIGCONT);
    deployment->kill_program(3, program::relay, SIGCONT);
    caller.join();
    EXPECT_TRUE(answer.status == 503 || answer.status == 401) << answer.body;
    EXPECT_EQ(deployment->audit()["checks"], 1);
}

TEST_F(config_test, racing_operators_give_one_winner_and_a_clear_refusal) {
    start(small_options());
    const auto base = version();
    std::vector<blocking_answer> answers(6);
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

TEST_F(config_test, version_never_falls_over_restarts_and_lost_answers) {
    start(small_options());
    deployment->fault_platform({{"lose_answers", 3}});
    const auto answer =
        deployment->publish_change(version(), centre(false), json::object());
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_GT(deployment->platform_stats()["answers_lost"], 0);
    const auto published = answer.json()["version"].get<std::int64_t>();
    for (int host = 0; host < 6; ++host)
        EXPECT_TRUE(wait_until([&] { return gate_version(host) == published; },
                               IN_FORCE_MS));
    // The log is away when a host is replaced: it starts from its peers.
    deployment->fault_platform({{"outage", true}});
    for (const program which : {program::relay, program::gate}) {
        deployment->kill_program(2, which, SIGKILL);
        deployment->start_program(2, which);
    }
    std::int64_t seen = 0;
    ASSERT_TRUE(wait_until([&] {
        const auto now = gate_version(2);
        EXPECT_TRUE(now == 0 || now >= published) << now;
        seen = now;
        return now != 0;
    }));
    EXPECT_EQ(seen, published);
    deployment->fault_platform({{"outage", false}});
}

TEST_F(config_test, invalid_change_is_refused_by_all) {
    start(small_options());
    const auto before = version();
    const auto answer = deployment->publish_change(
        before, {{"teams", {{"broken", {{"weight", -4}}}}}}, json::object());
    EXPECT_EQ(answer.status, 409) << answer.body;
    EXPECT_EQ(answer.json()["verdict"], "malformed");
    for (int host = 0; host < 6; ++host)
        EXPECT_EQ(gate_version(host), before);
}

TEST_F(config_test, nothing_starts_where_operators_took_it_out) {
    start(small_options());
    // Workers 0 and 3 belong to the first data centre.
    const auto moving = accepted(0, BIG_ORG_KEY, [&] {
        json job = gang(60'000);
        job["data_centre"] = "nairobi-1";
        return job;
    }());
    ASSERT_TRUE(wait_until([&] { return running() == 2; }));
    ASSERT_EQ(
        deployment->publish_change(version(), centre(false), json::object())
            .status,
        200);
    // What may move starts again elsewhere.
    EXPECT_TRUE(wait_until([&] {
        return job(2, BIG_ORG_KEY, moving).value("data_centre", "") !=
                   "nairobi-1" &&
               running() == 2;
    }));
    for (int i = 0; i < 12; ++i) {
        const auto id = accepted(i % 6, BIG_ORG_KEY, gang(50));
        EXPECT_EQ(outcome(0, BIG_ORG_KEY, id), "done");
        EXPECT_NE(job(0, BIG_ORG_KEY, id).value("data_centre", ""),
                  "nairobi-1");
    }
    const int owner = owner_host(0);
    ASSERT_GE(owner, 0);
    const auto placed = placer_counter(owner, "placements");
    EXPECT_EQ(placed, 1);
    // Checks of its gates go to other data centres.
    EXPECT_EQ(check(0, BIG_ORG_KEY, "", ping_check()).status, 200);
    const auto returned =
        deployment->publish_change(version(), centre(true), json::object());
    ASSERT_EQ(returned.status, 200);
    ASSERT_TRUE(wait_until(
        [&] { return gate_version(3) == returned.json()["version"]; },
        IN_FORCE_MS));
    json back = gang(50);
    back["data_centre"] = "nairobi-1";
    const auto id = accepted(3, BIG_ORG_KEY, back);
    EXPECT_EQ(outcome(0, BIG_ORG_KEY, id), "done");
}

TEST_F(config_test, cut_off_host_learns_from_its_peers) {
    cluster_options options = small_options();
    deployment = std::make_unique<cluster>(options);
    const int port = options.base_port + 160;
    cut_relay cut(port, options.base_port + 150);
    deployment->adjust_settings = [port](int host, program which,
                                         std::string& yaml) {
        if (host != 5 || which != program::relay)
            return;
        const size_t at = yaml.find("platform: ");
        yaml.replace(at, yaml.find('\n', at) - at,
                     "platform: http://127.0.0.1:" + std::to_string(port));
    };
    deployment->start();
    cut.set(cut_mode::swallow);
    ASSERT_EQ(deployment
                  ->publish_change(version(), json::object(),
                                   {{"keys", {"kisumu-coop-1"}}})
                  .status,
              200);
    // Reads under way have to time out first; then its peers tell it.
    EXPECT_TRUE(wait_until(
        [&] { return check(5, OTHER_ORG_KEY, "", ping_check()).status == 401; },
        IN_FORCE_MS));
    EXPECT_GT(cut.hits(), 0);
    EXPECT_EQ(check(5, BIG_ORG_KEY, "", ping_check()).status, 200);
}

TEST_F(config_test, cut_off_for_longer_than_allowed_refuses) {
    cluster_options options = small_options();
    deployment = std::make_unique<cluster>(options);
    deployment->start();
    json cell = deployment->declarations()["cell"];
    cell["isolation_limit_s"] = 5;
    ASSERT_EQ(deployment
                  ->publish_change(version(), {{"cell", {{"cell", cell}}}},
                                   json::object())
                  .status,
              409); // the section has its fields directly
    json set = {{"cell", {{"isolation_limit_s", 5}}}};
    ASSERT_EQ(deployment->publish_change(version(), set, json::object()).status,
              200);
    deployment->fault_platform({{"outage", true}});
    EXPECT_EQ(check(0, BIG_ORG_KEY, "", ping_check()).status, 200);
    EXPECT_TRUE(wait_until(
        [&] { return check(0, BIG_ORG_KEY, "", ping_check()).status == 503; }));
    deployment->fault_platform({{"outage", false}});
    EXPECT_TRUE(wait_until(
        [&] { return check(0, BIG_ORG_KEY, "", ping_check()).status == 200; }));
}

} // namespace rattan::standin
