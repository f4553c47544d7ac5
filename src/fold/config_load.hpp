/** @file Loads declarations from a folder of YAML files. */
#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>

namespace rattan {

/**
 * Merges every `*.yaml` file of a folder into one document and validates it.
 * @throw config_error with file, line and field of the first issue.
 */
nlohmann::json load_declarations(const std::filesystem::path& folder);

} // namespace rattan
