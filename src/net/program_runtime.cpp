#include "net/program_runtime.hpp"

#include "base/log_func.hpp"
#include "net/resource_shares.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "the program's settings, a YAML file");

namespace rattan {

namespace {

constexpr int EXIT_BAD_SETTINGS = 2;
constexpr std::int64_t DEFAULT_BODY_MEMORY_MB = 16;
constexpr std::int64_t MAX_BODY_MEMORY_MB = 4096;
constexpr unsigned BYTES_PER_MB_SHIFT = 20;

} // namespace

std::int64_t wall_millis() {
    return std::chrono::duration_cast<millis>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

process_settings read_process_settings(settings_reader& reader) {
    process_settings settings;
    settings.host.value = reader.text("host");
    settings.data_centre.value = reader.text("data_centre");
    settings.http = reader.address("http");
    settings.rpc = reader.address("rpc");
    settings.relays = reader.addresses("relays", 0);
    settings.json_log = reader.text("log", "json") == "json";
    settings.body_memory = static_cast<std::size_t>(reader.number(
                               "max_body_memory_mb", 1, MAX_BODY_MEMORY_MB,
                               DEFAULT_BODY_MEMORY_MB))
                           << BYTES_PER_MB_SHIFT;
    return settings;
}

caller_budget make_body_budget(const process_settings& settings,
                               const http_limits& limits) {
    // While the largest body grows, its old and its new buffer count, and
    // large ones may not use the last quarter.
    constexpr std::size_t MIN_BODIES = 3;
    return caller_budget(
        std::max(settings.body_memory, limits.body_bytes * MIN_BODIES));
}

http_limits bounded_limits(http_limits limits, caller_budget& budget,
                           metrics_registry& metrics) {
    limits.budget = &budget;
    limits.receive_buffer_bytes = RECEIVE_BUFFER_BYTES;
    limits.send_buffer_bytes = SEND_BUFFER_BYTES;
    limits.backlog = CLIENT_BACKLOG;
    limits.metrics = &metrics;
    return limits;
}

void log_state_dump(const nlohmann::json& dump) {
    log_event(log_level::info, "state_dump", {{"state", dump.dump()}});
}

bool answer_admin(const http_request& request, metrics_registry& metrics,
                  const admin_callbacks& callbacks,
                  const http_server::responder& answer) {
    if (request.method != "GET")
        return false;
    if (request.path == "/healthz") {
        answer({.body = "{\"ok\":true}\n"});
    } else if (request.path == "/readyz") {
        const bool ready = callbacks.is_ready();
        answer({.status = ready ? 200 : 503,
                .body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"});
    } else if (request.path == "/metrics") {
        answer({.body = metrics.text(), .content_type = "text/plain"});
    } else if (request.path == "/dump") {
        answer({.body = callbacks.dump().dump(2) + "\n"});
    } else if (request.path == "/v1/state") {
        answer({.body = callbacks.state().dump() + "\n"});
    } else {
        return false;
    }
    return true;
}

int run_program(int argc, char** argv, const program_options& options) {
    gflags::SetUsageMessage("--settings FILE\n  Runs " + options.name +
                            " until SIGTERM; SIGUSR1 logs a state dump.");
    gflags::SetVersionString(RATTAN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        if (FLAGS_settings.empty())
            throw config_error("command line", 0, "--settings",
                               "is required and names a YAML file");
        settings_reader reader(FLAGS_settings);
        log_open({.program = options.name,
                  .json = reader.text("log", "json") == "json"});
        event_loop loop;
        options.run(loop, reader);
        return 0;
    } catch (const config_error& failure) {
        std::cerr << options.name << ": " << failure.what() << "\n";
        return EXIT_BAD_SETTINGS;
    } catch (const error& failure) {
        std::cerr << options.name << ": " << failure.what() << "\n";
        return 1;
    }
}

} // namespace rattan
