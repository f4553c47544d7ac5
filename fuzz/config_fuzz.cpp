/** @file Feeds arbitrary bytes to the validation of declarations. */
#include "fold/config_codec.hpp"
#include "rattan/error_type.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        const auto document = nlohmann::json::parse(text, nullptr, false);
        if (!document.is_discarded())
            rattan::parse_declarations(document);
    } catch (const rattan::config_invalid&) {
        return 0; // rejected with a typed error, as expected
    }
    return 0;
}
