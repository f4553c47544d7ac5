/** @file Feeds arbitrary bytes to the decoder of job requests. */
#include "gate/job_request_codec.hpp"
#include "rattan/error_type.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        rattan::decode_job_request(text);
    } catch (const rattan::decode_error&) {
        return 0; // rejected with a typed error, as expected
    }
    return 0;
}
