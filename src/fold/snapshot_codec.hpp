/** @file Snapshots: the cell's state in text form. */
#pragma once

#include "rattan/cell_type.hpp"

#include <string>

namespace rattan {

/** Encodes a state: a line with a checksum, then JSON. */
std::string encode_snapshot(const cell_state& state);

/** @throw decode_error if the snapshot is truncated, altered or invalid. */
cell_state decode_snapshot(const std::string& text);

} // namespace rattan
