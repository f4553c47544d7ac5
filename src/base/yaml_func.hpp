/** @file YAML files as JSON values, with the line of every field. */
#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <string>

namespace rattan {

/** A file's content and where each field stands. */
struct yaml_document {
    nlohmann::json value;
    std::map<std::string, int> lines; ///< Path, as in `teams.hooks`: line.

    /** The line of a path, or of the nearest field around it. */
    [[nodiscard]] int line_of(std::string path) const;
};

/**
 * Reads a YAML file.
 * @throw config_error when it can't be read or is not YAML.
 */
yaml_document load_yaml(const std::filesystem::path& file);

} // namespace rattan
