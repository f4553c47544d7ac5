/** @file Feeds arbitrary bytes to the decoder of log groups, and folds what it
 * takes. */
#include "fold/fold_base.hpp"
#include "rattan/error_type.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        rattan::cell_fold fold;
        fold.apply(0, 1, text);
    } catch (const rattan::decode_error&) {
        return 0; // refused with a typed error, as it should be
    }
    return 0;
}
