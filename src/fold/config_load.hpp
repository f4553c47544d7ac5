/** @file Declarations from a folder of YAML files. */
#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>

namespace rattan {

/**
 * Reads every `*.yaml` of a folder into one document and checks it.
 * @throw config_error naming file, line, field and what to write instead.
 */
nlohmann::json load_declarations(const std::filesystem::path& folder);

} // namespace rattan
