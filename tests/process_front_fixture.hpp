/** @file Fixture that runs rattan_front processes on a stand-in platform. */
#pragma once

#include "harness_http.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace rattan::standin {

using nlohmann::json;

constexpr auto WAIT_TIMEOUT = std::chrono::seconds(40);
constexpr int FRONT_PORT = 8183;
/** This host uses the alternate store address, which can fail separately. */
constexpr int ALTERNATE_STORE_HOST = 1;

inline std::string job_name(int number) {
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/** Three hosts and a stand-in platform; TearDown kills all processes. */
class front_process_test : public ::testing::Test {
protected:
    void SetUp() override {
        static int started = 0;
        // Each test of each run uses its own loopback addresses.
        network_prefix_ = "127." + std::to_string(10 + getpid() % 100) + "." +
                          std::to_string(++started) + ".";
        work_dir_ = std::filesystem::temp_directory_path() /
                    ("rattan-front-" + std::to_string(getpid()) + "-" +
                     std::to_string(started));
        std::filesystem::create_directories(work_dir_);
        platform_pid_ =
            spawn("standin_fleet", {"--ip=" + network_prefix_ + "100"});
        wait_for("the stand-in platform to respond", [&] {
            return send_http_request({.url = admin_url("/admin/audit")})
                       .status == 200;
        });
        put_config(1, {"key-1"});
        for (int host = 1; host <= 3; ++host)
            start_host(host);
        wait_for("an owner", [&] { return call("GET", "", 1).status == 200; });
    }

    void TearDown() override {
        const json audit =
            send_http_request({.url = admin_url("/admin/audit")}).json();
        if (audit.is_object()) {
            EXPECT_EQ(audit["two_places"], 0) << audit.dump();
            EXPECT_EQ(audit["after_done"], lost_ends_) << audit.dump();
            EXPECT_EQ(audit["overcommitted"], 0) << audit.dump();
        }
        for (const auto& [host, pid] : hosts_)
            kill_process(pid);
        kill_process(platform_pid_);
        if (!HasFailure())
            std::filesystem::remove_all(work_dir_);
    }

    pid_t spawn(const std::string& name, const std::vector<std::string>& args) {
        const std::string path = std::string(RATTAN_BIN_DIR) + "/" + name;
        std::vector<char*> argv{const_cast<char*>(path.c_str())};
        for (const std::string& arg : args)
            argv.push_back(const_cast<char*>(arg.c_str()));
        argv.push_back(nullptr);
        const std::string log = (work_dir_ / (name + ".log")).string();
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid != 0)
            return pid;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        if (getppid() == parent)
            execv(path.c_str(), argv.data());
        _exit(127);
    }

    static void kill_process(pid_t pid) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }

    void start_host(int host) {
        const std::string ip = network_prefix_ + std::to_string(host);
        const auto path = work_dir_ / ("host" + std::to_string(host));
        std::ofstream out(path);
        out << "nodeName=h" << host << "\nzone=dc1\nip=" << ip
            << "\nlistenAddrs.front=" << ip << ":" << FRONT_PORT
            << "\nlistenAddrs.readyAddr=" << ip
            << ":8184\ninternalPorts=7420,7435\nplatform.address="
            << network_prefix_
            << (host == ALTERNATE_STORE_HOST ? "100:21003" : "100:21000")
            << "\nadvice=" << network_prefix_
            << "100:21002\nlimits.maxFds=2000\nlimits.cpuShare=0.25\nlimits."
               "cpuCores=1\nplatform.callBytes=2097152\n"
               "platform.writesPerS=600\nplatform.parts=16\nheartbeatMs=1500\n"
               "bounds.maxHoldMs=6000\nbounds.stopMs=200\n"
               "bounds.gangWaitMs=3000\nbounds.graceS=6\n"
               "bounds.harmMs=4000\nunknown.field=x\nbounds.status_s="
            << status_retention_s_ << "\n"
            << further_settings_;
        out.close();
        hosts_[host] = spawn("rattan_front", {"--settings=" + path.string()});
    }

    std::string admin_url(const std::string& path) const {
        return "http://" + network_prefix_ + "100:21001" + path;
    }

    /** @param other_keys Keys of a second organisation. */
    void put_config(int version, const std::vector<std::string>& keys,
                    const std::vector<std::string>& other_keys = {}) {
        json queue = {{"name", "q"},           {"hostname", "shop.example"},
                      {"pathPrefix", "/q/"},   {"service", "pool"},
                      {"maxAttempts", 3},      {"stretch", 2},
                      {"targetLatencyMs", 500}};
        if (advice_)
            queue["advice"] = {
                {"decideMs", 5}, {"perWorkerMs", 0}, {"validMs", 2500}};
        const json config = {
            {"configVersion", version},
            {"routes", {queue}},
            {"services", {{{"name", "pool"}}}},
            {"tenants",
             {{{"name", "a"}, {"apiKeys", keys}, {"weight", 10}},
              {{"name", "b"}, {"apiKeys", other_keys}, {"weight", 10}}}}};
        send_http_request(
            {.method = "POST",
             .url = admin_url("/admin/store?topic=keyed.op&put=config"),
             .body = config.dump()});
    }

    /** @param deadline_ms How long the caller says it waits; 0: not said. */
    blocking_response call(const std::string& method, const std::string& job,
                           int host, const std::string& body = "",
                           const std::string& key = "key-1",
                           int deadline_ms = 0) {
        std::map<std::string, std::string> headers = {
            {"Host", "shop.example"}, {"Authorization", "Token " + key}};
        if (deadline_ms > 0)
            headers["X-Rattanknot-Deadline-Ms"] = std::to_string(deadline_ms);
        return send_http_request(
            {.method = method,
             .url = "http://" + network_prefix_ + std::to_string(host) + ":" +
                    std::to_string(FRONT_PORT) + "/q/" + job,
             .body = body,
             .headers = headers,
             .timeout_ms = 3000});
    }

    /** Submits a job of one step through a host, until it is accepted. */
    void submit(const std::string& job, int host, int tasks, int task_ms,
                bool long_lived = false) {
        json step = {{"count", tasks},
                     {"cpu", 1000},
                     {"memMb", 10},
                     {"estimateMs", task_ms}};
        if (long_lived)
            step["longLived"] = true;
        const json body = {
            {"taskSpec", long_lived ? "x" : "ms=" + std::to_string(task_ms)},
            {"jobSteps", {step}}};
        wait_for("job " + job + " accepted", [&] {
            return call("POST", job, host, body.dump()).status == 200;
        });
    }

    std::string job_state(const std::string& job, int host) {
        const json body = call("GET", job, host).json();
        return body.is_object() ? body.value("state", "") : "";
    }

    /** Answer to a caller that asked for a job's state. */
    struct timed_state {
        std::string state;
        std::chrono::milliseconds took{0};
    };

    /** @param deadline_ms How long the caller says it waits; 0: not said. */
    timed_state timed_job_state(const std::string& job, int host,
                                int deadline_ms = 3000) {
        const auto asked = std::chrono::steady_clock::now();
        const json body =
            call("GET", job, host, "", "key-1", deadline_ms).json();
        return {body.is_object() ? body.value("state", "") : "",
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - asked)};
    }

    /**
     * Takes the store down, with an owner that knows the end of job 1 and has
     * not stored it. @return The owner.
     */
    int take_store_down_before_end() {
        submit(job_name(1), 1, 1, 1000);
        wait_for("the task to start",
                 [&] { return audit_count("present") == 1; });
        const int owner = owner_host();
        send_http_request({.url = admin_url("/admin/store?down=1")});
        wait_for("the task to end", [&] { return audit_count("done") == 1; });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return owner;
    }

    int audit_count(const std::string& field) {
        return send_http_request({.url = admin_url("/admin/audit")})
            .json()
            .value(field, -1);
    }

    /** Value of a counter of a host; 0 if it has none. */
    int metric(const std::string& name, int host) {
        const std::string text =
            send_http_request({.url = "http://" + network_prefix_ +
                                      std::to_string(host) + ":9464/metrics"})
                .body;
        const auto at = text.find(name + " ");
        return at == std::string::npos
                   ? 0
                   : std::stoi(text.substr(at + name.size() + 1));
    }

    static void wait_for(const std::string& what,
                         const std::function<bool()>& done) {
        const auto deadline = std::chrono::steady_clock::now() + WAIT_TIMEOUT;
        while (!done()) {
            ASSERT_LT(std::chrono::steady_clock::now(), deadline)
                << "waited for " << what;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    /** Host that owns the cell according to its dump; 0 if there is none. */
    int owner_host(int excluded_host = 0) {
        for (const auto& [host, pid] : hosts_) {
            if (host == excluded_host)
                continue;
            const auto dump =
                send_http_request({.url = "http://" + network_prefix_ +
                                          std::to_string(host) + ":9464/dump"})
                    .json();
            if (dump.is_object() && dump.contains("epoch"))
                return host;
        }
        return 0;
    }

    std::string network_prefix_;
    std::filesystem::path work_dir_;
    pid_t platform_pid_ = 0;
    int status_retention_s_ = 120; ///< For hosts started afterwards.
    bool advice_ = true; ///< Starts need tickets; for later configurations.
    std::string further_settings_; ///< Lines for hosts started afterwards.
    /** Ends that nobody learned of, so that their tasks had to run again. */
    int lost_ends_ = 0;
    std::map<int, pid_t> hosts_;
};

} // namespace rattan::standin
