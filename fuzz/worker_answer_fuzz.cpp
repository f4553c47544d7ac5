/** @file Feeds arbitrary bytes to the decoder of workers' responses. */
#include "placer/order_codec.hpp"
#include "rattan/error_type.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        nlohmann::json::parse(text).get<rattan::worker_answer>();
    } catch (const nlohmann::json::exception&) {
        return 0; // rejected with a typed error, as expected
    }
    return 0;
}
