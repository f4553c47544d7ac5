/**
 * @file Plays a case: starts the platform's stand-in, runners and entry hosts
 * as processes, sends what clients send, and judges what they see.
 */
#include "harness_http.hpp"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using nlohmann::json;
using rattan::standin::blocking_response;
using rattan::standin::send_http_request;
using std::chrono::milliseconds;

/** How a case ends. */
enum class verdict : std::uint8_t { held = 0, broken = 1, not_run = 2 };

constexpr int HOSTS = 3;
constexpr int FRONT_PORT = 8183;
constexpr int FIRST_RUNNER_PORT = 21010;
constexpr int FIRST_PROXY_PORT = 21110;

std::int64_t wall_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void pause_for(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

/** Tells whether this process can listen on an address. */
bool is_free(const std::string& ip, int port) {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool can = bind(handle, reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0;
    close(handle);
    return can;
}

/** A runner of the deployment. */
struct runner_spec {
    std::string labels = "a,r1-1";
    int cpu = 8000;
    /** Job whose first start to this runner is held; empty: no proxy. */
    std::string hold_job;
    bool proxied = false;
    /** From a runner's start to its first entry in the list. */
    int list_delay_ms = 0;
};

/** The processes of one case; ends all of them at its end. */
class deployment {
public:
    explicit deployment(const std::filesystem::path& record)
        : record_(std::filesystem::absolute(record)),
          trouble_(std::getenv("TROUBLE") == nullptr ||
                   std::string(std::getenv("TROUBLE")) != "0"),
          work_dir_(std::filesystem::temp_directory_path() /
                    ("review-" + std::to_string(getpid()))) {
        std::filesystem::create_directories(work_dir_);
        std::ofstream(record_, std::ios::trunc).close();
        for (int i = 0; i < 100; ++i) {
            network_ = "127." + std::to_string(120 + (getpid() + i) % 100) +
                       "." + std::to_string(1 + getpid() / 100 % 200) + ".";
            if (is_free(ip(100), 21000) && is_free(ip(1), FRONT_PORT))
                break;
        }
    }

    ~deployment() {
        for (const auto& [name, pid] : processes_)
            kill(pid, SIGKILL);
        for (const auto& [name, pid] : processes_)
            waitpid(pid, nullptr, 0);
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(work_dir_, ignored);
        else
            std::cerr << "logs: " << work_dir_ << "\n";
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    [[nodiscard]] bool trouble() const { return trouble_; }
    [[nodiscard]] std::string ip(int last) const {
        return network_ + std::to_string(last);
    }

    void note(const std::string& text) const {
        std::ofstream(record_, std::ios::app)
            << wall_ms() << " case " << text << "\n";
    }

    void spawn(const std::string& name, const std::string& program,
               const std::vector<std::string>& arguments) {
        std::vector<std::string> words{program};
        words.insert(words.end(), arguments.begin(), arguments.end());
        std::vector<char*> argv;
        for (std::string& word : words)
            argv.push_back(word.data());
        argv.push_back(nullptr);
        const std::string log = (work_dir_ / (name + ".log")).string();
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file, STDOUT_FILENO);
            dup2(file, STDERR_FILENO);
            if (getppid() == parent)
                execv(argv[0], argv.data());
            _exit(127);
        }
        processes_[name] = pid;
    }

    void signal_process(const std::string& name, int number) {
        kill(processes_.at(name), number);
        note("signal " + std::to_string(number) + " to " + name);
        if (number != SIGKILL)
            return;
        waitpid(processes_.at(name), nullptr, 0);
        processes_.erase(name);
    }

    bool start_platform() {
        spawn("platform", "target/review-3/standin_fleet",
              {"--ip=" + ip(100), "--targets=0"});
        return wait_until(5000, [&] {
            return send_http_request({.url = admin("/admin/audit")}).status ==
                   200;
        });
    }

    void start_runner(int number, const runner_spec& spec) {
        const std::string id = "t" + std::to_string(number);
        const std::string own =
            ip(100) + ":" + std::to_string(FIRST_RUNNER_PORT + number);
        const std::string proxy =
            ip(100) + ":" + std::to_string(FIRST_PROXY_PORT + number);
        if (spec.proxied && !processes_.contains("proxy-" + id))
            spawn("proxy-" + id, "target/review-3/late_proxy",
                  {"--address=" + proxy, "--runner=" + own,
                   "--record=" + record_.string(),
                   "--hold_job=" + spec.hold_job});
        spawn(id, "target/review-3/runner",
              {"--id=" + id, "--address=" + own,
               "--listed_address=" + (spec.proxied ? proxy : own),
               "--admin=" + ip(100) + ":21001", "--record=" + record_.string(),
               "--labels=" + spec.labels, "--cpu=" + std::to_string(spec.cpu),
               "--list_delay_ms=" + std::to_string(spec.list_delay_ms)});
    }

    void start_host(int host) {
        const auto path = work_dir_ / ("host" + std::to_string(host));
        std::ofstream out(path);
        const std::string own = ip(host);
        out << "nodeName=front-" << host << "\nrole=entry\nzone=dc1\n"
            << "region=r\nzones.dc1=r\nip=" << own
            << "\nlistenAddrs.front=" << own << ":" << FRONT_PORT
            << "\nlistenAddrs.readyAddr=" << own << ":8184"
            << "\nlistenAddrs.control=" << own << ":8180"
            << "\ninternalPorts=7420,7435\nplatform.address=" << ip(100)
            << ":21000\nadvice=" << ip(100)
            << ":21002\nlimits.cpuShare=0.25\nlimits.cpuCores=1\n"
               "limits.memoryMb=260\nlimits.maxFds=4100\nheartbeatMs=1500\n"
               "contracts=base,drain,config,cost,recover,sched,tenants,quota,"
               "places,platform,advice,upkeep,sharing\n"
               "bounds.contactMs=3000\nbounds.graceS=6\n"
               "bounds.maxHoldMs=6000\nbounds.stopMs=200\n"
               "bounds.gangWaitMs=3000\nbounds.cancel_ms=3000\n"
               "bounds.visible_ms=3000\nbounds.status_s=120\n"
               "bounds.remoteFactor=1.5\nbounds.checkpointS=0.5\n"
               "bounds.restoreMs=100\nbounds.harmMs=4000\n"
               "bounds.quotaWindowS=5\nbounds.quotaOverage=0.1\n"
               "bounds.quotaSlack=20\ncontrolMode=call\n"
               "platform.form=log\nplatform.writesPerS=600\n"
               "platform.readsPerS=2000\nplatform.parts=16\n"
               "platform.recordBytes=262144\nplatform.callBytes=2097152\n";
        out.close();
        spawn("front-" + std::to_string(host), "target/rattan_front",
              {"--settings=" + path.string()});
    }

    void put_config(int version) {
        const json queue = {{"name", "q"},         {"hostname", "shop.example"},
                            {"pathPrefix", "/q/"}, {"service", "pool"},
                            {"priority", 0},       {"maxAttempts", 3},
                            {"stretch", 2},        {"targetLatencyMs", 500}};
        const json config = {
            {"configVersion", version},
            {"routes", json::array({queue})},
            {"services", {{{"name", "pool"}, {"rejectsOverload", false}}}},
            {"limits", {{"maxBodyBytes", 262144}}},
            {"tenants",
             {{{"name", "a"}, {"apiKeys", {"key-1"}}, {"weight", 50}},
              {{"name", "b"}, {"apiKeys", {"key-2"}}, {"weight", 50}}}}};
        send_http_request(
            {.method = "POST",
             .url = admin("/admin/store?topic=keyed.op&put=config"),
             .body = config.dump()});
    }

    /** Sends a request of a client and records it with its answer. */
    blocking_response call(const std::string& method, const std::string& job,
                           int host, const std::string& body = "",
                           bool record = true,
                           const std::string& key = "key-1") {
        const auto answer = send_http_request(
            {.method = method,
             .url = "http://" + ip(host) + ":" + std::to_string(FRONT_PORT) +
                    "/q/" + job,
             .body = body,
             .headers = {{"Host", "shop.example"},
                         {"Authorization", "Token " + key},
                         {"Content-Type", "application/json"},
                         {"X-Rattanknot-Deadline-Ms", "3000"}},
             .timeout_ms = 3000});
        if (record)
            note("client " + method + " " + job + " with " + key +
                 " to front-" + std::to_string(host) + " -> " +
                 std::to_string(answer.status) + " " +
                 answer.body.substr(0, 60));
        return answer;
    }

    /** Hands a job in, with retries as clients make them. */
    bool submit(const std::string& job, int host, const json& steps,
                const std::string& payload, const std::string& key = "key-1") {
        const std::string body =
            json({{"taskSpec", payload}, {"jobSteps", steps}}).dump();
        return wait_until(15'000, [&] {
            return call("POST", job, host, body, true, key).status == 200;
        });
    }

    /** State that a client is shown; empty if there was no such answer. */
    std::string state_of(const std::string& job, int host,
                         const std::string& key = "key-1") {
        const auto answer = call("GET", job, host, "", true, key);
        if (answer.status == 410)
            return "410";
        const json body = answer.json();
        return body.is_object() ? body.value("state", "") : "";
    }

    bool wait_until(int ms, const std::function<bool()>& done) {
        const auto end = std::chrono::steady_clock::now() + milliseconds(ms);
        while (!done()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            pause_for(50);
        }
        return true;
    }

    /** Starts the platform, runners and hosts. */
    bool start(const std::vector<runner_spec>& runners) {
        if (!start_platform())
            return false;
        put_config(1);
        for (std::size_t i = 0; i < runners.size(); ++i)
            start_runner(static_cast<int>(i), runners[i]);
        for (int host = 1; host <= HOSTS; ++host)
            start_host(host);
        for (int host = 1; host <= HOSTS; ++host)
            if (!wait_until(15'000, [&] {
                    return call("GET", "", host, "", false).status == 200;
                }))
                return false;
        pause_for(1500);
        return true;
    }

    /** Lines of the record that contain all of some words. */
    [[nodiscard]] std::vector<std::string>
    recorded(const std::vector<std::string>& words) const {
        std::vector<std::string> out;
        std::ifstream in(record_);
        for (std::string line; std::getline(in, line);) {
            bool all = true;
            for (const std::string& word : words)
                all = all && line.find(word) != std::string::npos;
            if (all)
                out.push_back(line);
        }
        return out;
    }

    [[nodiscard]] std::string admin(const std::string& path) const {
        return "http://" + ip(100) + ":21001" + path;
    }

