/** @file The `rattan_gate` program. */
#include "gate/gate_service.hpp"

#include "rattan/error_type.hpp"

namespace {

/** Reads the settings of a gate. */
rattan::gate_settings read_settings(rattan::settings_reader& reader) {
    using rattan::millis;
    rattan::gate_settings settings;
    settings.process = rattan::read_process_settings(reader);
    settings.gates = reader.texts_by_name("gates");
    settings.caller_limits.body_bytes = static_cast<size_t>(
        reader.number("max_body_bytes", 1'024, 64 << 20, 1 << 20));
    settings.caller_limits.connections = static_cast<unsigned>(
        reader.number("max_connections", 1, 100'000, 1'000));
    settings.caller_limits.idle_s =
        static_cast<unsigned>(reader.number("idle_s", 1, 3'600, 30));
    settings.default_deadline = reader.time("default_deadline_ms", millis(1),
                                            millis(60'000), millis(1'000));
    settings.max_deadline = reader.time("longest_deadline_ms", millis(1),
                                        millis(60'000), millis(5'000));
    settings.shutdown_grace = reader.time("leave_grace_ms", millis(0),
                                          millis(600'000), millis(5'000));
    settings.clock_skew =
        reader.time("clock_skew_ms", millis(0), millis(60'000), millis(2'000));
    settings.runner_choice = reader.text("choice", "least_wait");
    if (!rattan::choice_policies().contains(settings.runner_choice))
        throw rattan::config_error("settings", 0, "choice",
                                   "must be least_wait, two_choices or random");
    if (settings.process.relays.empty())
        throw rattan::config_error("settings", 0, "relays",
                                   "needs at least 1 address");
    reader.refuse_unknown_fields();
    return settings;
}

} // namespace

int main(int argc, char** argv) {
    return rattan::run_service<rattan::gate_service>(argc, argv, "rattan_gate",
                                                     read_settings);
}
