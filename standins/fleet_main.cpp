/** @file The users' platform in one process: store, targets, advice. */
#include "fleet_store.hpp"
#include "fleet_target.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(ip, "127.0.2.1", "IP number of everything");
DEFINE_int32(port, 21000, "the store's port; admin, advice and targets follow");
DEFINE_int32(targets, 6, "how many targets");
DEFINE_int32(cores, 8, "processors of each target");
DEFINE_int32(decide_ms, 5, "the advice service works so long on a call");

namespace {

using namespace rattan;
using namespace rattan::standin;
using nlohmann::json;

constexpr int ADMIN_PORT = 1;
constexpr int ADVICE_PORT = 2;
constexpr int SIDE_PORT = 3; ///< The store again, for one host.
constexpr int FIRST_TARGET_PORT = 10;
constexpr millis HEARTBEAT{1500};
constexpr int MILLI = 1000;

std::string address(int offset) {
    return FLAGS_ip + ":" + std::to_string(FLAGS_port + offset);
}

/** Says that every target named may run the step. */
http_response advise(const http_request& request) {
    const json body = json::parse(request.body, nullptr, false);
    json good = json::array();
    for (const json& target : body.at("workers"))
        good.push_back({target, "ticket"});
    return {.body = json({{"good", good}, {"validMs", 2500}}).dump()};
}

http_response show_audit(const fleet_audit& audit) {
    int present = 0;
    for (const auto& [task, runs] : audit.present)
        present += runs;
    return {.body = json({{"two_places", audit.two_places},
                          {"after_done", audit.after_done},
                          {"overcommitted", audit.overcommitted},
                          {"starts", audit.starts},
                          {"present", present},
                          {"done", audit.done.size()}})
                        .dump()};
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("plays the users' platform for tests");
    gflags::SetVersionString(RATTAN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        event_loop loop;
        fleet_audit audit;
        fleet_store store(loop, address(0), address(SIDE_PORT));
        std::vector<std::unique_ptr<fleet_target>> targets;
        for (int i = 0; i < FLAGS_targets; ++i)
            targets.push_back(std::make_unique<fleet_target>(
                loop, "t" + std::to_string(i), address(FIRST_TARGET_PORT + i),
                std::int64_t{FLAGS_cores} * MILLI, audit));
        const auto beat = [&] {
            for (size_t i = 0; i < targets.size(); ++i)
                store.put("keyed.servers", "t" + std::to_string(i),
                          targets[i]->entry());
        };
        beat();
        loop.every(HEARTBEAT, beat);
        const http_server advice(
            loop, address(ADVICE_PORT), {},
            [&](const http_request& request,
                const http_server::responder& answer) {
                loop.after(millis(FLAGS_decide_ms),
                           [request, answer] { answer(advise(request)); });
            });
        const http_server admin(
            loop, address(ADMIN_PORT), {},
            [&](const http_request& request,
                const http_server::responder& answer) {
                if (request.path == "/admin/store")
                    return answer(store.administer(request));
                if (request.path == "/admin/silence")
                    targets.at(std::stoul(request.query.at("target")))
                        ->set_silent(request.query.at("on") == "1");
                answer(show_audit(audit));
            });
        loop.on_signals([&] { loop.stop(); }, [] {});
        loop.run();
        return 0;
    } catch (const error& failure) {
        std::cerr << "standin_fleet: " << failure.what() << "\n";
        return 1;
    }
}
