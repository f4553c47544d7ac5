#include "base/json_input_func.hpp"

#include <limits>

namespace rattan {

using nlohmann::json;

namespace {

constexpr std::size_t MAX_EXCERPT_BYTES = 200;
constexpr std::string_view REPLACEMENT = "\xef\xbf\xbd";

bool is_continuation(unsigned char byte) {
    return (byte & 0xC0U) == 0x80U;
}

/** Length of the valid UTF-8 character at an offset; 0: there is none. */
std::size_t character_bytes(std::string_view text, std::size_t at) {
    const auto byte = [&](std::size_t i) {
        return at + i < text.size() ? static_cast<unsigned char>(text[at + i])
                                    : static_cast<unsigned char>(0);
    };
    const unsigned char first = byte(0);
    if (first < 0x80U)
        return 1;
    const std::size_t length = first >= 0xC2U && first < 0xE0U   ? 2
                               : first >= 0xE0U && first < 0xF0U ? 3
                               : first >= 0xF0U && first < 0xF5U ? 4
                                                                 : 0;
    for (std::size_t i = 1; i < length; ++i)
        if (!is_continuation(byte(i)))
            return 0;
    const unsigned char second = byte(1);
    const bool overlong = (first == 0xE0U && second < 0xA0U) ||
                          (first == 0xF0U && second < 0x90U);
    const bool out_of_range = (first == 0xEDU && second > 0x9FU) ||
                              (first == 0xF4U && second > 0x8FU);
    return overlong || out_of_range ? 0 : length;
}

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

std::string replace_invalid_utf8(const std::string& text) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = character_bytes(text, at);
        if (length > 0)
            out.append(text, at, length);
        else
            out += REPLACEMENT;
        at += length > 0 ? length : 1;
    }
    return out;
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
