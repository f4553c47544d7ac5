/** @file Reads a program's settings file, field by field. */
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
 * Reads fields of one YAML file. Each call throws `config_error` with file,
 * line, field and what to write instead; `refuse_unknown_fields` refuses
 * unknown fields.
 */
class settings_reader {
public:
    explicit settings_reader(const std::filesystem::path& file);

    /** A text that must be there. */
    std::string text(const std::string& field);

    /** A text, or `fallback`. */
    std::string text(const std::string& field, const std::string& fallback);

    /** An address that must be there, as in `127.0.0.1:7000`. */
    std::string address(const std::string& field);

    /** Addresses; at least `least` of them. */
    std::vector<std::string> addresses(const std::string& field, size_t least);

    /** Texts by name. */
    std::map<std::string, std::string> texts_by_name(const std::string& field);

    /** A whole number from `low` to `high`, or `fallback`. */
    std::int64_t number(const std::string& field, std::int64_t low,
                        std::int64_t high, std::int64_t fallback);

    /** A number of milliseconds from `low` to `high`, or `fallback`. */
    millis time(const std::string& field, millis low, millis high,
                millis fallback);

    /** Refuses fields that nobody asked for. */
    void refuse_unknown_fields() const;

private:
    /** The field's value, or nothing. */
    const nlohmann::json* find(const std::string& field);
    /** Throws for a field. */
    [[noreturn]] void refuse(const std::string& field,
                             const std::string& mend) const;
    /** Refuses what is not an IP number and a port. */
    void check_address(const std::string& field,
                       const std::string& value) const;

    std::string file_;
    yaml_document document_;
    std::set<std::string> known_;
};

} // namespace rattan
