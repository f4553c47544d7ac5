#include "base/settings_reader.hpp"

#include "base/address_func.hpp"
#include "rattan/error_type.hpp"

namespace rattan {

using nlohmann::json;

settings_reader::settings_reader(const std::filesystem::path& file)
    : file_(file.string()), document_(load_yaml(file)) {
    if (!document_.value.is_object())
        throw config_error(file_, 1, "file", "must be a mapping of fields");
}

void settings_reader::refuse(const std::string& field,
                             const std::string& remedy) const {
    throw config_error(file_, document_.line_of(field), field, remedy);
}

const json* settings_reader::find(const std::string& field) {
    known_.insert(field);
    return document_.value.contains(field) ? &document_.value.at(field)
                                           : nullptr;
}

std::string settings_reader::text(const std::string& field) {
    const json* value = find(field);
    if (value == nullptr)
        refuse(field, "is required: a string");
    if (!value->is_string() || value->get<std::string>().empty())
        refuse(field, "must be a string that is not empty");
    return value->get<std::string>();
}

std::string settings_reader::text(const std::string& field,
                                  const std::string& fallback) {
    return find(field) == nullptr ? fallback : text(field);
}

void settings_reader::check_address(const std::string& field,
                                    const std::string& value) const {
    if (!is_address(value))
        refuse(field, "must be an IP number and a port, as in "
                      "127.0.0.1:7000, not " +
                          value);
}

std::string settings_reader::address(const std::string& field) {
    std::string value = text(field);
    check_address(field, value);
    return value;
}

std::vector<std::string> settings_reader::addresses(const std::string& field,
                                                    size_t min_count) {
    std::vector<std::string> values;
    const json* list = find(field);
    if (list != nullptr) {
        if (!list->is_array())
            refuse(field, "must be a list of addresses");
        for (const json& entry : *list) {
            if (!entry.is_string())
                refuse(field, "must be a list of addresses");
            values.push_back(entry.get<std::string>());
            check_address(field, values.back());
        }
    }
    if (values.size() < min_count)
        refuse(field, "has " + std::to_string(values.size()) +
                          " addresses but needs at least " +
                          std::to_string(min_count));
    return values;
}

std::map<std::string, std::string>
settings_reader::texts_by_name(const std::string& field) {
    std::map<std::string, std::string> values;
    const json* object = find(field);
    if (object == nullptr)
        return values;
    if (!object->is_object())
        refuse(field, "must be a mapping of names to strings");
    for (const auto& [name, value] : object->items()) {
        if (!value.is_string())
            refuse(field + "." + name, "must be a string");
        values[name] = value.get<std::string>();
    }
    return values;
}

std::int64_t settings_reader::number(const std::string& field, std::int64_t low,
                                     std::int64_t high, std::int64_t fallback) {
    const json* value = find(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_number_integer() || *value < low || *value > high)
        refuse(field, "must be an integer from " + std::to_string(low) +
                          " to " + std::to_string(high));
    return value->get<std::int64_t>();
}

millis settings_reader::time(const std::string& field, millis low, millis high,
                             millis fallback) {
    return millis(number(field, low.count(), high.count(), fallback.count()));
}

void settings_reader::refuse_unknown_fields() const {
    for (const auto& [name, value] : document_.value.items())
        if (!known_.contains(name))
            refuse(name, "unknown field; remove it");
}

} // namespace rattan
