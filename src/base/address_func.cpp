#include "base/address_func.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace rattan {

namespace {

constexpr std::string_view IP_CHARACTERS = "0123456789.";
constexpr std::size_t MAX_IP_CHARACTERS = 15;

bool is_ip_number(std::string_view text) {
    // inet_pton reads only up to a zero byte.
    in_addr parsed{};
    return text.size() <= MAX_IP_CHARACTERS &&
           text.find_first_not_of(IP_CHARACTERS) == std::string_view::npos &&
           inet_pton(AF_INET, std::string(text).c_str(), &parsed) == 1;
}

} // namespace

bool is_address(std::string_view text) {
    const size_t colon = text.find(':');
    if (colon == std::string_view::npos || !is_ip_number(text.substr(0, colon)))
        return false;
    int port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] =
        std::from_chars(text.data() + colon + 1, end, port);
    return failure == std::errc() && stop == end && port > 0 &&
           port <= MAX_PORT;
}

} // namespace rattan
