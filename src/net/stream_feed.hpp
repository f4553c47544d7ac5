/** @file Keeps a program's copy of the cell state current through relays. */
#pragma once

#include "fold/fold_base.hpp"
#include "net/program_runtime.hpp"
#include "net/rpc_client.hpp"
#include "rattan/worker_type.hpp"
#include "stream/freshness_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattan {

/** Called when the feed has changed the state. */
struct feed_callbacks {
    std::function<void()> on_restore; ///< A snapshot replaced the state.
    entry_observer on_entry;
    std::function<void(const host_list&)> on_hosts; ///< A new list arrived.
    /** All records of one read have been applied. */
    std::function<void()> on_batch_applied;
};

/**
 * Reads log records through a relay and applies them to a local state. It
 * prefers the relay on its own entry host and uses the others while that one
 * fails; it appends only through its own.
 */
class stream_feed {
public:
    /** @param relays Addresses; the relay on this entry host first. */
    stream_feed(event_loop& loop, const std::vector<std::string>& relays,
                feed_callbacks callbacks);

    /** Fetches a snapshot and then reads continuously. */
    void start();

    [[nodiscard]] const cell_state& state() const { return fold_.state(); }
    [[nodiscard]] const freshness& fresh() const { return fresh_; }
    [[nodiscard]] const host_list& hosts() const { return hosts_; }
    [[nodiscard]] const cell_fold& fold() const { return fold_; }

    /** Whether a first snapshot has been restored. */
    [[nodiscard]] bool has_state() const { return started_; }

    /** Appends entries through the relay on this entry host. */
    void append(const std::vector<log_entry>& entries, millis expires,
                rpc_client::callback done);

    /**
     * Calls back with true when the relay on this entry host has caught up
     * with the log and has resolved every append submitted to it so far, and
     * with false if it did not confirm this in time.
     */
    void when_appends_resolved(std::function<void(bool)> done);

private:
    /** Replaces the state with a snapshot from the current relay. */
    void fetch_snapshot();
    /** Requests the records from `next_offset` on. */
    void read_next();
    /** Applies the answer to a read. @param asked When it was requested. */
    void handle_read_reply(const wire::read_reply& page, mono_time asked);
    /** Switches to the next relay and goes on after `SWITCH_DELAY`. */
    void switch_relay();

    event_loop& loop_;
    std::vector<std::unique_ptr<rpc_client>> relays_;
    size_t relay_index_ = 0;   ///< Of the relay in use.
    int reads_from_other_ = 0; ///< Reads since the switch from relay 0.
    feed_callbacks callbacks_;
    cell_fold fold_;
    freshness fresh_;
    host_list hosts_;
    bool started_ = false;
};

/** The answer on `/v1/state` of a program that uses a feed. */
nlohmann::json feed_state_json(const stream_feed& feed,
                               const process_settings& process,
                               const std::string& program);

} // namespace rattan
