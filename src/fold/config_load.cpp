#include "fold/config_load.hpp"

#include "base/yaml_func.hpp"
#include "fold/config_codec.hpp"

#include <algorithm>
#include <vector>

namespace rattan {

using nlohmann::json;

namespace {

struct source_file {
    std::string name;
    yaml_document document;
};

/** Adds the entries of a file to the merged document. */
void merge(const source_file& source, json& merged) {
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
            if (merged.contains(section) && merged[section].contains(name))
                throw config_error(
                    source.name, source.document.line_of(section + "." + name),
                    section + "." + name,
                    "is already declared in another file");
            merged[section][name] = entry;
        }
    }
}

/** The file that contains a path, or else its nearest parent. */
const source_file& file_containing(const std::vector<source_file>& sources,
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
                           "contains no readable .yaml file");
    std::sort(files.begin(), files.end());
    std::vector<source_file> sources;
    json merged = json::object();
    for (const auto& file : files) {
        sources.push_back({file.string(), load_yaml(file)});
        merge(sources.back(), merged);
    }
    try {
        parse_declarations(merged);
    } catch (const config_invalid& invalid) {
        const config_issue& first = invalid.issues.front();
        const source_file& source = file_containing(sources, first.path);
        throw config_error(source.name, source.document.line_of(first.path),
                           first.path, first.remedy);
    }
    return merged;
}

} // namespace rattan
