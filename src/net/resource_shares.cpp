#include "net/resource_shares.hpp"

#include <algorithm>

namespace rattan {

namespace {

constexpr std::size_t MEGABYTE = 1U << 20U;
constexpr std::size_t MAX_PEER_CONNECTIONS = 512;
/** A smaller share would refuse a single request of the largest size. */
constexpr std::size_t MIN_SHARE = 2 * MEGABYTE;
constexpr std::size_t MAX_ANSWER = 16 * MEGABYTE;
constexpr std::size_t MAX_FRAME = 64 * MEGABYTE;
/** The store answers with pages of up to 1 MB, in base64. */
constexpr std::size_t MIN_STORE_ANSWER = 2 * MEGABYTE;
/** A host of this memory has one more connection of a peer. */
constexpr std::size_t MEMORY_PER_PEER = 640U << 10U;
/** The same for connections to targets. */
constexpr std::size_t MEMORY_PER_TARGET_CONNECTION = 256U << 10U;
/** The same for connections of health checks and for metrics. */
constexpr std::size_t MEMORY_PER_CHECK = 10 * MEGABYTE;
/**
 * The owner has a long poll pending on each partition of jobs and four others,
 * besides appends and loads.
 */
constexpr std::size_t MAX_STORE_CONNECTIONS = 64;

} // namespace

resource_shares divide_resources(std::size_t memory_bytes,
                                 std::size_t max_descriptors) {
    resource_shares shares;
    shares.clients = max_descriptors * 3 / 8;
    shares.peer_connections =
        std::min(max_descriptors / 8, MAX_PEER_CONNECTIONS);
    shares.readiness = std::clamp<std::size_t>(max_descriptors / 64, 8, 50);
    shares.metrics = std::clamp<std::size_t>(max_descriptors / 128, 8, 20);
    shares.store_connections =
        std::clamp<std::size_t>(max_descriptors / 16, 8, MAX_STORE_CONNECTIONS);
    shares.store_answer = MAX_ANSWER;
    shares.target_answer = MAX_ANSWER;
    shares.peer_frame = MAX_FRAME;
    // A quarter remains for connections to peers, the store and health checks,
    // for files, and for closed connections whose last bytes are awaited.
    const std::size_t divided = max_descriptors - max_descriptors / 4;
    if (memory_bytes == 0) {
        shares.target_connections =
            divided - shares.peer_connections - shares.clients;
        return shares;
    }
    shares.bodies = std::max(memory_bytes / 32, MIN_SHARE);
    shares.job_state = memory_bytes * 3 / 20;
    shares.append = std::max(memory_bytes / 320, MEGABYTE / 2);
    shares.answers = std::max(memory_bytes * 5 / 64, MIN_SHARE);
    shares.peers = std::max(memory_bytes / 32, MIN_SHARE);
    shares.store_answer =
        std::clamp(memory_bytes / 80, MIN_STORE_ANSWER, MAX_ANSWER);
    // Decoded JSON may take some twenty times the size of its text.
    shares.target_answer =
        std::clamp(memory_bytes / 640, MEGABYTE / 4, MAX_ANSWER);
    // While a buffer grows, its old and its new part count.
    shares.peer_frame = std::min(shares.peers / 5 * 2, MAX_FRAME);
    shares.readiness =
        std::min(shares.readiness,
                 std::max<std::size_t>(memory_bytes / MEMORY_PER_CHECK, 8));
    shares.metrics = std::min(shares.metrics, shares.readiness);
    shares.clients = std::min(
        shares.clients,
        std::max<std::size_t>(memory_bytes * 11 / 64 / CONNECTION_BYTES, 16));
    shares.peer_connections =
        std::min(shares.peer_connections,
                 std::max<std::size_t>(memory_bytes / MEMORY_PER_PEER, 64));
    shares.target_connections =
        std::min(divided - shares.peer_connections - shares.clients,
                 std::max<std::size_t>(
                     memory_bytes / MEMORY_PER_TARGET_CONNECTION, 128));
    return shares;
}

} // namespace rattan
