/** @file Starts the programs and stand-ins of a small deployment. */
#pragma once

#include "harness_http.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rattan::standin {

/** Size, ports and time limits of a deployment. */
struct cluster_options {
    std::filesystem::path declarations_dir; ///< Directory of YAML files.
    std::filesystem::path work_dir;         ///< For settings files and logs.
    int base_port = 20'000;
    std::vector<std::string> data_centres;
    int hosts_per_centre = 2;
    int runners = 6;
    int workers = 6;
    int cores = 32;
    int memory_mib = 65'536;
    int accelerators = 4;
    int accelerator_every = 0; ///< Every nth worker has them; 0: none.
    int lease_ms = 15'000;
    int owner_timeout_ms = 3'000;
    int longest_deadline_ms = 1'000;
    int clock_skew_ms = 100;
    int snapshot_records = 5'000;
    int snapshot_period_ms = 60'000;
    int leave_grace_ms = 1'000;
};

/** Programs that run on each entry host. */
enum class program { relay, gate, placer };

/** A running deployment. The destructor kills every process it started. */
class cluster {
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /** Starts all processes, publishes the declarations and waits until all
     * gates are ready. */
    void start();
    /** Starts the stand-ins and programs without publishing declarations. */
    void start_processes();
    /** Publishes complete declarations through a relay. */
    blocking_response publish(const nlohmann::json& document, int host = 0);
    /** Publishes a change against a base version of the configuration. */
    blocking_response publish_change(std::int64_t base_version,
                                     const nlohmann::json& set,
                                     const nlohmann::json& drop, int host = 0);

    void start_program(int host, program kind);
    /** Sends a signal; after SIGKILL also waits for the process to end. */
    void signal_program(int host, program kind, int signal);
    /** Waits until a program exits by itself. @return Its wait status. */
    int wait_for_exit(int host, program kind);
    void kill_platform();
    void start_platform();

    [[nodiscard]] int hosts() const;
    [[nodiscard]] std::string host_name(int host) const;
    [[nodiscard]] std::string gate_url(int host) const;
    [[nodiscard]] std::string relay_url(int host) const;
    [[nodiscard]] std::string placer_url(int host) const;
    [[nodiscard]] std::string platform_url() const;
    [[nodiscard]] std::string targets_url() const;
    [[nodiscard]] pid_t pid(int host, program kind) const;

    /** Audit of the stand-in targets: what actually ran. */
    [[nodiscard]] nlohmann::json audit() const;
    /** Counters of the stand-in platform. */
    [[nodiscard]] nlohmann::json platform_stats() const;
    /** Sets faults of the platform, as `{"outage": true}`. */
    void inject_platform_fault(const nlohmann::json& fault) const;
    /** Sets a fault of one target, as `{"worker": 0, "mode": "dead"}`. */
    void inject_target_fault(const nlohmann::json& fault) const;
    /** Replaces the host list of the platform; workers are given by index. */
    void update_host_list(const std::vector<int>& leaving = {},
                          const std::vector<int>& removed = {}) const;
    /** Hook that edits the settings of a program before it starts. */
    std::function<void(int host, program kind, std::string& yaml)>
        adjust_settings;

    [[nodiscard]] const cluster_options& options() const { return options_; }
    [[nodiscard]] nlohmann::json declarations() const { return declarations_; }

private:
    pid_t spawn(const std::string& name, const std::vector<std::string>& args);
    std::string write_settings(int host, program kind) const;
    [[nodiscard]] int port(int host, int index) const;
    [[nodiscard]] std::string address(int host, int index) const;

    cluster_options options_;
    nlohmann::json declarations_;
    std::map<std::pair<int, program>, pid_t> programs_;
    std::vector<pid_t> stopped_; ///< Paused processes.
    pid_t platform_ = 0;
    pid_t targets_ = 0;
};

/** Polls a condition. @return False when it does not hold in time. */
bool wait_until(const std::function<bool()>& condition, int limit_ms = 20'000);

/** Returns a unique request id; ids start with the current time. */
std::string new_request_id();

/** HTTP headers of a request; empty arguments add no header. */
std::map<std::string, std::string> caller_headers(const std::string& key,
                                                  const std::string& request);

} // namespace rattan::standin
