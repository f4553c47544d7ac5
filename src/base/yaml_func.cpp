#include "base/yaml_func.hpp"

#include "rattan/error_type.hpp"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <optional>

namespace rattan {

using nlohmann::json;

namespace {

/** The integer that a text consists of, or nothing. */
std::optional<std::int64_t> parse_integer(const std::string& text) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || stop != end || text.empty())
        return std::nullopt;
    return value;
}

/** Converts a scalar to a JSON integer, boolean or string. */
json convert_scalar(const YAML::Node& node) {
    const std::string& text = node.Scalar();
    if (node.Tag() == "!") // quoted: always a string
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    if (const auto number = parse_integer(text))
        return *number;
    return text;
}

/** Converts a node and records the line of each of its fields. */
json convert(const YAML::Node& node, const std::string& path,
             const std::string& file, std::map<std::string, int>& lines) {
    switch (node.Type()) {
    case YAML::NodeType::Scalar:
        return convert_scalar(node);
    case YAML::NodeType::Sequence: {
        json list = json::array();
        for (const YAML::Node& entry : node)
            list.push_back(convert(entry, path, file, lines));
        return list;
    }
    case YAML::NodeType::Map: {
        json object = json::object();
        for (const auto& entry : node) {
            const auto name = entry.first.as<std::string>();
            const std::string field = path.empty() ? name : path + "." + name;
            const int line = entry.first.Mark().line + 1;
            if (object.contains(name))
                throw config_error(file, line, field,
                                   "is written twice; keep one");
            lines[field] = line;
            object[name] = convert(entry.second, field, file, lines);
        }
        return object;
    }
    default:
        return nullptr;
    }
}

} // namespace

int yaml_document::line_of(std::string path) const {
    while (true) {
        const auto found = lines.find(path);
        if (found != lines.end())
            return found->second;
        const size_t dot = path.rfind('.');
        if (dot == std::string::npos)
            return 0;
        path.resize(dot);
    }
}

yaml_document load_yaml(const std::filesystem::path& file) {
    yaml_document document;
    try {
        const YAML::Node root = YAML::LoadFile(file.string());
        document.value = convert(root, "", file.string(), document.lines);
    } catch (const YAML::BadFile&) {
        throw config_error(file.string(), 0, "file", "can't be read");
    } catch (const YAML::Exception& failure) {
        throw config_error(file.string(), failure.mark.line + 1, "syntax",
                           failure.msg);
    }
    return document;
}

} // namespace rattan
