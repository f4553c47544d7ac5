/** @file Encoding of expected waits in replies to heartbeats. */
#pragma once

#include "dispatch/expected_wait.hpp"

#include <string>

namespace rattan::dispatch {

/** Longest encoding that is sent or accepted. */
constexpr std::size_t MAX_WAITS_BYTES = 16'384;

/** Expected waits as received, with their age at that time. */
struct aged_waits {
    expected_waits waits;
    millis age{0};
};

/**
 * Encodes expected waits. Leaves out organisations, then queues, if the names
 * are so long that not all fit into `MAX_WAITS_BYTES`.
 * @param age Time since they were estimated.
 */
std::string encode_waits(const expected_waits& waits, millis age);

/** @throw decode_error */
aged_waits decode_waits(const std::string& text);

} // namespace rattan::dispatch
