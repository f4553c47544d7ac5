/** @file Differences between two versions of the declarations. */
#pragma once

#include <nlohmann/json.hpp>

namespace rattan {

/**
 * The difference between two documents of declarations. Unchanged entries are
 * left out, so that the size of a log record depends on the size of the change
 * and not on that of the cell.
 */
struct config_delta {
    nlohmann::json set = nlohmann::json::object();  ///< section: name: entry
    nlohmann::json drop = nlohmann::json::object(); ///< section: [name]

    [[nodiscard]] bool empty() const { return set.empty() && drop.empty(); }
};

config_delta diff_config(const nlohmann::json& before,
                         const nlohmann::json& after);

/** Returns the document that results from a change. */
nlohmann::json apply_config(const nlohmann::json& before,
                            const config_delta& delta);

} // namespace rattan
