/** @file Main function of rattan_front, the program of an entry host. */
#include "base/log_func.hpp"
#include "front/front_service.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <malloc.h>

#include <cstdlib>
#include <iostream>

DECLARE_string(settings); // A key=value file of the platform, not YAML.

namespace {

constexpr int EXIT_BAD_SETTINGS = 2;
/**
 * Buffers of this size are mapped, so that freed ones return to the system.
 * By default the library raises this limit when such a buffer is freed.
 */
constexpr int MAPPED_BUFFER_BYTES = 128 << 10;

/** The settings file's path: the flag, else $RATTANKNOT_SETTINGS. */
std::string settings_path() {
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char* path = std::getenv("RATTANKNOT_SETTINGS");
    return path != nullptr ? path : "/etc/rattanknot/local.conf";
}

} // namespace

int main(int argc, char** argv) {
    using namespace rattan;
    gflags::SetUsageMessage(
        "[--settings FILE]\n  Serves clients on an entry host until SIGTERM; "
        "SIGUSR1 logs a state dump.\n  Exit: 0 shut down on request, 2 invalid "
        "settings, 1 other failures.");
    gflags::SetVersionString(RATTAN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        const auto settings = platform::load_platform_settings(settings_path());
        log_open({.program = "rattan_front"});
        if (settings.memory_bytes > 0)
            mallopt(M_MMAP_THRESHOLD, MAPPED_BUFFER_BYTES);
        event_loop loop(settings.max_descriptors);
        front::front_service service(loop, settings);
        loop.on_signals([&] { service.shut_down(); },
                        [&] { service.log_state_dump(); });
        loop.on_reload([&] {
            log_event(log_level::info, "reload_asked",
                      {{"effect", "none: settings are read at start"}});
        });
        service.start();
        loop.run();
        return 0;
    } catch (const config_error& failure) {
        std::cerr << "rattan_front: " << failure.what() << "\n";
        return EXIT_BAD_SETTINGS;
    } catch (const error& failure) {
        std::cerr << "rattan_front: " << failure.what() << "\n";
        return 1;
    }
}
