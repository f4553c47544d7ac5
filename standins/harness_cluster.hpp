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

/** Size and faults of a deployment. */
struct cluster_options {
    std::filesystem::path declarations; ///< Folder of YAML files.
    std::filesystem::path folder;       ///< For settings and logs.
    int base_port = 20'000;
    std::vector<std::string> data_centres;
    int hosts_a_centre = 2;
    int runners = 6;
    int workers = 6;
    int cores = 32;
    int memory_mib = 65'536;
    int accelerators = 4;
    int accelerator_every = 0; ///< 0: no worker has any.
    int lease_ms = 15'000;
    int owner_timeout_ms = 3'000;
    int longest_deadline_ms = 1'000;
    int clock_skew_ms = 100;
    int snapshot_records = 5'000;
    int snapshot_period_ms = 60'000;
    int leave_grace_ms = 1'000;
};

/** Programs of one entry host. */
enum class program { relay, gate, placer };

/** A running deployment; everything that it started ends with it. */
class cluster {
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /** Starts everything, publishes the declarations, waits for gates. */
    void start();
    /** Starts stand-ins and programs, without declarations. */
    void start_processes();
    /** Publishes a document; returns the operator's answer. */
    blocking_answer publish(const nlohmann::json& document, int host = 0);
    /** Publishes a change made from a base. */
    blocking_answer publish_change(std::int64_t base, const nlohmann::json& set,
                                   const nlohmann::json& drop, int host = 0);

    void start_program(int host, program which);
    void kill_program(int host, program which, int signal);
    /** Waits until a program has ended by itself. @return Its status. */
    int wait_program(int host, program which);
    void kill_platform();
    void start_platform();

    [[nodiscard]] int hosts() const;
    [[nodiscard]] std::string host_name(int host) const;
    [[nodiscard]] std::string gate_url(int host) const;
    [[nodiscard]] std::string relay_url(int host) const;
    [[nodiscard]] std::string placer_url(int host) const;
    [[nodiscard]] std::string platform_url() const;
    [[nodiscard]] std::string targets_url() const;
    [[nodiscard]] pid_t pid(int host, program which) const;

    /** The stand-ins' count of what really ran. */
    [[nodiscard]] nlohmann::json audit() const;
    /** The platform's counts. */
    [[nodiscard]] nlohmann::json platform_stats() const;
    void fault_platform(const nlohmann::json& fault) const;
    void fault_targets(const nlohmann::json& fault) const;
    /** Sends the host list; `leaving` are workers by number. */
    void send_hosts(const std::vector<int>& leaving = {},
                    const std::vector<int>& gone = {}) const;
    /** Settings of one program, changed before its start. */
    std::function<void(int host, program which, std::string& yaml)>
        adjust_settings;

    [[nodiscard]] const cluster_options& options() const { return options_; }
    [[nodiscard]] nlohmann::json declarations() const { return document_; }

private:
    pid_t spawn(const std::string& name, const std::vector<std::string>& args);
    std::string write_settings(int host, program which) const;
    [[nodiscard]] int port(int host, int which) const;
    [[nodiscard]] std::string address(int host, int which) const;

    cluster_options options_;
    nlohmann::json document_;
    std::map<std::pair<int, program>, pid_t> programs_;
    std::vector<pid_t> stopped_; ///< Paused ones, to be ended too.
    pid_t platform_ = 0;
    pid_t targets_ = 0;
};

/** Waits for a condition; returns false after the time limit. */
bool wait_until(const std::function<bool()>& condition, int limit_ms = 20'000);

/** A new request id, with the present time in it. */
std::string new_request_id();

/** Headers of a caller's request. */
std::map<std::string, std::string> caller_headers(const std::string& key,
                                                  const std::string& request);

} // namespace rattan::standin
