/** @file Declarations from JSON, checked field by field. */
#pragma once

#include "rattan/config_type.hpp"
#include "rattan/error_type.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattan {

/** One thing that is wrong with declarations. */
struct config_issue {
    std::string path; ///< As in `teams.hooks.limits.cores`.
    std::string mend; ///< What to write instead.
};

/** Declarations that can't be used, with everything that is wrong. */
class config_invalid : public error {
public:
    explicit config_invalid(std::vector<config_issue> found);
    std::vector<config_issue> issues;
};

/**
 * Reads declarations. The document has one object a section, and in it one
 * object a name: `{"teams": {"hooks": {...}}}`.
 * @throw config_invalid with every fault found.
 */
declarations parse_declarations(const nlohmann::json& document);

/** Name of a quota kind as written in declarations. */
std::string quota_kind_name(quota_kind kind);

} // namespace rattan
