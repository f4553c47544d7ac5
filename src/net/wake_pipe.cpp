#include "net/wake_pipe.hpp"

#include "rattan/error_type.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace rattan {

wake_pipe::wake_pipe() {
    if (pipe2(ends_, O_NONBLOCK | O_CLOEXEC) != 0)
        throw system_error("can't create a pipe to wake a thread");
}

wake_pipe::~wake_pipe() {
    close(ends_[0]);
    close(ends_[1]);
}

void wake_pipe::wake() const {
    const char byte = 0;
    // A failed write to a full pipe is harmless: the thread wakes anyway.
    [[maybe_unused]] const ssize_t sent = write(ends_[1], &byte, 1);
}

void wake_pipe::drain() const {
    char bytes[64];
    while (read(ends_[0], bytes, sizeof bytes) > 0) {
    }
}

} // namespace rattan
