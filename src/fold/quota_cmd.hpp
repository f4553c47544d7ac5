/** @file Changes of quota slices: each is tested, then executed. */
#pragma once

#include "fold/fold_cmd.hpp"

namespace rattan {

fold_verdict test_quota_want(const cell_state& state, const quota_want& want,
                             const entry_context& context);
void execute_quota_want(cell_state& state, const quota_want& want,
                        const entry_context& context);
fold_verdict test_quota_cede(const cell_state& state, const quota_cede& cede,
                             const entry_context& context);
void execute_quota_cede(cell_state& state, const quota_cede& cede,
                        const entry_context& context);

/** Serves the wants of one limit, oldest first, from what is free. */
void grant_wants(cell_state& state, const quota_key& key);

/** Follows a change of limits and holders. */
void refresh_quotas(cell_state& state);

/** Takes back slices of holders that left long enough ago. */
void reclaim_dropped(cell_state& state);

/** The limit in force; 0 for a team that is not declared. */
std::int64_t quota_limit(const cell_state& state, const quota_key& key);

/** The sum of all slices of a limit. */
std::int64_t quota_granted(const quota_slices& slices);

} // namespace rattan
