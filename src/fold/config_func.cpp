#include "fold/config_func.hpp"

namespace rattan {

using nlohmann::json;

namespace {

const json EMPTY_OBJECT = json::object();

/** A section of a document, or an empty object. */
const json& section_of(const json& document, const std::string& section) {
    return document.contains(section) ? document.at(section) : EMPTY_OBJECT;
}

} // namespace

config_delta diff_config(const json& before, const json& after) {
    config_delta delta;
    for (const auto& [section, entries] : after.items()) {
        const json& old = section_of(before, section);
        for (const auto& [name, entry] : entries.items())
            if (!old.contains(name) || old.at(name) != entry)
                delta.set[section][name] = entry;
    }
    for (const auto& [section, entries] : before.items()) {
        const json& kept = section_of(after, section);
        for (const auto& [name, entry] : entries.items())
            if (!kept.contains(name))
                delta.drop[section].push_back(name);
    }
    return delta;
}

json apply_config(const json& before, const config_delta& delta) {
    json after = before;
    for (const auto& [section, names] : delta.drop.items())
        for (const json& name : names)
            if (after.contains(section))
                after[section].erase(name.get<std::string>());
    for (const auto& [section, entries] : delta.set.items())
        for (const auto& [name, entry] : entries.items())
            after[section][name] = entry;
    return after;
}

} // namespace rattan