private:
    std::filesystem::path record_;
    bool trouble_;
    std::filesystem::path work_dir_;
    std::string network_;
    std::map<std::string, pid_t> processes_;
};

json step_of(int count, int cpu, int estimate_ms) {
    return {{"count", count},
            {"cpu", cpu},
            {"memMb", 64},
            {"estimateMs", estimate_ms}};
}

/**
 * A start is held on its way and delivered late, after its runner has crashed
 * and started again under its id. The task has run elsewhere meanwhile.
 */
verdict late_start(deployment& cell) {
    constexpr int DOWN_MS = 4000;
    const std::string blocker = "00000000000000b2";
    const std::string job = "00000000000000a2";
    std::vector<runner_spec> runners(8);
    const runner_spec first{.labels = "b,r1-2",
                            .hold_job = cell.trouble() ? job : "",
                            .proxied = true,
                            .list_delay_ms = 300};
    runners.push_back(first);
    runners.push_back({.labels = "b,r1-2", .cpu = 4000});
    const int number = 8;
    if (!cell.start(runners))
        return verdict::not_run;
    json step = step_of(1, 4000, 300);
    step["constraints"] = "b";
    // The other runner of the kind is full for a moment.
    if (!cell.submit(blocker, 1, json::array({step}), "ms=300") ||
        !cell.wait_until(
            2000,
            [&] { return !cell.recorded({"start " + blocker}).empty(); }) ||
        !cell.submit(job, 1, json::array({step}), "ms=300"))
        return verdict::not_run;
    if (cell.trouble() && !cell.wait_until(5000, [&] {
            return !cell.recorded({"proxy holds"}).empty();
        }))
        return verdict::not_run;
    std::string state;
    if (!cell.wait_until(4000, [&] {
            state = cell.state_of(job, 2);
            pause_for(200);
            return state == "completed" || state == "failed";
        }))
        return verdict::not_run;
    if (cell.trouble()) {
        cell.signal_process("t8", SIGKILL);
        pause_for(DOWN_MS);
        cell.start_runner(number, first);
        if (!cell.wait_until(8000, [&] {
                return !cell.recorded({"proxy delivered"}).empty() ||
                       !cell.recorded({"proxy drops"}).empty();
            }))
            return verdict::not_run;
    }
    pause_for(2000);
    const auto starts = cell.recorded({"start " + job});
    const auto done = cell.recorded({"end " + job, " done"});
    cell.note("starts " + std::to_string(starts.size()) + ", ended done " +
              std::to_string(done.size()));
    const auto time_of = [](const std::string& line) {
        return std::stoll(line.substr(0, line.find(' ')));
    };
    if (done.empty())
        return verdict::not_run;
    // A start after a run has ended `done`.
    for (const std::string& line : starts)
        if (time_of(line) > time_of(done[0]))
            return verdict::broken;
    return verdict::held;
}

