/** @file A small deployment for tests of the real programs. */
#pragma once

#include "harness_cluster.hpp"

#include <gtest/gtest.h>

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
        const int slot = started++ % 20;
        cluster_options options;
        options.declarations = RATTAN_EXAMPLES "/board";
        options.folder = std::filesystem::temp_directory_path() /
                         ("rattan-test-" + std::to_string(getpid()) + "-" +
                          std::to_string(slot));
        options.base_port = 12'000 + slot * 500;
        options.lease_ms = 1'500;
        options.owner_timeout_ms = 700;
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

    std::unique_ptr<cluster> deployment;
};

} // namespace rattan::standin
