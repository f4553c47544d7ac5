/** @file Closes sockets whose peers are still sending. */
#pragma once

#include "net/event_loop.hpp"

#include <list>
#include <memory>

namespace rattan {

/**
 * Reads and discards what a peer still sends after the last response. If a
 * socket is closed with unread bytes, the kernel resets the connection, and
 * the peer may never read the response.
 */
class lingering_sockets {
public:
    explicit lingering_sockets(event_loop& loop) : loop_(loop) {}
    ~lingering_sockets();
    lingering_sockets(const lingering_sockets&) = delete;
    lingering_sockets& operator=(const lingering_sockets&) = delete;

    /**
     * Keeps a duplicate of a socket until its peer closes it, up to a limit
     * on time and bytes. Does nothing while there are too many.
     */
    void add(int handle);

private:
    struct lingering_socket {
        int handle = -1;
        mono_time until{};
        std::size_t bytes = 0; ///< Discarded so far.
    };

    /** Discards what has arrived; closes the sockets that are finished. */
    void drain();
    /** @return False if the socket is finished. */
    static bool drain_one(lingering_socket& socket);
    void schedule();

    event_loop& loop_;
    std::list<lingering_socket> sockets_;
    bool scheduled_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan
