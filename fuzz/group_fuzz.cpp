/** @file Feeds arbitrary bytes to the decoder of log groups and the fold. */
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
        return 0; // rejected with a typed error, as expected
    }
    return 0;
}
