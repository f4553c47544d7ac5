/** @file Checks of network addresses. */
#pragma once

#include <string_view>

namespace rattan {

constexpr int MAX_PORT = 65'535;

/** Tells whether a text is an IPv4 address and a port, as in 10.1.1.1:80. */
bool is_address(std::string_view text);

} // namespace rattan
