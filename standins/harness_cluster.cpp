#include "harness_cluster.hpp"

#include "fold/config_func.hpp"
#include "fold/config_load.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace rattan::standin {

using nlohmann::json;

namespace {

constexpr int PORTS_PER_HOST = 6;
constexpr int PLATFORM_PORT_OFFSET = 150;
constexpr int TARGETS_PORT_OFFSET = 151;
constexpr int FIRST_RUNNER_PORT_OFFSET = 200;
constexpr int FIRST_WORKER_PORT_OFFSET = 300;
constexpr int WORKERS_PER_RACK = 8;
/** Operator key of the examples and tests; its secret is `demo`. */
const std::string OPERATOR_KEY = "ops.demo";
const std::string OPERATOR_HASH =
    "00:"
    "4e634fa8d1f3a444ac2a810c737fd690acc256e1881b2bb01bd231239d829ff5";

std::string program_name(program kind) {
    switch (kind) {
    case program::relay:
        return "rattan_relay";
    case program::gate:
        return "rattan_gate";
    case program::placer:
        return "rattan_placer";
    }
    return "";
}

} // namespace

bool wait_until(const std::function<bool()>& condition, int limit_ms) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

std::string new_request_id() {
    static std::atomic<int> count{0};
    return std::to_string(wall_millis()) + "-" + std::to_string(getpid()) +
           "-" + std::to_string(++count);
}

std::map<std::string, std::string> caller_headers(const std::string& key,
                                                  const std::string& request) {
    std::map<std::string, std::string> headers;
    if (!key.empty())
        headers["Authorization"] = "Bearer " + key;
    if (!request.empty())
        headers["X-Request-Id"] = request;
    return headers;
}

cluster::cluster(cluster_options options) : options_(std::move(options)) {
    std::filesystem::create_directories(options_.work_dir);
    declarations_ = load_declarations(options_.declarations_dir);
    if (options_.data_centres.empty())
        for (const auto& [name, centre] : declarations_["data_centres"].items())
            options_.data_centres.push_back(name);
}

cluster::~cluster() {
    std::vector<pid_t> pids;
    for (const auto& [kind, pid] : programs_)
        pids.push_back(pid);
    pids.push_back(platform_);
    pids.push_back(targets_);
    for (const pid_t pid : pids)
        if (pid > 0)
            kill(pid, SIGKILL);
    for (const pid_t pid : pids)
        if (pid > 0)
            waitpid(pid, nullptr, 0);
}

int cluster::hosts() const {
    return static_cast<int>(options_.data_centres.size()) *
           options_.hosts_per_centre;
}

std::string cluster::host_name(int host) const {
    const auto& centre = options_.data_centres.at(
        static_cast<size_t>(host / options_.hosts_per_centre));
    return declarations_["data_centres"][centre]["entry_hosts"]
                        [static_cast<size_t>(host % options_.hosts_per_centre)]
                            .get<std::string>();
}

int cluster::port(int host, int index) const {
    return options_.base_port + host * PORTS_PER_HOST + index;
}

std::string cluster::address(int host, int index) const {
    return "127.0.0.1:" + std::to_string(port(host, index));
}

std::string cluster::relay_url(int host) const {
    return "http://" + address(host, 0);
}

std::string cluster::gate_url(int host) const {
    return "http://" + address(host, 2);
}

std::string cluster::placer_url(int host) const {
    return "http://" + address(host, 4);
}

std::string cluster::platform_url() const {
    return "http://127.0.0.1:" +
           std::to_string(options_.base_port + PLATFORM_PORT_OFFSET);
}

std::string cluster::targets_url() const {
    return "http://127.0.0.1:" +
           std::to_string(options_.base_port + TARGETS_PORT_OFFSET);
}

pid_t cluster::pid(int host, program kind) const {
    const auto found = programs_.find({host, kind});
    return found == programs_.end() ? 0 : found->second;
}

pid_t cluster::spawn(const std::string& name,
                     const std::vector<std::string>& args) {
    const std::string path = std::string(RATTAN_BIN_DIR) + "/" + name;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (const std::string& arg : args)
        argv.push_back(const_cast<char*>(arg.c_str()));
    argv.push_back(nullptr);
    const std::string log = (options_.work_dir / (name + ".log")).string();
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0)
        throw system_error("cannot fork to start " + path);
    if (pid > 0)
        return pid;
    // Child process: it must not outlive the test, so it dies with its parent.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    if (getppid() == parent)
        execv(path.c_str(), argv.data());
    _exit(127);
}

std::string cluster::write_settings(int host, program kind) const {
    const int first_port = kind == program::relay  ? 0
                           : kind == program::gate ? 2
                                                   : 4;
    const std::string& centre = options_.data_centres.at(
        static_cast<size_t>(host / options_.hosts_per_centre));
    std::string yaml = "host: " + host_name(host) + "\ndata_centre: " + centre +
                       "\nhttp: " + address(host, first_port) +
                       "\nrpc: " + address(host, first_port + 1) + "\n";
    const auto append_addresses = [&](const std::string& field,
                                      bool own_first) {
        yaml += field + ":\n";
        if (own_first)
            yaml += "  - " + address(host, 1) + "\n";
        for (int other = 0; other < hosts(); ++other)
            if (other != host)
                yaml += "  - " + address(other, 1) + "\n";
    };
    if (kind == program::relay) {
        yaml += "platform: " + platform_url() + "\n";
        if (hosts() > 1)
            append_addresses("peers", false);
        yaml += "operators:\n  ops: \"" + OPERATOR_HASH + "\"\n";
        yaml +=
            "snapshot_records: " + std::to_string(options_.snapshot_records) +
            "\nsnapshot_period_ms: " +
            std::to_string(options_.snapshot_period_ms) + "\n";
    } else {
        append_addresses("relays", true);
    }
    if (kind == program::gate) {
        yaml += "gates:\n";
        for (int other = 0; other < hosts(); ++other)
            yaml += "  " + host_name(other) + ": " + address(other, 3) + "\n";
        yaml += "longest_deadline_ms: " +
                std::to_string(options_.longest_deadline_ms) +
                "\nclock_skew_ms: " + std::to_string(options_.clock_skew_ms) +
                "\nleave_grace_ms: " + std::to_string(options_.leave_grace_ms) +
                "\n";
    }
    if (kind == program::placer)
        yaml +=
            "lease_ms: " + std::to_string(options_.lease_ms) +
            "\nowner_timeout_ms: " + std::to_string(options_.owner_timeout_ms) +
            "\n";
    if (adjust_settings)
        adjust_settings(host, kind, yaml);
    const auto file = options_.work_dir /
                      (program_name(kind) + "-" + host_name(host) + ".yaml");
    std::ofstream(file) << yaml;
    return file.string();
}

void cluster::start_program(int host, program kind) {
    programs_[{host, kind}] =
        spawn(program_name(kind), {"--settings=" + write_settings(host, kind)});
}

void cluster::signal_program(int host, program kind, int signal) {
    const pid_t target = pid(host, kind);
    kill(target, signal);
    if (signal != SIGKILL)
        return;
    waitpid(target, nullptr, 0);
    programs_.erase({host, kind});
}

int cluster::wait_for_exit(int host, program kind) {
    int status = -1;
    waitpid(pid(host, kind), &status, 0);
    programs_.erase({host, kind});
    return status;
}

void cluster::start_platform() {
    platform_ =
        spawn("standin_platform",
              {"--listen=127.0.0.1:" +
               std::to_string(options_.base_port + PLATFORM_PORT_OFFSET)});
    wait_until([&] {
        return send_http_request({.url = platform_url() + "/admin/stats"})
                   .status == 200;
    });
}

void cluster::kill_platform() {
    kill(platform_, SIGKILL);
    waitpid(platform_, nullptr, 0);
    platform_ = 0;
}

void cluster::update_host_list(const std::vector<int>& leaving,
                               const std::vector<int>& removed) const {
    const auto contains = [](const std::vector<int>& list, int number) {
        return std::find(list.begin(), list.end(), number) != list.end();
    };
    const auto centre_of = [&](int number) {
        return options_.data_centres.at(static_cast<size_t>(number) %
                                        options_.data_centres.size());
    };
    json runners = json::array();
    for (int i = 0; i < options_.runners; ++i)
        runners.push_back(
            {{"info",
              {{"id", "runner-" + std::to_string(i)},
               {"data_centre", centre_of(i)},
               {"address",
                "127.0.0.1:" + std::to_string(options_.base_port +
                                              FIRST_RUNNER_PORT_OFFSET + i)},
               {"slots", 8}}},
             {"state", "live"}});
    json workers = json::array();
    const auto centres = static_cast<int>(options_.data_centres.size());
    for (int i = 0; i < options_.workers; ++i) {
        if (contains(removed, i))
            continue;
        const bool has_accelerators = options_.accelerator_every > 0 &&
                                      i % options_.accelerator_every == 0;
        workers.push_back(
            {{"info",
              {{"id", "worker-" + std::to_string(i)},
               {"data_centre", centre_of(i)},
               {"rack", centre_of(i) + "-rack-" +
                            std::to_string(i / centres / WORKERS_PER_RACK)},
               {"address",
                "127.0.0.1:" + std::to_string(options_.base_port +
                                              FIRST_WORKER_PORT_OFFSET + i)},
               {"owned",
                {{"milli_cores", options_.cores * 1'000},
                 {"memory_mib", options_.memory_mib},
                 {"accelerators",
                  has_accelerators ? options_.accelerators : 0}}}}},
             {"state", contains(leaving, i) ? "leaving" : "live"}});
    }
    send_http_request(
        {.method = "POST",
         .url = platform_url() + "/admin/hosts",
         .body = json({{"runners", runners}, {"workers", workers}}).dump()});
}

void cluster::start_processes() {
    start_platform();
    targets_ = spawn(
        "standin_targets",
        {"--admin_port=" +
             std::to_string(options_.base_port + TARGETS_PORT_OFFSET),
         "--runner_port=" +
             std::to_string(options_.base_port + FIRST_RUNNER_PORT_OFFSET),
         "--worker_port=" +
             std::to_string(options_.base_port + FIRST_WORKER_PORT_OFFSET),
         "--runners=" + std::to_string(options_.runners),
         "--workers=" + std::to_string(options_.workers),
         "--cores=" + std::to_string(options_.cores),
         "--memory_mib=" + std::to_string(options_.memory_mib),
         "--accelerators=" + std::to_string(options_.accelerators),
         "--accelerator_every=" + std::to_string(options_.accelerator_every)});
    update_host_list();
    for (int host = 0; host < hosts(); ++host)
        for (const program kind :
             {program::relay, program::gate, program::placer})
            start_program(host, kind);
}

blocking_response cluster::publish_change(std::int64_t base_version,
                                          const json& set, const json& drop,
                                          int host) {
    return send_http_request(
        {.method = "POST",
         .url = relay_url(host) + "/v1/config",
         .body = json({{"base", base_version}, {"set", set}, {"drop", drop}})
                     .dump(),
         .headers = {{"Authorization", "Bearer " + OPERATOR_KEY}},
         .timeout_ms = 10'000});
}

blocking_response cluster::publish(const json& document, int host) {
    const auto current =
        send_http_request(
            {.url = relay_url(host) + "/v1/config",
             .headers = {{"Authorization", "Bearer " + OPERATOR_KEY}}})
            .json();
    if (current.is_null())
        return {};
    const config_delta delta = diff_config(current["document"], document);
    auto answer = publish_change(current["version"].get<std::int64_t>(),
                                 delta.set, delta.drop, host);
    if (answer.status == 200)
        declarations_ = document;
    return answer;
}

void cluster::start() {
    start_processes();
    const bool published = wait_until(
        [&] { return publish(declarations_).status == 200; }, 30'000);
    if (!published)
        throw unreachable_error(
            "the declarations could not be published within 30 s");
    const bool ready = wait_until(
        [&] {
            for (int host = 0; host < hosts(); ++host)
                if (send_http_request({.url = gate_url(host) + "/readyz"})
                        .status != 200)
                    return false;
            return true;
        },
        30'000);
    if (!ready)
        throw unreachable_error("not all gates were ready within 30 s");
}

json cluster::audit() const {
    return send_http_request({.url = targets_url() + "/admin/audit"}).json();
}

json cluster::platform_stats() const {
    return send_http_request({.url = platform_url() + "/admin/stats"}).json();
}

void cluster::inject_platform_fault(const json& fault) const {
    send_http_request({.method = "POST",
                       .url = platform_url() + "/admin/fault",
                       .body = fault.dump()});
}

void cluster::inject_target_fault(const json& fault) const {
    send_http_request({.method = "POST",
                       .url = targets_url() + "/admin/fault",
                       .body = fault.dump()});
}

} // namespace rattan::standin
