/** @file Reads and validates the settings file of a program. */
#pragma once

#include "base/yaml_func.hpp"
#include "rattan/unit_type.hpp"

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattan {

/**
 * Reads the fields of a YAML file. Each call throws `config_error` with file,
 * line, field and remedy if the value is invalid.
 */
class settings_reader {
public:
    explicit settings_reader(const std::filesystem::path& file);

    /** A required string. */
    std::string text(const std::string& field);

    /** A string, or `fallback` if the field is missing. */
    std::string text(const std::string& field, const std::string& fallback);

    /** A required IPv4 address and port, as in `127.0.0.1:7000`. */
    std::string address(const std::string& field);

    /** A list of at least `min_count` addresses. */
    std::vector<std::string> addresses(const std::string& field,
                                       size_t min_count);

    /** A mapping of names to strings; empty if the field is missing. */
    std::map<std::string, std::string> texts_by_name(const std::string& field);

    /** An integer from `low` to `high`, or `fallback` if missing. */
    std::int64_t number(const std::string& field, std::int64_t low,
                        std::int64_t high, std::int64_t fallback);

    /** Milliseconds from `low` to `high`, or `fallback` if missing. */
    millis time(const std::string& field, millis low, millis high,
                millis fallback);

    /** Refuses fields that no call has read. */
    void refuse_unknown_fields() const;

private:
    /** The value of a field, or null. */
    const nlohmann::json* find(const std::string& field);
    /** Throws a `config_error` for a field. */
    [[noreturn]] void refuse(const std::string& field,
                             const std::string& remedy) const;
    void check_address(const std::string& field,
                       const std::string& value) const;

    std::string file_;
    yaml_document document_;
    std::set<std::string> known_;
};

} // namespace rattan
