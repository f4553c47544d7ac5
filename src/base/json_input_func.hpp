/** @file Reads JSON text that other processes have written. */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattan {

/** Text whose lists and objects are nested deeper than this is rejected. */
constexpr int MAX_JSON_DEPTH = 64;

/** Tells whether JSON text is nested deeper than `MAX_JSON_DEPTH`. */
bool is_nested_too_deeply(std::string_view json_text);

/**
 * Parses JSON text without exceptions.
 * @return A discarded value if the text is malformed or nested deeper than
 * `MAX_JSON_DEPTH`, since many functions of the library are recursive.
 */
nlohmann::json parse_json(std::string_view text);

/** Replaces bytes that are not valid UTF-8 by the replacement character. */
std::string replace_invalid_utf8(const std::string& text);

/** The value of a whole number from `low` to `high`; empty for all else. */
std::optional<std::int64_t> whole_number(const nlohmann::json& value,
                                         std::int64_t low, std::int64_t high);

/** Beginning of a text from outside, short enough for a message. */
std::string excerpt(std::string_view text);

/** Beginning of a JSON value as text; never throws for invalid UTF-8. */
std::string excerpt(const nlohmann::json& value);

} // namespace rattan
