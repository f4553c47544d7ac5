/** @file A stand-in of the platform: store, targets and advice service. */
#include "fleet_store.hpp"
#include "fleet_target.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(ip, "127.0.2.1", "IP number of all services");
DEFINE_int32(port, 21000, "the store's port; admin, advice and targets follow");
DEFINE_int32(targets, 6, "number of targets");
DEFINE_int32(cores, 8, "cores of each target");
DEFINE_int32(decide_ms, 5, "response time of the advice service in ms");

namespace {

using namespace rattan;
using namespace rattan::standin;
using nlohmann::json;

constexpr int ADMIN_PORT_OFFSET = 1;
constexpr int ADVICE_PORT_OFFSET = 2;
constexpr int ALTERNATE_STORE_PORT_OFFSET = 3; ///< Second port of the store.
constexpr int FIRST_TARGET_PORT_OFFSET = 10;
constexpr millis HEARTBEAT_PERIOD{1500};
/** From the start of a target's process until the list shows it. */
constexpr millis REGISTRATION_DELAY{300};
constexpr int MILLI_CORES_PER_CORE = 1000;

std::string endpoint(int offset) {
    return FLAGS_ip + ":" + std::to_string(FLAGS_port + offset);
}

/** Advises that every target in the request is suitable for the step. */
http_response advise(const http_request& request) {
    const json body = json::parse(request.body, nullptr, false);
    json suitable = json::array();
    for (const json& target : body.at("workers"))
        suitable.push_back({target, "ticket"});
    return {.body = json({{"good", suitable}, {"validMs", 2500}}).dump()};
}

http_response
show_audit(const fleet_audit& audit,
           const std::vector<std::unique_ptr<fleet_target>>& targets) {
    const auto held =
        std::count_if(targets.begin(), targets.end(), [](const auto& target) {
            return target && !target->held_start().empty();
        });
    int present = 0;
    for (const auto& [task, runs] : audit.present)
        present += runs;
    return {.body = json({{"two_places", audit.two_places},
                          {"after_done", audit.after_done},
                          {"overcommitted", audit.overcommitted},
                          {"starts", audit.starts},
                          {"last_start_target", audit.last_start_target},
                          {"present", present},
                          {"held_starts", held},
                          {"done", audit.done.size()}})
                        .dump()};
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Stand-in of the platform for tests.");
    gflags::SetVersionString(RATTAN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        event_loop loop;
        fleet_audit audit;
        fleet_store store(loop, endpoint(0),
                          endpoint(ALTERNATE_STORE_PORT_OFFSET));
        const auto make_target = [&](std::size_t number) {
            return std::make_unique<fleet_target>(
                loop, "t" + std::to_string(number),
                endpoint(FIRST_TARGET_PORT_OFFSET + static_cast<int>(number)),
                std::int64_t{FLAGS_cores} * MILLI_CORES_PER_CORE, audit);
        };
        // Empty while the process of a target has ended.
        std::vector<std::unique_ptr<fleet_target>> targets;
        for (std::size_t i = 0; i < static_cast<std::size_t>(FLAGS_targets);
             ++i)
            targets.push_back(make_target(i));
        const auto publish_targets = [&] {
            for (size_t i = 0; i < targets.size(); ++i)
                if (targets[i])
                    store.put("keyed.servers", "t" + std::to_string(i),
                              targets[i]->entry());
        };
        // The next process of a target begins after `down_ms`, and the start
        // that was held arrives there `late_ms` after that.
        const auto restart_target = [&](const http_request& request) {
            const auto milliseconds = [&](const char* name) {
                return millis(std::stol(request.query.at(name)));
            };
            const std::size_t number = std::stoul(request.query.at("target"));
            const std::string held = targets.at(number)->held_start();
            targets[number].reset();
            loop.after(milliseconds("down_ms"),
                       [&, number, held, late = milliseconds("late_ms")] {
                           targets[number] = make_target(number);
                           loop.after(REGISTRATION_DELAY, publish_targets);
                           if (!held.empty())
                               loop.after(late, [&, number, held] {
                                   targets[number]->start_late(held);
                               });
                       });
        };
        publish_targets();
        loop.every(HEARTBEAT_PERIOD, publish_targets);
        const http_server advice(
            loop, endpoint(ADVICE_PORT_OFFSET), {},
            [&](const http_request& request,
                const http_server::responder& answer) {
                loop.after(millis(FLAGS_decide_ms),
                           [request, answer] { answer(advise(request)); });
            });
        const http_server admin(
            loop, endpoint(ADMIN_PORT_OFFSET), {},
            [&](const http_request& request,
                const http_server::responder& answer) {
                if (request.path == "/admin/store")
                    return answer(store.handle_admin(request));
                if (request.path == "/admin/silence")
                    targets.at(std::stoul(request.query.at("target")))
                        ->set_silent(request.query.at("on") == "1");
                if (request.path == "/admin/hold_start")
                    targets.at(std::stoul(request.query.at("target")))
                        ->hold_next_start();
                if (request.path == "/admin/restart")
                    restart_target(request);
                answer(show_audit(audit, targets));
            });
        loop.on_signals([&] { loop.stop(); }, [] {});
        loop.run();
        return 0;
    } catch (const error& failure) {
        std::cerr << "standin_fleet: " << failure.what() << "\n";
        return 1;
    }
}
