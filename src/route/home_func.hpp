/** @file The gate that looks after a request id. */
#pragma once

#include "rattan/config_type.hpp"

#include <optional>

namespace rattan {

/**
 * The home of a request among all declared entry hosts: every gate names the
 * same one, whichever gate the caller asks. Rendezvous hashing moves only
 * the requests of a host that is added or dropped.
 */
std::optional<host_id> home_of_request(const declarations& declared,
                                       const organisation_name& organisation,
                                       const request_id& request);

} // namespace rattan
