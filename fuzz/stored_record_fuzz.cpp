/** @file Feeds arbitrary bytes to the decoders of records in the store. */
#include "dispatch/record_codec.hpp"
#include "rattan/error_type.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
    using namespace rattan::dispatch;
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        decode_job_record(text);
    } catch (const rattan::decode_error&) {
    }
    job_entry job;
    job.record.spec.steps = {{.count = 3}, {.count = 2, .after = {0}}};
    try {
        apply_progress(job, text);
    } catch (const rattan::decode_error&) {
    }
    try {
        decode_owner(text);
    } catch (const rattan::decode_error&) {
    }
    try {
        decode_member(text);
    } catch (const rattan::decode_error&) {
    }
    try {
        decode_ended_job({"job"}, text, 1);
    } catch (const rattan::decode_error&) {
    }
    return 0;
}
