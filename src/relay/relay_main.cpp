/** @file The `rattan_relay` program. */
#include "relay/relay_service.hpp"

namespace {

/** Reads the settings of a relay. */
rattan::relay_settings read_settings(rattan::settings_reader& reader) {
    using rattan::millis;
    rattan::relay_settings settings;
    settings.process = rattan::read_process_settings(reader);
    settings.platform = reader.text("platform");
    settings.peers = reader.addresses("peers", 0);
    settings.operators = reader.texts_by_name("operators");
    settings.snapshot_records =
        reader.number("snapshot_records", 1, 1'000'000, 5'000);
    settings.snapshot_period = reader.time("snapshot_period_ms", millis(100),
                                           millis(3'600'000), millis(60'000));
    reader.refuse_unknown_fields();
    return settings;
}

} // namespace

int main(int argc, char** argv) {
    return rattan::run_service<rattan::relay_service>(
        argc, argv, "rattan_relay", read_settings);
}
