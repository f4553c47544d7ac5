/** @file Entry point of rattan_placer. */
#include "placer/placer_service.hpp"

#include "rattan/error_type.hpp"

namespace {

rattan::placer_settings read_settings(rattan::settings_reader& reader) {
    using rattan::millis;
    rattan::placer_settings settings;
    settings.process = rattan::read_process_settings(reader);
    settings.lease =
        reader.time("lease_ms", millis(300), millis(600'000), millis(15'000));
    settings.owner_timeout = reader.time("owner_timeout_ms", millis(100),
                                         millis(60'000), millis(3'000));
    settings.min_poll_period = reader.time("shortest_poll_ms", millis(20),
                                           millis(60'000), millis(500));
    settings.packing = reader.text("packing", "best_fit");
    if (!rattan::packing_policies().contains(settings.packing))
        throw rattan::config_error("settings", 0, "packing",
                                   "must be best_fit or first_fit, but is '" +
                                       settings.packing + "'");
    if (settings.lease * 2 / 3 <= settings.owner_timeout * 2)
        throw rattan::config_error(
            "settings", 0, "lease_ms",
            "is " + std::to_string(settings.lease.count()) +
                " but must be over three times owner_timeout_ms (" +
                std::to_string(settings.owner_timeout.count()) +
                "), so that a successor adopts tasks before "
                "their leases expire");
    if (settings.process.relays.empty())
        throw rattan::config_error("settings", 0, "relays",
                                   "needs at least 1 address");
    reader.refuse_unknown_fields();
    return settings;
}

} // namespace

int main(int argc, char** argv) {
    return rattan::run_service<rattan::placer_service>(
        argc, argv, "rattan_placer", read_settings);
}
