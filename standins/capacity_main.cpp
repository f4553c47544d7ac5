/** @file Measures what control costs at several sizes, on real programs. */
#include "harness_cluster.hpp"
#include "harness_load.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>
#include <thread>
#include <unistd.h>

DEFINE_string(examples, "examples", "folder of the example declarations");
DEFINE_int32(seconds, 5, "length of each measurement");

namespace {

using nlohmann::json;
using namespace rattan::standin;

const std::string KEY = "nairobi-coop-1.demo-nairobi-coop";

/** Sums over the programs of one kind. */
struct usage {
    double cpu_s = 0;
    double memory_mb = 0; ///< The largest.
    double bytes = 0;     ///< To workers, readers and the log.
    double appends = 0;
};

/** A figure of a metrics page. */
double figure(const std::string& page, const std::string& name) {
    const size_t at = page.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::atof(page.c_str() + at + name.size() + 2);
}

/** Usage of one kind of program so far. */
usage usage_of(const cluster& deployment, program which) {
    usage sum;
    for (int host = 0; host < deployment.hosts(); ++host) {
        const std::string url =
            which == program::relay  ? deployment.relay_url(host)
            : which == program::gate ? deployment.gate_url(host)
                                     : deployment.placer_url(host);
        const std::string page = "\n" + http_do({.url = url + "/metrics"}).body;
        sum.cpu_s += figure(page, "process_cpu_seconds_total");
        sum.memory_mb = std::max(
            sum.memory_mb, figure(page, "process_resident_memory_bytes") / 1e6);
        sum.bytes += figure(page, "rattan_worker_bytes_total") +
                     figure(page, "rattan_read_bytes_sent_total") +
                     figure(page, "rattan_log_append_bytes_total") +
                     figure(page, "rattan_record_bytes_folded_total");
        sum.appends += figure(page, "rattan_log_appends_total");
    }
    return sum;
}

/** Runs something for a while and prints what it cost a second. */
void measure(const cluster& deployment, const std::string& what,
             const std::function<void()>& act) {
    std::map<program, usage> before;
    for (const program which : {program::relay, program::gate, program::placer})
        before[which] = usage_of(deployment, which);
    const auto begun = rattan::wall_millis();
    act();
    const double seconds =
        static_cast<double>(rattan::wall_millis() - begun) / 1e3;
    std::printf("%-34s", what.c_str());
    for (const program which :
         {program::relay, program::gate, program::placer}) {
        const usage after = usage_of(deployment, which);
        std::printf(" | %7.2f %8.2f %6.1f %6.2f",
                    (after.cpu_s - before[which].cpu_s) / seconds * 1e3,
                    (after.bytes - before[which].bytes) / seconds / 1e3,
                    after.memory_mb,
                    (after.appends - before[which].appends) / seconds);
    }
    std::printf("\n");
    std::fflush(stdout);
}

/** Waits for the length of a measurement. */
void pause() {
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
}

/** Submits a job. */
void submit(const cluster& deployment, int host, const json& job) {
    http_do({.method = "POST",
             .url = deployment.gate_url(host) + "/v1/jobs",
             .body = job.dump(),
             .headers = caller_headers(KEY, new_request_id())});
}

/** Submits gangs of four short tasks at a rate a second. */
void start_gangs(const cluster& deployment, int rate) {
    const auto begun = rattan::wall_millis();
    int sent = 0;
    while (rattan::wall_millis() - begun < FLAGS_seconds * 1'000) {
        if (sent * 1'000 / rate > rattan::wall_millis() - begun) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        submit(deployment, sent++ % deployment.hosts(),
               {{"plan", "tender-pricing"},
                {"tasks", 4},
                {"cores", 1},
                {"memory_mib", 16},
                {"payload", "run_ms=300"}});
    }
}

/** Publishes changes at a rate a second. */
void publish_changes(cluster& deployment, int rate) {
    json document = deployment.declarations();
    for (int i = 0; i < FLAGS_seconds * rate; ++i) {
        document["teams"]["thika-shops"]["weight"] = 1 + i % 5;
        deployment.publish(document);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000 / rate));
    }
}

/** All measurements at one size. */
void run_size(int workers, int base_port) {
    cluster deployment(
        {.declarations = FLAGS_examples + "/board",
         .folder = std::filesystem::temp_directory_path() /
                   ("rattan-capacity-" + std::to_string(getpid()) + "-" +
                    std::to_string(workers)),
         .base_port = base_port,
         .runners = 24,
         .workers = workers,
         .cores = 64});
    deployment.start();
    const std::string size = std::to_string(workers) + " workers";
    measure(deployment, size + ", idle", pause);
    for (int i = 0; i < workers / 2; ++i)
        submit(deployment, i % 6,
               {{"plan", "curing-watch"},
                {"tasks", 8},
                {"cores", 0},
                {"memory_mib", 1}});
    wait_until([&] {
        return deployment.audit()["running"].size() ==
               static_cast<size_t>(workers / 2 * 8);
    });
    measure(deployment, size + ", 4 tasks each", pause);
    for (const int rate : {5, 20})
        measure(deployment,
                size + ", " + std::to_string(4 * rate) + " starts/s",
                [&] { start_gangs(deployment, rate); });
    measure(deployment, size + ", 2 changes/s",
            [&] { publish_changes(deployment, 2); });
    measure(deployment, size + ", 500 checks/s", [&] {
        std::vector<std::string> gates;
        for (int host = 0; host < deployment.hosts(); ++host)
            gates.push_back(deployment.gate_url(host));
        run_load({.gates = gates,
                  .keys = {KEY},
                  .plan = "price-check",
                  .rate = 500,
                  .duration_ms = FLAGS_seconds * 1'000});
    });
    std::filesystem::remove_all(deployment.options().folder);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Measures what control costs.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%-34s | %-31s| %-31s| %s\n",
                "sums over 6 entry hosts, a second",
                "relay: cpu ms, kB, MB, appends", "gate", "placer");
    try {
        int port = 24'000;
        for (const int workers : {24, 96}) {
            run_size(workers, port);
            port += 700;
        }
        return 0;
    } catch (const rattan::error& failure) {
        std::cerr << "rattan_capacity: " << failure.what() << "\n";
        return 1;
    }
}
