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

/**
 * Tells whether an owner that doesn't know a job may say that there is none. A
 * job that was accepted elsewhere may be in any partition, and its
 * notification may be lost.
 * @param read_ages For each partition of jobs, the time since the last
 * answered read of it was sent.
 */
bool has_read_all_jobs(const std::vector<millis>& read_ages);

} // namespace rattan::dispatch
