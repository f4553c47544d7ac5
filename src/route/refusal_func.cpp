#include "route/refusal_type.hpp"

#include "route/table/refusals.hpp"

#include <cassert>

namespace rattan {

const refusal_text& text_of(refusal which) {
    const refusal_text& text = REFUSALS[static_cast<int>(which)];
    assert(text.which == which);
    return text;
}

} // namespace rattan
