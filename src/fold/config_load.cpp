#include "fold/config_load.hpp"

#include "base/yaml_func.hpp"
#include "fold/config_codec.hpp"

#include <algorithm>
#include <vector>

namespace rattan {

using nlohmann::json;

namespace {

/** One file of the folder. */
struct source_file {
    std::string name;
    yaml_document document;
};

/** Adds a file's sections to the whole. */
void merge(const source_file& source, json& whole) {
    if (source.document.value.is_null())
        return;
    if (!source.document.value.is_object())
        throw config_error(source.name, 1, "file",
                           "must be a mapping of sections");
    for (const auto& [section, entries] : source.document.value.items()) {
        if (!entries.is_object())
            throw config_error(source.name, source.document.line_of(section),
                               section, "must be a mapping of names");
        for (const auto& [name, entry] : entries.items()) {
            if (whole.contains(section) && whole[section].contains(name))
                throw config_error(
                    source.name, source.document.line_of(section + "." + name),
                    section + "." + name, "is declared in another file too");
            whole[section][name] = entry;
        }
    }
}

/** The file that holds a path most exactly. */
const source_file& holder_of(const std::vector<source_file>& sources,
                             std::string path) {
    while (!path.empty()) {
        for (const source_file& source : sources)
            if (source.document.lines.contains(path))
                return source;
        const size_t dot = path.rfind('.');
        path.resize(dot == std::string::npos ? 0 : dot);
    }
    return sources.front();
}

} // namespace

json load_declarations(const std::filesystem::path& folder) {
    std::vector<std::filesystem::path> files;
    std::error_code failure;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, failure))
        if (entry.path().extension() == ".yaml")
            files.push_back(entry.path());
    if (files.empty())
        throw config_error(folder.string(), 0, "folder",
                           "holds no .yaml file that can be read");
    std::sort(files.begin(), files.end());
    std::vector<source_file> sources;
    json whole = json::object();
    for (const auto& file : files) {
        sources.push_back({file.string(), load_yaml(file)});
        merge(sources.back(), whole);
    }
    try {
        parse_declarations(whole);
    } catch (const config_invalid& invalid) {
        const config_issue& first = invalid.issues.front();
        const source_file& source = holder_of(sources, first.path);
        throw config_error(source.name, source.document.line_of(first.path),
                           first.path, first.mend);
    }
    return whole;
}

} // namespace rattan
