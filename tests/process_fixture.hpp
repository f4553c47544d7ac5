/** @file A small deployment for tests of the real programs. */
#pragma once

#include "harness_cluster.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <thread>
#include <unistd.h>

namespace rattan::standin {

/** Starts one deployment for each test, on ports of its own. */
class process_test : public ::testing::Test {
protected:
    /** Options of a small and quick deployment. */
    cluster_options small_options() {
        static int started = 0;
        const int slot = started++ % 10;
        // Test programs that run at the same time use ports of their own.
        const char* shard = std::getenv("GTEST_SHARD_INDEX");
        const char* port = std::getenv("RATTAN_TEST_PORT");
        const int first_port =
            port != nullptr
                ? std::atoi(port)
                : 12'000 + (shard == nullptr ? 0 : std::atoi(shard)) * 5'000;
        cluster_options options;
        options.declarations = RATTAN_EXAMPLES "/board";
        options.folder = std::filesystem::temp_directory_path() /
                         ("rattan-test-" + std::to_string(getpid()) + "-" +
                          std::to_string(slot));
        options.base_port = first_port + slot * 500;
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
            // What must always hold, whatever the test did.
            EXPECT_EQ(audit["two_places"], 0) << audit.dump();
            EXPECT_EQ(audit["overcommitted"], 0) << audit.dump();
            EXPECT_EQ(audit["slots_exceeded"], 0) << audit.dump();
        }
        const auto folder = deployment->options().folder;
        deployment.reset();
        if (!HasFailure())
            std::filesystem::remove_all(folder);
    }

    /** Starts a deployment. */
    void start(const cluster_options& options) {
        deployment = std::make_unique<cluster>(options);
        deployment->start();
    }

    /** Submits a job; the answer has its id under `job`. */
    blocking_answer submit(int host, const std::string& key,
                           const std::string& request,
                           const nlohmann::json& job) {
        return http_do({.method = "POST",
                        .url = deployment->gate_url(host) + "/v1/jobs",
                        .body = job.dump(),
                        .headers = caller_headers(key, request)});
    }

    /** Sends a check. */
    blocking_answer check(int host, const std::string& key,
                          const std::string& request,
                          const nlohmann::json& body, long timeout_ms = 5'000) {
        return http_do({.method = "POST",
                        .url = deployment->gate_url(host) + "/v1/checks",
                        .body = body.dump(),
                        .headers = caller_headers(key, request),
                        .timeout_ms = timeout_ms});
    }

    /** A job as its team sees it. */
    nlohmann::json job(int host, const std::string& key,
                       const std::string& id) {
        return http_do({.url = deployment->gate_url(host) + "/v1/jobs/" + id,
                        .headers = caller_headers(key, "")})
            .json();
    }

    /** Waits for a job's end; returns its outcome. */
    std::string outcome(int host, const std::string& key, const std::string& id,
                        int limit_ms = 20'000) {
        nlohmann::json last;
        wait_until(
            [&] {
                last = job(host, key, id);
                return last.is_object() && last.value("state", "") == "ended";
            },
            limit_ms);
        return last.is_object() ? last.value("outcome", last.dump())
                                : "no answer";
    }

    /** Submits a job that must be accepted; returns its id. */
    std::string accepted(int host, const std::string& key,
                         const nlohmann::json& job) {
        const auto answer = submit(host, key, new_request_id(), job);
        EXPECT_EQ(answer.status, 202) << answer.body;
        return answer.json().value("job", "");
    }

    /** Tasks that run now. */
    size_t running() { return deployment->audit()["running"].size(); }

    /** How often a task was started. */
    int starts(const std::string& job, int index = 0) {
        return deployment->audit()["starts"].value(
            job + "/" + std::to_string(index), 0);
    }

    /** The entry host whose placer owns a data centre, or -1. */
    int owner_host(int centre) {
        const int per = deployment->options().hosts_a_centre;
        for (int host = centre * per; host < (centre + 1) * per; ++host) {
            if (deployment->pid(host, program::placer) == 0)
                continue;
            const auto state =
                http_do({.url = deployment->placer_url(host) + "/v1/state",
                         .timeout_ms = 500})
                    .json();
            if (state.is_object() && state.value("owner", 0LL) != 0)
                return host;
        }
        return -1;
    }

    /** A counter of a placer. */
    std::int64_t placer_counter(int host, const std::string& name) {
        return http_do({.url = deployment->placer_url(host) + "/dump"})
            .json()["counters"]
            .value(name, std::int64_t{0});
    }

    /** All counters of a placer, for messages of failed tests. */
    std::string placer_counters(int host) {
        return http_do({.url = deployment->placer_url(host) + "/dump"})
            .json()["counters"]
            .dump();
    }

    /** The version in force at a gate. */
    std::int64_t gate_version(int host) {
        const auto state =
            http_do({.url = deployment->gate_url(host) + "/v1/state",
                     .timeout_ms = 500})
                .json();
        return state.is_object() ? state.value("version", 0LL) : 0;
    }

    std::unique_ptr<cluster> deployment;
};

/** Keys of the example. */
const std::string BIG_ORG_KEY = "nairobi-coop-1.demo-nairobi-coop";
const std::string OTHER_ORG_KEY = "kisumu-coop-1.demo-kisumu-coop";
const std::string SMALL_ORG_KEY = "eldoret-shops-1.demo-eldoret-shops";

} // namespace rattan::standin
