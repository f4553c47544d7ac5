/** @file Parses and validates declarations in JSON. */
#pragma once

#include "rattan/config_type.hpp"
#include "rattan/error_type.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattan {

struct config_issue {
    std::string path;   ///< As in `teams.hooks.limits.cores`.
    std::string remedy; ///< What is wrong or what to write instead.
};

/** Thrown for invalid declarations; lists every issue. */
class config_invalid : public error {
public:
    explicit config_invalid(std::vector<config_issue> found);
    std::vector<config_issue> issues;
};

/**
 * Parses declarations. The document maps sections to names to objects:
 * `{"teams": {"hooks": {...}}}`.
 * @throw config_invalid with every issue found.
 */
declarations parse_declarations(const nlohmann::json& document);

/** Name of a quota kind, as in log entries. */
std::string quota_kind_name(quota_kind kind);

} // namespace rattan
