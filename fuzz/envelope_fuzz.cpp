/** @file Feeds arbitrary bytes to the decoder of messages between processes. */
#include "net/thrift_codec.hpp"
#include "rattan/error_type.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        rattan::wire_decode<rattan::wire::envelope>(text);
        rattan::wire_decode<rattan::wire::read_reply>(text);
    } catch (const rattan::decode_error&) {
        return 0; // rejected with a typed error, as expected
    }
    return 0;
}
