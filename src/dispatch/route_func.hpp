/** @file Look-up of queues and organisations, and authentication. */
#pragma once

#include "dispatch/route_type.hpp"

#include <string_view>

namespace rattan::dispatch {

/**
 * The queue with the given host and the longest matching path prefix, or null.
 */
const queue_config* find_queue(const cell_config& config, std::string_view host,
                               std::string_view path);

const queue_config* find_queue(const cell_config& config, const queue_id& name);

const organisation_config* find_organisation(const cell_config& config,
                                             const organisation_id& name);

/** The organisation whose API key is given as `Token KEY`, or null. */
const organisation_config* authenticate(const cell_config& config,
                                        std::string_view authorization);

} // namespace rattan::dispatch
