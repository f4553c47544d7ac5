/** @file Declarations shared by the commands of `rattanctl`. */
#pragma once

#include "net/http_type.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattan {

/** Exit codes of `rattanctl`. */
enum class exit_code {
    ok = 0,
    refused = 1,     ///< The command was refused, or lost to another change.
    usage = 2,       ///< The command line or a file is invalid.
    unreachable = 3, ///< No answer; the command may have taken effect.
    not_in_force = 4 ///< `status`: a process is outdated or unreachable.
};

/** Settings and arguments of a command. */
struct ctl_context {
    std::string relay;                  ///< Base URL of a relay.
    std::string operator_key;           ///< `NAME.SECRET`.
    std::vector<std::string> processes; ///< HTTP addresses, for `status`.
    bool json = false;                  ///< Print JSON instead of text.
    std::int64_t base = -1; ///< Version a change is based on; -1: in force.
    std::vector<std::string> args; ///< Arguments after the command's name.
    std::string organisation;
    std::string plan;
};

/** A command of the command line. */
struct ctl_command {
    const char* name;
    const char* usage;
    size_t min_args;
    exit_code (*run)(const ctl_context&);
};

/** All commands, in the order of the usage text. */
const std::vector<ctl_command>& ctl_commands();

/** Makes an HTTP call with the operator key and waits for the result. */
http_call_result ctl_call(const ctl_context& context, const http_call& call);

/**
 * Fetches the configuration in force and its version.
 * @throw unreachable_error if the relay does not answer.
 * @throw command_error if it refuses.
 */
nlohmann::json fetch_config(const ctl_context& context);

/**
 * Publishes a change of the configuration and prints the result.
 * @throw unreachable_error if it is unknown whether the change took effect.
 */
exit_code publish_delta(const ctl_context& context, std::int64_t base,
                        const nlohmann::json& set, const nlohmann::json& drop);

exit_code run_validate(const ctl_context& context);
exit_code run_plan(const ctl_context& context);
exit_code run_publish(const ctl_context& context);
exit_code run_status(const ctl_context& context);
exit_code run_grant(const ctl_context& context);
exit_code run_withdraw(const ctl_context& context);
exit_code run_centre(const ctl_context& context);
exit_code run_dump(const ctl_context& context);
exit_code run_cancel(const ctl_context& context);

} // namespace rattan
