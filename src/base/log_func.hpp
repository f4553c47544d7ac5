/** @file Structured log: one line per change of state. */
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace rattan {

/** Severity, as it matters to an operator on call. */
enum class log_level {
    info,    ///< An expected change of state.
    warning, ///< The service is degraded.
    error,   ///< Something was lost or rejected that should not be.
};

/** One named value of a log line. */
struct log_field {
    std::string_view name;
    std::string value;
};

struct log_options {
    std::string program; ///< Written into every line.
    bool json = true;    ///< JSON lines; otherwise `name=value` pairs.
};

/** Sets up the log; must be called once, before the first event. */
void log_open(const log_options& options);

/** Writes one line to standard output. */
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace rattan
