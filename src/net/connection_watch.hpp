/** @file Notices the end of a process by a connection to it. */
#pragma once

#include "net/event_loop.hpp"

#include <ace/Event_Handler.h>

#include <memory>
#include <string>

namespace rattan {

/**
 * Holds a connection on which nothing is sent. It breaks at once when the
 * process at its other end does; a poll would only show that later.
 */
class connection_watch : public ACE_Event_Handler {
public:
    /** Called after the handler of an event has returned. */
    struct callbacks {
        std::function<void()> opened;
        std::function<void()> lost; ///< Also if it could not be opened.
    };

    /** @param address IP and port. */
    connection_watch(event_loop& loop, const std::string& address,
                     callbacks handlers);
    ~connection_watch() override;
    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;

    [[nodiscard]] bool open() const { return open_; }

    ACE_HANDLE get_handle() const override { return handle_; }
    int handle_output(ACE_HANDLE) override;
    int handle_input(ACE_HANDLE) override;

private:
    void report(const std::function<void()>& callback);
    void disconnect();
    void fail();

    event_loop& loop_;
    callbacks callbacks_;
    ACE_HANDLE handle_ = ACE_INVALID_HANDLE;
    long timer_ = 0; ///< Bounds the time to connect.
    bool open_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan
