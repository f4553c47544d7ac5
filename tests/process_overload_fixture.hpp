/** @file Fixture that measures one host under uncontrolled clients. */
#pragma once

#include "harness_http.hpp"
#include "process_overload_crowd.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace rattan::standin {

using nlohmann::json;

constexpr auto WAIT_TIMEOUT = std::chrono::seconds(60);
constexpr int FRONT_PORT = 8183;
constexpr int RPC_PORT = 7420;
constexpr int MEMORY_MB = 64;
constexpr int MAX_DESCRIPTORS = 1000;
/** The limit on a body in the configuration, `limits.maxBodyBytes`. */
constexpr std::size_t BODY_LIMIT = 262'144;
constexpr std::size_t HEADER_LIMIT = 16'384;
constexpr int CROWD = 250;
constexpr std::size_t LARGE_BODY = 260'000;
constexpr std::size_t OVERSIZED_BODY = 1'500'000;
/** Bytes of a body that a client does not send before it stops. */
constexpr std::size_t BYTES_LEFT = 10;

/** Encodes bytes as chunks, without the last one of length 0. */
inline std::string chunks(const std::string& bytes, std::size_t chunk_bytes) {
    std::string out;
    char length[16];
    for (std::size_t at = 0; at < bytes.size(); at += chunk_bytes) {
        const std::size_t size = std::min(chunk_bytes, bytes.size() - at);
        std::snprintf(length, sizeof length, "%zx\r\n", size);
        out += length + bytes.substr(at, size) + "\r\n";
    }
    return out;
}

/**
 * One host and a stand-in platform. The platform would kill a process that
 * exceeds its memory; here the peak of its memory is compared with the limit.
 */
class overload_test : public ::testing::Test {
protected:
    void SetUp() override {
        static int started = 0;
        network_prefix_ = "127." + std::to_string(110 + getpid() % 100) + "." +
                          std::to_string(++started) + ".";
        front_ip_ = network_prefix_ + "1";
        work_dir_ = std::filesystem::temp_directory_path() /
                    ("rattan-overload-" + std::to_string(getpid()) + "-" +
                     std::to_string(started));
        std::filesystem::create_directories(work_dir_);
        platform_pid_ =
            spawn("standin_fleet", {"--ip=" + network_prefix_ + "100"});
        wait_for("the stand-in platform to respond", [&] {
            return send_http_request({.url = admin_url("/admin/audit")})
                       .status == 200;
        });
        put_record("keyed.op", "config", config().dump());
    }

