/**
 * @file Which hosts read job states from the store while they can't reach the
 * owner.
 */
#pragma once

#include "dispatch/record_codec.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan::dispatch {

/** Entry hosts of the cell, by name. */
using member_map = std::map<host_id, member_record>;

/**
 * Tells whether `host` keeps a copy of the stored job states while the owner
 * does not answer it. A copy is the whole state of the cell, so only the
 * strongest hosts of each data centre read one.
 */
bool is_state_reader(const member_map& members, const host_id& host);

/**
 * Addresses of the state readers that `host` asks, in this order: those of its
 * own data centre, then the others, without itself.
 */
std::vector<std::string> state_reader_addresses(const member_map& members,
                                                const host_id& host);

} // namespace rattan::dispatch
