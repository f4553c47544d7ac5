/** @file `rattanctl`, the command line of operators. */
#include "base/log_func.hpp"
#include "base/settings_reader.hpp"
#include "ctl/ctl_type.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "rattanctl.yaml",
              "file with `relay`, `processes` and optionally `operator_key`");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_int64(base, -1,
             "version that a publish is based on; -1: the version in force");
DEFINE_string(team, "", "name of an organisation");
DEFINE_string(plan, "", "name of a plan");

namespace rattan {

const std::vector<ctl_command>& ctl_commands() {
    static const std::vector<ctl_command> COMMANDS{
        {"validate", "validate FOLDER: checks the declarations in FOLDER", 1,
         run_validate},
        {"plan", "plan FOLDER: prints what a publish would change", 1,
         run_plan},
        {"publish", "publish FOLDER [--base V]: puts declarations in force", 1,
         run_publish},
        {"status", "status: prints each process and its version", 0,
         run_status},
        {"grant", "grant KEY --team TEAM: creates a key and prints it once", 1,
         run_grant},
        {"withdraw", "withdraw KEY: revokes a key", 1, run_withdraw},
        {"centre",
         "centre out|in NAME: takes a data centre out of service or back in", 2,
         run_centre},
        {"dump", "dump IP:PORT: prints the state dump of a process", 1,
         run_dump},
        {"cancel", "cancel [--team TEAM] [--plan PLAN]: cancels jobs", 0,
         run_cancel}};
    return COMMANDS;
}

namespace {

/** The text of `--help`. */
std::string usage() {
    std::string text = "COMMAND [ARGUMENTS] [FLAGS]\n";
    for (const ctl_command& command : ctl_commands())
        text += "  " + std::string(command.usage) + "\n";
    return text + "Exit codes: 0 success, 1 refused, 2 usage error, "
                  "3 unreachable, 4 not in force everywhere.\n"
                  "The operator key, NAME.SECRET, is read from "
                  "RATTAN_OPERATOR_KEY or from the settings.";
}

/** Reads the settings file into the context. */
void read_settings(ctl_context& context) {
    settings_reader reader(FLAGS_settings);
    context.relay = "http://" + reader.address("relay");
    context.processes = reader.addresses("processes", 0);
    context.operator_key = reader.text("operator_key", "");
    reader.refuse_unknown_fields();
    if (const char* key = std::getenv("RATTAN_OPERATOR_KEY"))
        context.operator_key = key;
}

/** Runs the command that is named on the command line. */
exit_code run(int argc, char** argv) {
    ctl_context context;
    context.json = FLAGS_output == "json";
    context.base = FLAGS_base;
    context.organisation = FLAGS_team;
    context.plan = FLAGS_plan;
    if (argc < 2) {
        std::cerr << "rattanctl " << usage() << "\n";
        return exit_code::usage;
    }
    const std::string name = argv[1];
    for (int i = 2; i < argc; ++i)
        context.args.emplace_back(argv[i]);
    for (const ctl_command& command : ctl_commands()) {
        if (command.name != name)
            continue;
        if (context.args.size() < command.min_args) {
            std::cerr << "usage: rattanctl " << command.usage << "\n";
            return exit_code::usage;
        }
        if (name != "validate" && name != "dump")
            read_settings(context);
        return command.run(context);
    }
    std::cerr << "rattanctl: unknown command " << name << "\n"
              << usage() << "\n";
    return exit_code::usage;
}

} // namespace

} // namespace rattan

int main(int argc, char** argv) {
    gflags::SetUsageMessage(rattan::usage());
    gflags::SetVersionString(RATTAN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    rattan::log_open({.program = "rattanctl", .json = false});
    try {
        return static_cast<int>(rattan::run(argc, argv));
    } catch (const rattan::config_error& failure) {
        std::cerr << failure.what() << "\n";
        return static_cast<int>(rattan::exit_code::usage);
    } catch (const rattan::unreachable_error& failure) {
        std::cerr << "rattanctl: " << failure.what() << "\n";
        return static_cast<int>(rattan::exit_code::unreachable);
    } catch (const rattan::error& failure) {
        std::cerr << "rattanctl: " << failure.what() << "\n";
        return static_cast<int>(rattan::exit_code::refused);
    }
}