/**
 * Clients of two organisations choose the same id for a job each. Both jobs
 * are accepted.
 */
verdict same_id(deployment& cell) {
    constexpr int VISIBLE_MS = 3000;
    const std::string job = "00000000000000a3";
    const std::string other =
        cell.trouble() ? job : std::string("00000000000000b3");
    if (!cell.start(std::vector<runner_spec>(10)))
        return verdict::not_run;
    const json steps = json::array({step_of(1, 1000, 300)});
    if (!cell.submit(job, 1, steps, "ms=300") ||
        !cell.submit(other, 2, steps, "ms=301", "key-2"))
        return verdict::not_run;
    // Every second until long after both jobs have to be visible.
    std::string first;
    std::string second;
    for (int i = 0; i < 5; ++i) {
        pause_for(VISIBLE_MS / 2);
        first = cell.state_of(job, 3);
        second = cell.state_of(other, 3, "key-2");
    }
    const auto starts = cell.recorded({"start " + other, "ms=301"});
    cell.note("organisation a is shown " + first + ", b " + second +
              ", starts of b's job " + std::to_string(starts.size()));
    if (first != "completed")
        return verdict::not_run;
    return second == "410" && starts.empty() ? verdict::broken
           : second == "completed"           ? verdict::held
                                             : verdict::not_run;
}

} // namespace

int main(int argc, char** argv) {
    const std::map<std::string, verdict (*)(deployment&)> cases{
        {"late_start", &late_start},
        {"same_id", &same_id},
    };
    if (argc != 3 || !cases.contains(argv[1])) {
        std::cerr << "usage: driver CASE RECORD\n";
        return static_cast<int>(verdict::not_run);
    }
    deployment cell(argv[2]);
    const verdict result = cases.at(argv[1])(cell);
    static constexpr const char* NAMES[] = {
        "the rule held", "the rule was broken", "the case could not run"};
    const std::string text = NAMES[static_cast<int>(result)];
    cell.note(text);
    std::cout << text << "\n";
    return static_cast<int>(result);
}
