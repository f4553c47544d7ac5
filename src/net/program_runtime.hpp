/** @file What every program has: settings, log, admin port, leaving. */
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

/** Settings that every program has. */
struct process_settings {
    host_id host;
    data_centre_id data_centre;
    std::string http;                ///< Callers' or operators' HTTP.
    std::string rpc;                 ///< Calls of other processes.
    std::vector<std::string> relays; ///< The own entry host's first.
    bool json_log = true;
};

/** Reads them; fields of the program itself are read by the caller. */
process_settings read_process_settings(settings_reader& reader);

/** Writes a state dump into the log, as one line. */
void log_state_dump(const nlohmann::json& dump);

/** What a program shows on its admin paths. */
struct admin_callbacks {
    std::function<bool()> is_ready;
    std::function<nlohmann::json()> dump;
    std::function<nlohmann::json()> state; ///< Version in force and age.
};

/**
 * Answers `/healthz`, `/readyz`, `/metrics`, `/dump` and `/v1/state`.
 * @return False when the path is another one.
 */
bool answer_admin(const http_request& request, metrics_registry& metrics,
                  const admin_callbacks& callbacks,
                  const http_server::responder& answer);

/** A main function's body, without its program's own part. */
struct program_options {
    std::string name;
    std::function<void(event_loop&, settings_reader&)> run;
};

/**
 * Parses the command line, reads the settings and runs a program.
 * @return 0, or 2 for settings that can't be used, or 1 for other failures.
 */
int run_program(int argc, char** argv, const program_options& options);

/**
 * The main function of a program that is one service: reads its settings,
 * starts it, and lets it leave on SIGTERM.
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

/** Unix time in milliseconds, for ids and answers to people. */
std::int64_t wall_millis();

} // namespace rattan
