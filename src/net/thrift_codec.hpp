/** @file Encodes and decodes Thrift structs. */
#pragma once

#include "rattan/error_type.hpp"

#include <rattan_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace rattan {

/** Limit on the size of a frame; a larger one closes the connection. */
constexpr std::size_t MAX_FRAME_BYTES = 64U << 20U;

/** Limit on the number of entries of each list in a message. */
constexpr std::int32_t MAX_LIST_ENTRIES = 1 << 16;

/** Encodes a Thrift struct with the compact protocol. */
template <typename Message>
std::string wire_encode(const Message& message) {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/**
 * Decodes a Thrift struct.
 * @throw decode_error if the bytes are not a valid encoding of the struct.
 */
template <typename Message>
Message wire_decode(const std::string& bytes) {
    // The buffer only reads the bytes, but its interface is not const.
    auto* data = reinterpret_cast<std::uint8_t*>(
        const_cast<char*>(bytes.data())); // NOLINT
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<
        apache::thrift::transport::TMemoryBuffer>
        protocol(buffer, static_cast<std::int32_t>(MAX_FRAME_BYTES),
                 MAX_LIST_ENTRIES);
    Message message;
    try {
        message.read(&protocol);
    } catch (const apache::thrift::TException& failure) {
        throw decode_error(std::string("malformed message: ") + failure.what());
    }
    return message;
}

} // namespace rattan
