/** @file Commands that print the state of processes, and `cancel`. */
#include "ctl/ctl_type.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>

namespace rattan {

using nlohmann::json;

namespace {

/** Fetches the state of one process; `reached` tells if it answered. */
json fetch_process_state(const ctl_context& context,
                         const std::string& address) {
    const http_call_result answer =
        ctl_call(context, {.url = "http://" + address + "/v1/state",
                           .timeout = millis(1'000)});
    json state =
        answer.ok() ? json::parse(answer.body, nullptr, false) : json::object();
    if (!state.is_object())
        state = json::object();
    state["address"] = address;
    state["reached"] = answer.ok();
    return state;
}

/** Prints one line of the status table. */
void print_process(const json& state, std::int64_t newest) {
    if (!state["reached"].get<bool>()) {
        std::printf("%-22s %-8s %-8s\n",
                    state["address"].get<std::string>().c_str(), "?", "away");
        return;
    }
    const auto version = state.value("version", std::int64_t{0});
    const std::int64_t now =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    std::printf(
        "%-22s %-8s %-8s version %lld %s, since %llds, age %lld ms, "
        "%s%s\n",
        state["address"].get<std::string>().c_str(),
        state.value("program", "?").c_str(), state.value("host", "?").c_str(),
        static_cast<long long>(version),
        version == newest ? "in force" : "OUT OF DATE",
        static_cast<long long>(
            (now - state.value("accepted_ms", std::int64_t{0})) / 1'000),
        static_cast<long long>(state.value("current_age_ms", std::int64_t{0})),
        state.value("ready", false) ? "ready" : "not ready",
        state.value("log_reachable", false) ? "" : ", log unreachable");
}

} // namespace

exit_code run_status(const ctl_context& context) {
    json states = json::array();
    std::int64_t newest = 0;
    for (const std::string& address : context.processes) {
        states.push_back(fetch_process_state(context, address));
        newest =
            std::max(newest, states.back().value("version", std::int64_t{0}));
    }
    bool all_in_force = true;
    for (const json& state : states)
        all_in_force = all_in_force && state["reached"].get<bool>() &&
                       state.value("version", std::int64_t{-1}) == newest;
    if (context.json) {
        std::cout << json({{"newest", newest},
                           {"in_force_everywhere", all_in_force},
                           {"processes", states}})
                         .dump()
                  << "\n";
    } else {
        for (const json& state : states)
            print_process(state, newest);
    }
    return all_in_force ? exit_code::ok : exit_code::not_in_force;
}

exit_code run_dump(const ctl_context& context) {
    const http_call_result answer =
        ctl_call(context, {.url = "http://" + context.args.front() + "/dump"});
    if (!answer.ok())
        throw unreachable_error("no answer from " + context.args.front());
    std::cout << answer.body;
    return exit_code::ok;
}

exit_code run_cancel(const ctl_context& context) {
    if (context.organisation.empty() && context.plan.empty())
        throw command_error("--team, --plan or both are required");
    const http_call_result answer = ctl_call(
        context,
        {.method = "POST",
         .url = context.relay + "/v1/cancel",
         .body = json({{"team", context.organisation}, {"plan", context.plan}})
                     .dump(),
         .timeout = millis(10'000)});
    if (answer.outcome != http_outcome::answered)
        throw unreachable_error("no answer from " + context.relay +
                                "; jobs may have been cancelled");
    std::cout << answer.body;
    return answer.ok() ? exit_code::ok : exit_code::refused;
}

} // namespace rattan
