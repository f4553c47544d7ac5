/** @file What every operator command shares. */
#pragma once

#include "net/http_type.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattan {

/** Exit codes of `rattanctl`. */
enum class exit_code {
    ok = 0,
    refused = 1,     ///< Another change won, or the system said no.
    usage = 2,       ///< The command line or the files can't be used.
    unreachable = 3, ///< No answer; the effect may be unknown.
    not_in_force = 4 ///< `status`: a process lags or is away.
};

/** What a command works with. */
struct ctl_context {
    std::string relay;                  ///< Base of a relay's HTTP.
    std::string operator_key;           ///< `NAME.SECRET`.
    std::vector<std::string> processes; ///< HTTP addresses, for `status`.
    bool json = false;                  ///< Output as JSON.
    std::int64_t base = -1; ///< Version to publish from; -1: the present.
    std::vector<std::string> args; ///< Behind the command's name.
    std::string organisation;
    std::string plan;
};

/** One command. */
struct ctl_command {
    const char* name;
    const char* usage;
    size_t min_args;
    exit_code (*run)(const ctl_context&);
};

/** All commands. */
const std::vector<ctl_command>& ctl_commands();

/** Makes a call and waits for its end. */
http_call_result ctl_call(const ctl_context& context, const http_call& call);

/** Declarations in force, with their version. @throw unreachable_error */
nlohmann::json fetch_config(const ctl_context& context);

/** Publishes a change and says what came of it. */
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
