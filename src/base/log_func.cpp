#include "base/log_func.hpp"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace rattan {

namespace {

log_options options_in_use;

const char* level_name(log_level level) {
    switch (level) {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

/** Unix time in milliseconds; orders the lines of several hosts. */
std::int64_t wall_millis() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void log_open(const log_options& options) {
    options_in_use = options;
    boost::log::add_console_log(std::cout,
                                boost::log::keywords::format =
                                    boost::log::expressions::stream
                                    << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) {
    static boost::log::sources::logger source;
    std::string line;
    if (options_in_use.json) {
        nlohmann::ordered_json record = {{"time_ms", wall_millis()},
                                         {"level", level_name(level)},
                                         {"program", options_in_use.program},
                                         {"event", event}};
        for (const log_field& field : fields)
            record[std::string(field.name)] = field.value;
        line = record.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace);
    } else {
        line = std::string(level_name(level)) + " " + std::string(event);
        for (const log_field& field : fields)
            line += " " + std::string(field.name) + "=" + field.value;
    }
    BOOST_LOG(source) << line;
}

} // namespace rattan
