/** @file Quota commands: each is validated, then executed. */
#pragma once

#include "fold/fold_cmd.hpp"

namespace rattan {

fold_verdict validate_quota_want(const cell_state& state,
                                 const quota_want& want,
                                 const entry_context& context);
void execute_quota_want(cell_state& state, const quota_want& want,
                        const entry_context& context);
fold_verdict validate_quota_cede(const cell_state& state,
                                 const quota_cede& cede,
                                 const entry_context& context);
void execute_quota_cede(cell_state& state, const quota_cede& cede,
                        const entry_context& context);

/** Grants free quota of one limit to waiting requests, oldest first. */
void grant_wants(cell_state& state, const quota_key& key);

/**
 * Applies a change of declarations: marks the slices of undeclared holders as
 * dropped and grants quota within the new limits.
 */
void refresh_quotas(cell_state& state);

/**
 * Reclaims the slices of undeclared holders after the isolation limit; until
 * then an isolated holder may still be using its slice.
 */
void reclaim_dropped(cell_state& state);

/** The limit in force; 0 for an undeclared organisation. */
std::int64_t quota_limit(const cell_state& state, const quota_key& key);

/** The sum of the slices of a limit. */
std::int64_t quota_granted(const quota_slices& slices);

} // namespace rattan
