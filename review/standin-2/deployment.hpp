/** @file A small deployment: hosts of the system, a store and runners. */
#pragma once

#include "model_target.hpp"
#include "recorder.hpp"

#include "harness_http.hpp"
#include "model_store.hpp"
#include "net/event_loop.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

struct deployment_options {
    std::string program; ///< Path of `rattan_front`.
    std::filesystem::path record_file;
    int hosts = 3;
    int targets = 2;
    std::int64_t milli_cores = 8000; ///< Of each target.
    std::int64_t memory_mib = 65536;
    /** Limit of processors of the organisation; 0: none. */
    std::int64_t max_milli_cores = 0;
    plan_lookup plan;
};

/**
 * Runs the stand-ins in a thread of its own and the hosts as processes, all on
 * loopback addresses of their own. The destructor ends everything.
 */
class deployment {
public:
    explicit deployment(deployment_options options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    recorder& record() { return *record_; }

    /** Runs a call in the thread of the stand-ins and waits for it. */
    void in_loop(const std::function<void()>& call);
    model_store& store() { return *store_; }
    model_target& target(int number) { return *targets_.at(number); }

    void start_host(int host);
    void kill_host(int host);
    void terminate_host(int host);
    void freeze_host(int host);
    void wake_host(int host);
    /** Ends the process of a host that was terminated, waits at most 8 s. */
    void wait_for_exit(int host);
    /** The host that owns the cell; 0: none. */
    int owner();

    /** A client's call; repeated like a client does, see `submit`. */
    rattan::standin::blocking_response call(int host, const std::string& method,
                                            const std::string& job,
                                            const std::string& body = "");
    /** Hands in a job, at one host after the other until it is accepted. */
    bool submit(const std::string& job, const nlohmann::json& body);
    std::string state(int host, const std::string& job);

    /** Waits until a condition holds. @return Whether it does. */
    static bool wait_for(const std::function<bool()>& done, int limit_ms);

private:
    void write_settings(int host);
    void write_config();
    [[nodiscard]] std::string host_ip(int host) const;
    [[nodiscard]] std::string platform_ip() const;

    deployment_options options_;
    std::string prefix_; ///< First three numbers of all addresses.
    std::filesystem::path work_dir_;
    std::unique_ptr<recorder> record_;
    std::unique_ptr<rattan::event_loop> loop_;
    std::unique_ptr<model_store> store_;
    std::vector<std::unique_ptr<model_target>> targets_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::function<void()>> calls_;
    std::map<int, pid_t> pids_;
    std::map<int, std::int64_t> heard_ms_; ///< Last heartbeat, by target.
    std::map<int, bool> listed_;
    std::map<int, std::int64_t> entry_born_;
};

/** Name of a job: 16 hexadecimal digits. */
std::string job_name(int number);

} // namespace review
