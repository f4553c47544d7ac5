/** @file End-to-end tests of checks, gangs, watches and refusals. */
#include "process_fixture.hpp"

namespace rattan::standin {

using nlohmann::json;

class path_test : public process_test {};

TEST_F(path_test, check_is_executed_by_a_runner) {
    start(small_options());
    for (int host = 0; host < deployment->hosts(); ++host) {
        const std::string request = new_request_id();
        const auto answer =
            check(host, "nairobi-coop-1.demo-nairobi-coop", request,
                  {{"plan", "price-check"},
                   {"input", {{"name", request}, {"work_ms", 2}}}});
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_EQ(answer.json().value("ran", ""), request);
        EXPECT_EQ(answer.headers.at("x-request-id"), request);
    }
    EXPECT_EQ(deployment->audit()["checks"], deployment->hosts());
}

TEST_F(path_test, gang_starts_together_and_its_outcome_is_reported) {
    start(small_options());
    const auto answer =
        submit(0, "nairobi-coop-1.demo-nairobi-coop", new_request_id(),
               {{"plan", "tender-pricing"},
                {"tasks", 6},
                {"cores", 8},
                {"memory_mib", 1024},
                {"payload", "run_ms=200"}});
    ASSERT_EQ(answer.status, 202) << answer.body;
    const auto id = answer.json()["job"].get<std::string>();
    EXPECT_EQ(wait_for_outcome(1, "nairobi-coop-1.demo-nairobi-coop", id),
              "done");
    const auto audit = deployment->audit();
    for (int index = 0; index < 6; ++index)
        EXPECT_EQ(audit["completions"][id + "/" + std::to_string(index)], 1);
}

TEST_F(path_test, watch_is_placed_reported_and_cancelled) {
    start(small_options());
    const std::string key = "kisumu-coop-1.demo-kisumu-coop";
    const auto answer = submit(2, key, new_request_id(),
                               {{"plan", "curing-watch"},
                                {"tasks", 2},
                                {"cores", 1},
                                {"memory_mib", 256}});
    ASSERT_EQ(answer.status, 202) << answer.body;
    const auto id = answer.json()["job"].get<std::string>();
    EXPECT_TRUE(
        wait_until([&] { return deployment->audit()["running"].size() == 2; }));
    const json seen = job_status(3, key, id);
    EXPECT_EQ(seen.value("state", ""), "live") << seen.dump();
    EXPECT_EQ(seen["placement"]["places"].size(), 2) << seen.dump();
    const auto cancelled =
        send_http_request({.method = "DELETE",
                           .url = deployment->gate_url(4) + "/v1/jobs/" + id,
                           .headers = caller_headers(key, "")});
    EXPECT_EQ(cancelled.status, 202) << cancelled.body;
    EXPECT_EQ(wait_for_outcome(5, key, id), "cancelled");
    EXPECT_TRUE(deployment->audit()["running"].empty());
}

TEST_F(path_test, refusals_have_a_type_and_run_state_not_run) {
    start(small_options());
    const json batch = {{"plan", "tender-pricing"}, {"payload", "run_ms=10"}};
    const auto bad_key =
        submit(0, "nairobi-coop-1.wrong", new_request_id(), batch);
    EXPECT_EQ(bad_key.status, 401);
    EXPECT_EQ(bad_key.json()["type"], "urn:rattanknot:key-refused");
    EXPECT_EQ(bad_key.json()["run_state"], "not_run");
    json oversized = batch;
    oversized["tasks"] = 64;
    oversized["cores"] = 8;
    const auto infeasible = submit(0, "eldoret-shops-1.demo-eldoret-shops",
                                   new_request_id(), oversized);
    EXPECT_EQ(infeasible.status, 422) << infeasible.body;
    EXPECT_EQ(infeasible.json()["type"], "urn:rattanknot:never-feasible");
    EXPECT_EQ(infeasible.json()["run_state"], "not_run");
    // The organisation's limit is two concurrent checks; both are in use.
    std::vector<std::thread> callers;
    for (int i = 0; i < 2; ++i)
        callers.emplace_back([&] {
            const auto answer =
                check(0, "eldoret-shops-1.demo-eldoret-shops", "",
                      {{"plan", "price-check"},
                       {"idempotent", true},
                       {"deadline_ms", 1000},
                       {"input", {{"work_ms", 900}, {"team", "eldoret"}}}});
            EXPECT_EQ(answer.status, 200) << answer.body;
        });
    ASSERT_TRUE(wait_until([&] {
        return deployment->audit()["most_checks"].value("eldoret", 0) == 2;
    }));
    const auto over_limit = check(0, "eldoret-shops-1.demo-eldoret-shops", "",
                                  {{"plan", "price-check"},
                                   {"idempotent", true},
                                   {"deadline_ms", 100},
                                   {"input", {{"team", "eldoret"}}}});
    for (std::thread& each : callers)
        each.join();
    EXPECT_EQ(over_limit.status, 429) << over_limit.body;
    EXPECT_EQ(over_limit.json()["type"], "urn:rattanknot:team-at-limit");
    EXPECT_EQ(over_limit.json()["run_state"], "not_run");
    EXPECT_EQ(deployment->audit()["most_checks"]["eldoret"], 2);
}

TEST_F(path_test, open_plan_accepts_checks_without_a_key) {
    start(small_options());
    const auto answer = check(0, "", "",
                              {{"plan", "stock-enquiry"},
                               {"idempotent", true},
                               {"input", {{"name", "open"}}}});
    EXPECT_EQ(answer.status, 200) << answer.body;
    const auto without_key =
        check(0, "", "", {{"plan", "price-check"}, {"idempotent", true}});
    EXPECT_EQ(without_key.status, 401) << without_key.body;
}

} // namespace rattan::standin
