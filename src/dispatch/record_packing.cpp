#include "dispatch/record_packing.hpp"

#include "rattan/error_type.hpp"

#include <zlib.h>

#include <charconv>

namespace rattan::dispatch {

namespace {

/** First character of packed records; encoded records begin with a bracket. */
constexpr char PACKED_MARK = 'z';
/** Follows the decimal size of the unpacked record. */
constexpr char SIZE_SEPARATOR = ' ';
/** A larger size in a record is taken for damage. */
constexpr std::size_t MAX_UNPACKED_BYTES = 64U << 20U;

const Bytef* bytes_of(const char* text) {
    return reinterpret_cast<const Bytef*>(text);
}

} // namespace

std::string pack_record(const std::string& text) {
    if (text.size() < MIN_PACKED_BYTES)
        return text;
    std::string out =
        PACKED_MARK + std::to_string(text.size()) + SIZE_SEPARATOR;
    const std::size_t header = out.size();
    uLongf size = compressBound(text.size());
    out.resize(header + size);
    if (compress2(reinterpret_cast<Bytef*>(out.data() + header), &size,
                  bytes_of(text.data()), text.size(), Z_BEST_SPEED) != Z_OK)
        return text;
    out.resize(header + size);
    return out;
}

std::string unpack_record(const std::string& stored) {
    if (stored.empty() || stored[0] != PACKED_MARK)
        return stored;
    const char* const end = stored.data() + stored.size();
    std::size_t size = 0;
    const auto parsed = std::from_chars(stored.data() + 1, end, size);
    if (parsed.ec != std::errc() || parsed.ptr == end ||
        *parsed.ptr != SIZE_SEPARATOR || size > MAX_UNPACKED_BYTES)
        throw decode_error("packed record of " + std::to_string(stored.size()) +
                           " bytes has no valid size");
    std::string out(size, '\0');
    uLongf unpacked = size;
    const char* const packed = parsed.ptr + 1;
    if (uncompress(reinterpret_cast<Bytef*>(out.data()), &unpacked,
                   bytes_of(packed),
                   static_cast<uLong>(end - packed)) != Z_OK ||
        unpacked != size)
        throw decode_error("packed record of " + std::to_string(stored.size()) +
                           " bytes does not unpack to " + std::to_string(size) +
                           " bytes");
    return out;
}

} // namespace rattan::dispatch
