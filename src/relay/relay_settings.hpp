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
    std::string platform;           ///< Base of the platform's HTTP.
    std::vector<std::string> peers; ///< Other entry hosts' relays.
    /** Operators' names and `SALT:HASH` of their secrets. */
    std::map<std::string, std::string> operators;
    std::int64_t snapshot_records = 5'000; ///< Between two snapshots.
    millis snapshot_period{60'000};        ///< At most, when there is news.
};

} // namespace rattan
