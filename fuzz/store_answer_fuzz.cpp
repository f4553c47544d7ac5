/** @file Feeds arbitrary bytes to the decoders of the store's responses. */
#include "platform/store_client.hpp"
#include "rattan/error_type.hpp"

#include <boost/log/core.hpp>

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    boost::log::core::get()->set_logging_enabled(false);
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        rattan::platform::decode_read(text, 0);
    } catch (const rattan::decode_error&) {
    }
    try {
        rattan::platform::decode_newest(text);
    } catch (const rattan::decode_error&) {
    }
    rattan::platform::decode_append_answer(
        {.outcome = rattan::http_outcome::answered,
         .status = 409,
         .body = text});
    return 0;
}
