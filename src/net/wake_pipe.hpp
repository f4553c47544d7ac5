/** @file Wakes a thread that waits for descriptors. */
#pragma once

namespace rattan {

/** A pipe whose read end becomes readable when another thread writes to it. */
class wake_pipe {
public:
    /** @throw system_error. */
    wake_pipe();
    ~wake_pipe();
    wake_pipe(const wake_pipe&) = delete;
    wake_pipe& operator=(const wake_pipe&) = delete;

    /** May be called by any thread. */
    void wake() const;
    /** Makes the read end unreadable until the next `wake`. */
    void drain() const;
    [[nodiscard]] int handle() const { return ends_[0]; }

private:
    int ends_[2] = {-1, -1};
};

} // namespace rattan
