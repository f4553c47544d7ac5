#include "fold/request_func.hpp"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace rattan {

std::optional<std::int64_t> request_time_ms(const request_id& request) {
    const std::string& text = request.value;
    const size_t dash = text.find('-');
    if (dash == std::string::npos || dash + 1 == text.size() ||
        text.size() > MAX_REQUEST_ID_BYTES)
        return std::nullopt;
    std::int64_t time = 0;
    const char* end = text.data() + dash;
    const auto [stop, failure] = std::from_chars(text.data(), end, time);
    if (failure != std::errc() || stop != end || time <= 0)
        return std::nullopt;
    return time;
}

job_id job_of_request(const organisation_name& organisation,
                      const request_id& request) {
    const std::string name = organisation.value + '\n' + request.value;
    const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
    char text[40];
    std::snprintf(text, sizeof text, "j%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {text};
}

} // namespace rattan
