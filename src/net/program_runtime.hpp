/** @file Common parts of all programs: settings, log, admin paths, main. */
#pragma once

#include "base/metrics_base.hpp"
#include "base/settings_reader.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "rattan/id_type.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace rattan {

/** Settings common to all programs. */
struct process_settings {
    host_id host;
    data_centre_id data_centre;
    std::string http;                ///< Listen address for HTTP.
    std::string rpc;                 ///< Listen address for RPC.
    std::vector<std::string> relays; ///< The one on this entry host first.
    bool json_log = true;
    std::size_t body_memory = 0; ///< Limit on all request bodies, in bytes.
};

/** Reads the common settings; the caller reads those of the program. */
process_settings read_process_settings(settings_reader& reader);

/** Budget of the bodies on the HTTP port of a process. */
caller_budget make_body_budget(const process_settings& settings,
                               const http_limits& limits);

/**
 * Adds a budget to the limits of an HTTP port, and small socket buffers, so
 * that the memory of a process does not grow with its clients.
 */
http_limits bounded_limits(http_limits limits, caller_budget& budget,
                           metrics_registry& metrics);

/** Writes a state dump to the log output of the process, as one line. */
void log_state_dump(const nlohmann::json& dump);

/** Sources of the answers on the admin paths. */
struct admin_callbacks {
    std::function<bool()> is_ready;
    std::function<nlohmann::json()> dump;
    std::function<nlohmann::json()> state; ///< For `/v1/state`.
};

/**
 * Answers GET of `/healthz`, `/readyz`, `/metrics`, `/dump` and `/v1/state`.
 * @return False if the request is for something else; then nothing is sent.
 */
bool answer_admin(const http_request& request, metrics_registry& metrics,
                  const admin_callbacks& callbacks,
                  const http_server::responder& answer);

/** Name and main loop of a program, for `run_program`. */
struct program_options {
    std::string name;
    std::function<void(event_loop&, settings_reader&)> run;
};

/**
 * Parses the command line, opens the settings and the log, runs a program.
 * @return Exit code: 0, 2 for unusable settings, 1 for other failures.
 */
int run_program(int argc, char** argv, const program_options& options);

/**
 * The main function of a program that consists of one service: reads its
 * settings, starts it, and shuts it down gracefully on SIGTERM.
 */
template <typename Service, typename Settings>
int run_service(int argc, char** argv, const std::string& name,
                Settings (*read_settings)(settings_reader&)) {
    return run_program(
        argc, argv,
        {.name = name,
         .run = [read_settings](event_loop& loop, settings_reader& reader) {
             Service service(loop, read_settings(reader));
             loop.on_signals([&] { service.shut_down(); },
                             [&] { service.log_dump(); });
             service.start();
             loop.run();
         }});
}

/** Unix time in milliseconds; not monotonic, for ids and display only. */
std::int64_t wall_millis();

} // namespace rattan
