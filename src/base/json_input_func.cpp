#include "base/json_input_func.hpp"

#include <limits>

namespace rattan {

using nlohmann::json;

namespace {

constexpr std::size_t MAX_EXCERPT_BYTES = 200;

} // namespace

bool is_nested_too_deeply(std::string_view json_text) {
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < json_text.size(); ++i) {
        const char c = json_text[i];
        if (in_string && c == '\\') {
            ++i; // The escaped character may be a quotation mark.
            continue;
        }
        if (c == '"')
            in_string = !in_string;
        if (in_string)
            continue;
        if (c == '[' || c == '{')
            ++depth;
        else if (c == ']' || c == '}')
            --depth;
        if (depth > MAX_JSON_DEPTH)
            return true;
    }
    return false;
}

json parse_json(std::string_view text) {
    if (is_nested_too_deeply(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::optional<std::int64_t> whole_number(const json& value, std::int64_t low,
                                         std::int64_t high) {
    constexpr auto MAX_SIGNED =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value.is_number_integer())
        return std::nullopt;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > MAX_SIGNED)
        return std::nullopt;
    const auto number = value.get<std::int64_t>();
    if (number < low || number > high)
        return std::nullopt;
    return number;
}

std::string excerpt(std::string_view text) {
    return std::string(text.substr(0, MAX_EXCERPT_BYTES));
}

std::string excerpt(const json& value) {
    return excerpt(std::string_view(
        value.dump(-1, ' ', false, json::error_handler_t::replace)));
}

} // namespace rattan
