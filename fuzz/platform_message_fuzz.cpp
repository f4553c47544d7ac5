/** @file Feeds arbitrary bytes to the decoders of the platform's messages. */
#include "platform/target_client.hpp"
#include "platform/wire_codec.hpp"
#include "rattan/error_type.hpp"

#include <boost/log/core.hpp>

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    boost::log::core::get()->set_logging_enabled(false);
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    try {
        switch (data[0] % 5) {
        case 0:
            rattan::platform::decode_config(text);
            break;
        case 1:
            rattan::platform::decode_target("t", text);
            break;
        case 2:
            rattan::platform::decode_job(text);
            break;
        case 3:
            rattan::platform::decode_run_list(text);
            break;
        default:
            rattan::platform::parse_task_name(text);
        }
    } catch (const rattan::decode_error&) {
        return 0; // rejected with a typed error, as expected
    }
    return 0;
}
