/** @file Loads YAML files as JSON, with the line of each field. */
#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <string>

namespace rattan {

struct yaml_document {
    nlohmann::json value;
    std::map<std::string, int> lines; ///< By path, as in `teams.hooks`.

    /** The line of a path or its nearest parent; 0 if there is none. */
    [[nodiscard]] int line_of(std::string path) const;
};

/**
 * Loads a YAML file.
 * @throw config_error if it can't be read or is not valid YAML.
 */
yaml_document load_yaml(const std::filesystem::path& file);

} // namespace rattan
