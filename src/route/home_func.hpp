/** @file The home gate of a request: the one that deduplicates it. */
#pragma once

#include "rattan/config_type.hpp"

#include <optional>

namespace rattan {

/**
 * Returns the entry host that deduplicates a request, by rendezvous hashing.
 * All gates agree on it, whichever of them a caller asks; a change of the
 * declared entry hosts moves only the requests of the host that is added or
 * removed. Nothing when no entry host is declared.
 */
std::optional<host_id> home_of_request(const declarations& declared,
                                       const organisation_name& organisation,
                                       const request_id& request);

} // namespace rattan
