/** @file Settings of a relay. */
#pragma once

#include "net/program_runtime.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan {

/** Settings of a relay. */
struct relay_settings {
    process_settings process;
    std::string platform;           ///< Base URL of the platform's services.
    std::vector<std::string> peers; ///< RPC addresses of the other relays.
    /** `SALT:HASH` of each operator's secret, by operator name. */
    std::map<std::string, std::string> operators;
    /** A snapshot is written after this many records, */
    std::int64_t snapshot_records = 5'000;
    /** or after this time if there is any new record. */
    millis snapshot_period{60'000};
};

} // namespace rattan
