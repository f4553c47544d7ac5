/** @file Progress of a TCP connection. */
#pragma once

#include <cstdint>

namespace rattan {

/**
 * Bytes received from the peer and acknowledged by it since the connection
 * began; 0 if the kernel does not tell.
 */
std::uint64_t tcp_bytes_moved(int handle);

} // namespace rattan
