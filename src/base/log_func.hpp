/** @file Structured log lines, one for each change of state. */
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace rattan {

/** How much a line matters to whoever is on call. */
enum class log_level {
    info,    ///< An expected change of state.
    warning, ///< Service goes on in a reduced state.
    error,   ///< Something is lost or refused that should not be.
};

/** One named value of a log line. */
struct log_field {
    std::string_view name;
    std::string value;
};

/** Where and how lines are written. */
struct log_options {
    std::string program; ///< Written into every line.
    bool json = true;    ///< JSON lines; else `name=value` text.
};

/** Sets up the log; called once, before any line. */
void log_open(const log_options& options);

/** Writes one line about a change of state to standard error. */
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace rattan
