/** @file Feeds arbitrary bytes to the decoders of the platform's messages. */
#include "platform/target_client.hpp"
#include "platform/wire_codec.hpp"
#include "rattan/error_type.hpp"

#include <boost/log/core.hpp>

#include <cstdint>
#include <string>

namespace {

constexpr unsigned NESTED_FLAG = 0x80; ///< Of the first byte.
constexpr std::size_t DEPTH = 100'000;
/** Replaced by a value that is nested `DEPTH` levels deep. */
constexpr char PLACE = '@';

/** Replaces the first `PLACE` in a text by nested lists. */
std::string nested(std::string text) {
    const std::size_t at = text.find(PLACE);
    if (at != std::string::npos)
        text.replace(at, 1, std::string(DEPTH, '[') + std::string(DEPTH, ']'));
    return text;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    boost::log::core::get()->set_logging_enabled(false);
    if (size == 0)
        return 0;
    std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    if ((data[0] & NESTED_FLAG) != 0)
        text = nested(text);
    try {
        switch ((data[0] & ~NESTED_FLAG) % 5) {
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
