/** @file Changes between two sets of declarations. */
#pragma once

#include <nlohmann/json.hpp>

namespace rattan {

/**
 * The change that turns one document of declarations into another: entries to
 * set and names to drop. Unchanged entries are left out, so that a record in
 * the log costs what the change costs, not what the cell has grown to.
 */
struct config_delta {
    nlohmann::json set = nlohmann::json::object();  ///< section: name: entry
    nlohmann::json drop = nlohmann::json::object(); ///< section: [name]

    [[nodiscard]] bool empty() const { return set.empty() && drop.empty(); }
};

/** The change from `before` to `after`. */
config_delta diff_config(const nlohmann::json& before,
                         const nlohmann::json& after);

/** The document after a change. */
nlohmann::json apply_config(const nlohmann::json& before,
                            const config_delta& delta);

} // namespace rattan