    void TearDown() override {
        if (front_pid_ > 0)
            kill_process(front_pid_);
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

    static void wait_for(const std::string& what,
                         const std::function<bool()>& condition) {
        const auto until = std::chrono::steady_clock::now() + WAIT_TIMEOUT;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > until) {
                ADD_FAILURE() << "waited in vain for " << what;
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    std::string admin_url(const std::string& path) const {
        return "http://" + network_prefix_ + "100:21001" + path;
    }

    void put_record(const std::string& topic, const std::string& key,
                    const std::string& value) const {
        send_http_request(
            {.method = "POST",
             .url = admin_url("/admin/store?topic=" + topic + "&put=" + key),
             .body = value});
    }

    static json config() {
        const json queue = {
            {"name", "q"},
            {"hostname", "shop.example"},
            {"pathPrefix", "/q/"},
            {"service", "pool"},
            {"maxAttempts", 3},
            {"stretch", 2},
            {"targetLatencyMs", 500},
            {"advice",
             {{"decideMs", 5}, {"perWorkerMs", 0}, {"validMs", 2500}}}};
        return {{"configVersion", 1},
                {"limits", {{"maxBodyBytes", BODY_LIMIT}}},
                {"routes", {queue}},
                {"services", {{{"name", "pool"}}}},
                {"tenants",
                 {{{"name", "a"}, {"apiKeys", {"key-1"}}, {"weight", 1000}}}}};
    }

    /** Starts a host. @param number Last part of its address. */
    pid_t spawn_host(int number, int memory_mb, int descriptors) {
        const std::string ip = network_prefix_ + std::to_string(number);
        const std::string name = "h" + std::to_string(number);
        const auto path = work_dir_ / name;
        std::ofstream out(path);
        out << "nodeName=" << name << "\nzone=dc1\nip=" << ip
            << "\nlistenAddrs.front=" << ip << ":" << FRONT_PORT
            << "\nlistenAddrs.readyAddr=" << ip
            << ":8184\ninternalPorts=" << RPC_PORT
            << ",7435\nplatform.address=" << network_prefix_
            << "100:21000\nadvice=" << network_prefix_
            << "100:21002\nlimits.maxFds=" << descriptors
            << "\nlimits.memoryMb=" << memory_mb
            << "\nlimits.cpuShare=0.25\nlimits.cpuCores=1\n"
               "platform.callBytes=2097152\n"
               "platform.writesPerS=600\nplatform.parts=16\nheartbeatMs=1500\n"
               "bounds.maxHoldMs=6000\nbounds.stopMs=200\n"
               "bounds.gangWaitMs=3000\nbounds.graceS=6\n"
               "bounds.harmMs=4000\nbounds.status_s=600\n";
        out.close();
        return spawn("rattan_front", {"--settings=" + path.string()});
    }

    void start_front(int descriptors = MAX_DESCRIPTORS) {
        descriptor_limit_ = descriptors;
        front_pid_ = spawn_host(1, MEMORY_MB, descriptors);
        wait_for("the host to answer",
                 [&] { return ordinary_request().status == 200; });
    }

    /** The number of waiting jobs, a small request of an ordinary client. */
    blocking_response ordinary_request() const {
        return send_http_request({.url = front_url("/q/"),
                                  .headers = {{"Host", "shop.example"},
                                              {"Authorization", "Token key-1"}},
                                  .timeout_ms = 3000});
    }

    std::string front_url(const std::string& path) const {
        return "http://" + front_ip_ + ":" + std::to_string(FRONT_PORT) + path;
    }

    /** Request line and headers of a submission, up to the body. */
    static std::string head(const std::string& framing) {
        return "POST /q/0000000000000001 HTTP/1.1\r\nHost: shop.example\r\n"
               "Authorization: Token key-1\r\n" +
               framing + "\r\n\r\n";
    }

    static std::string declared(std::size_t bytes) {
        return head("Content-Length: " + std::to_string(bytes));
    }

    static std::string chunked() { return head("Transfer-Encoding: chunked"); }

    /** A line `VmHWM: 12345 kB` of the status of the host's process. */
    std::size_t peak_memory_kb() const {
        std::ifstream status("/proc/" + std::to_string(front_pid_) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6));
        return 0;
    }

    void sample_descriptors() {
        std::error_code failure;
        std::size_t count = 0;
        for (const auto& entry : std::filesystem::directory_iterator(
                 "/proc/" + std::to_string(front_pid_) + "/fd", failure))
            count += entry.path().empty() ? 0 : 1;
        max_descriptors_seen_ = std::max(max_descriptors_seen_, count);
    }

    /**
     * Expects that the process is alive and was within its limits all the
     * time, and that an ordinary client gets an answer.
     */
    void expect_sound() {
        EXPECT_EQ(waitpid(front_pid_, nullptr, WNOHANG), 0) << "it has ended";
        wait_for("an answer to an ordinary request",
                 [&] { return ordinary_request().status == 200; });
        sample_descriptors();
        const std::size_t peak_kb = peak_memory_kb();
        EXPECT_GT(peak_kb, 0U);
        EXPECT_LE(peak_kb, MEMORY_MB * 1024U);
        EXPECT_LE(max_descriptors_seen_,
                  static_cast<std::size_t>(descriptor_limit_));
        std::printf("peak memory %zu kB of %d, descriptors %zu of %d\n",
                    peak_kb, MEMORY_MB * 1024, max_descriptors_seen_,
                    descriptor_limit_);
    }

    /** Runs a crowd of clients; they stay connected while it is checked. */
    void expect_sound_under(const crowd_plan& plan, int port = FRONT_PORT) {
        start_front();
        overload_crowd crowd(front_ip_, port, plan);
        crowd.run([&] { sample_descriptors(); });
        expect_sound();
    }

    /** Sends one request on its own connection. @return The status line. */
    std::string raw_exchange(const std::string& bytes) const {
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(FRONT_PORT);
        inet_pton(AF_INET, front_ip_.c_str(), &address.sin_addr);
        const timeval timeout{.tv_sec = 20, .tv_usec = 0};
        setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address);
        for (std::size_t at = 0; at < bytes.size();) {
            const ssize_t sent = send(handle, bytes.data() + at,
                                      bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0)
                break;
            at += static_cast<std::size_t>(sent);
        }
        char received[512];
        const ssize_t got = recv(handle, received, sizeof received, 0);
        close(handle);
        if (got <= 0)
            return "no response";
        const std::string text(received, static_cast<std::size_t>(got));
        return text.substr(0, text.find('\r'));
    }

    /** A job whose encoding has exactly the permitted size. */
    static std::string largest_job() {
        json job = {{"taskSpec", "ms=1"},
                    {"jobSteps",
                     {{{"count", 1},
                       {"cpu", 1000},
                       {"memMb", 10},
                       {"estimateMs", 1}}}}};
        std::string text = job.dump();
        return text + std::string(BODY_LIMIT - text.size(), ' ');
    }

    std::string network_prefix_;
    std::string front_ip_;
    std::filesystem::path work_dir_;
    pid_t platform_pid_ = 0;
    pid_t front_pid_ = 0;
    int descriptor_limit_ = 0;
    std::size_t max_descriptors_seen_ = 0;
};

} // namespace rattan::standin
