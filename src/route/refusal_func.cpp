#include "route/refusal_type.hpp"

#include "route/table/refusals.hpp"

#include <cassert>

namespace rattan {

const refusal_text& text_of(refusal kind) {
    const refusal_text& text = REFUSALS[static_cast<int>(kind)];
    assert(text.kind == kind);
    return text;
}

} // namespace rattan
