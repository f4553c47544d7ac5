/** @file Compression of large records. */
#pragma once

#include <cstddef>
#include <string>

namespace rattan::dispatch {

/** Shorter records are stored as they are. */
constexpr std::size_t MIN_PACKED_BYTES = 65'536;

/** Compresses an encoded record if it is large; otherwise returns it as is. */
std::string pack_record(const std::string& text);

/**
 * Reverses `pack_record`; also accepts records that were never packed.
 * @throw decode_error.
 */
std::string unpack_record(const std::string& stored);

} // namespace rattan::dispatch
