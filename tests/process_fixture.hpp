/** @file Test fixture that runs the real programs in a small deployment. */
#pragma once

#include "harness_cluster.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <thread>
#include <unistd.h>

namespace rattan::standin {

/** Fixture with one deployment per test, each on its own ports. */
class process_test : public ::testing::Test {
protected:
    /** Options of a small deployment with short leases and timeouts. */
    cluster_options small_options() {
        static int started = 0;
        const int index = started++ % 10;
        // Test programs that run at the same time use different ports.
        const char* shard = std::getenv("GTEST_SHARD_INDEX");
        const char* port = std::getenv("RATTAN_TEST_PORT");
        const int first_port =
            port != nullptr
                ? std::atoi(port)
                : 12'000 + (shard == nullptr ? 0 : std::atoi(shard)) * 5'000;
        cluster_options options;
        options.declarations_dir = RATTAN_EXAMPLES "/board";
        options.work_dir = std::filesystem::temp_directory_path() /
                           ("rattan-test-" + std::to_string(getpid()) + "-" +
                            std::to_string(index));
        options.base_port = first_port + index * 500;
        options.lease_ms = 3'000;
        options.owner_timeout_ms = 500;
        options.longest_deadline_ms = 1'000;
        return options;
    }

    void TearDown() override {
        if (!deployment)
            return;
        const auto audit = deployment->audit();
        if (audit.is_object()) {
            // Invariants that hold after every test.
            EXPECT_EQ(audit["two_places"], 0) << audit.dump();
            EXPECT_EQ(audit["overcommitted"], 0) << audit.dump();
            EXPECT_EQ(audit["slots_exceeded"], 0) << audit.dump();
        }
        const auto work_dir = deployment->options().work_dir;
        deployment.reset();
        if (!HasFailure())
            std::filesystem::remove_all(work_dir);
    }

    void start(const cluster_options& options) {
        deployment = std::make_unique<cluster>(options);
        deployment->start();
    }

    /** Submits a job; the response has its id under `job`. */
    blocking_response submit(int host, const std::string& key,
                             const std::string& request,
                             const nlohmann::json& job) {
        return send_http_request(
            {.method = "POST",
             .url = deployment->gate_url(host) + "/v1/jobs",
             .body = job.dump(),
             .headers = caller_headers(key, request)});
    }

    blocking_response check(int host, const std::string& key,
                            const std::string& request,
                            const nlohmann::json& body,
                            long timeout_ms = 5'000) {
        return send_http_request(
            {.method = "POST",
             .url = deployment->gate_url(host) + "/v1/checks",
             .body = body.dump(),
             .headers = caller_headers(key, request),
             .timeout_ms = timeout_ms});
    }

    /** Status of a job, as an entry host replies to the holder of a key. */
    nlohmann::json job_status(int host, const std::string& key,
                              const std::string& id) {
        return send_http_request(
                   {.url = deployment->gate_url(host) + "/v1/jobs/" + id,
                    .headers = caller_headers(key, "")})
            .json();
    }

    /** Waits until a job has ended. @return Its outcome. */
    std::string wait_for_outcome(int host, const std::string& key,
                                 const std::string& id, int limit_ms = 20'000) {
        nlohmann::json last;
        wait_until(
            [&] {
                last = job_status(host, key, id);
                return last.is_object() && last.value("state", "") == "ended";
            },
            limit_ms);
        return last.is_object() ? last.value("outcome", last.dump())
                                : "no answer";
    }

    /** Submits a job and expects it to be accepted. @return Its id. */
    std::string submit_accepted(int host, const std::string& key,
                                const nlohmann::json& job) {
        const auto answer = submit(host, key, new_request_id(), job);
        EXPECT_EQ(answer.status, 202) << answer.body;
        return answer.json().value("job", "");
    }

    /** Number of tasks that are running, by the audit. */
    size_t running_tasks() { return deployment->audit()["running"].size(); }

    /** Number of starts of a task, by the audit. */
    int start_count(const std::string& job, int index = 0) {
        return deployment->audit()["starts"].value(
            job + "/" + std::to_string(index), 0);
    }

    /** The entry host whose placer owns a data centre, or -1. */
    int owner_host(int centre) {
        const int hosts_per_centre = deployment->options().hosts_per_centre;
        for (int host = centre * hosts_per_centre;
             host < (centre + 1) * hosts_per_centre; ++host) {
            if (deployment->pid(host, program::placer) == 0)
                continue;
            const auto state =
                send_http_request(
                    {.url = deployment->placer_url(host) + "/v1/state",
                     .timeout_ms = 500})
                    .json();
            if (state.is_object() && state.value("owner", 0LL) != 0)
                return host;
        }
        return -1;
    }

    /** Value of a counter of a placer; 0 when it has none of that name. */
    std::int64_t placer_counter(int host, const std::string& name) {
        return send_http_request(
                   {.url = deployment->placer_url(host) + "/dump"})
            .json()["counters"]
            .value(name, std::int64_t{0});
    }

    /** All counters of a placer, for failure messages. */
    std::string placer_counters(int host) {
        return send_http_request(
                   {.url = deployment->placer_url(host) + "/dump"})
            .json()["counters"]
            .dump();
    }

    /** Configuration version in force at a gate; 0 when it is unknown. */
    std::int64_t gate_version(int host) {
        const auto state =
            send_http_request({.url = deployment->gate_url(host) + "/v1/state",
                               .timeout_ms = 500})
                .json();
        return state.is_object() ? state.value("version", 0LL) : 0;
    }

    std::unique_ptr<cluster> deployment;
};

/** API keys of the organisations in examples/board. */
const std::string BIG_ORG_KEY = "nairobi-coop-1.demo-nairobi-coop";
const std::string OTHER_ORG_KEY = "kisumu-coop-1.demo-kisumu-coop";
const std::string SMALL_ORG_KEY = "eldoret-shops-1.demo-eldoret-shops";

} // namespace rattan::standin
