/** @file Who may use which queue. */
#pragma once

#include "dispatch/route_type.hpp"

#include <string_view>

namespace rattan::dispatch {

/** The queue of a path: same host and the longest prefix; or null. */
const queue_config* find_queue(const cell_config& config, std::string_view host,
                               std::string_view path);

/** The queue of a name, or null. */
const queue_config* find_queue(const cell_config& config, const queue_id& name);

/** The organisation of a name, or null. */
const organisation_config* find_organisation(const cell_config& config,
                                             const organisation_id& name);

/** The organisation whose key is shown as `Token KEY`, or null. */
const organisation_config* authenticate(const cell_config& config,
                                        std::string_view authorization);

} // namespace rattan::dispatch
