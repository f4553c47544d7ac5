/** @file The cell's state as text, to start from. */
#pragma once

#include "rattan/cell_type.hpp"

#include <string>

namespace rattan {

/** Encodes a state, with a hash over it. */
std::string encode_snapshot(const cell_state& state);

/** @throw decode_error when the text is not a whole, unspoilt snapshot. */
cell_state decode_snapshot(const std::string& text);

} // namespace rattan
