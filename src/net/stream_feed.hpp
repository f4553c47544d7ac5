/** @file The folded state of a program, fed by relays. */
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

/** Who is told of what the feed brings. */
struct feed_callbacks {
    std::function<void()> on_restore; ///< The state was replaced.
    entry_observer on_entry;
    std::function<void(const host_list&)> on_hosts;
    std::function<void()>
        on_batch_applied; ///< Everything of one answer is folded.
};

/** Follows the nearest relay that answers, and appends through it. */
class stream_feed {
public:
    /** @param relays Addresses, the own entry host's first. */
    stream_feed(event_loop& loop, const std::vector<std::string>& relays,
                feed_callbacks callbacks);

    /** Begins to follow. */
    void start();

    [[nodiscard]] const cell_state& state() const { return fold_.state(); }
    [[nodiscard]] const freshness& fresh() const { return fresh_; }
    [[nodiscard]] const host_list& hosts() const { return hosts_; }
    [[nodiscard]] const cell_fold& fold() const { return fold_; }

    /** Tells whether a first state has come. */
    [[nodiscard]] bool has_state() const { return started_; }

    /** Appends entries through the relay of the own entry host. */
    void append(const std::vector<log_entry>& entries, millis expires,
                rpc_client::callback done);

    /**
     * Calls back when the relay has no append of this program left whose
     * fate is open, and has read the log since it started.
     */
    void when_settled(std::function<void(bool)> done);

private:
    /** Fetches a whole state. */
    void fetch_snapshot();
    /** Asks for what follows. */
    void read_on();
    /** Takes an answer of `read_on`. */
    void take_page(const wire::read_reply& page, mono_time asked);
    /** Goes on with the next relay, after a moment. */
    void next_relay();

    event_loop& loop_;
    std::vector<std::unique_ptr<rpc_client>> relays_;
    size_t relay_ = 0;
    int reads_here_ = 0; ///< From another relay than the own.
    feed_callbacks callbacks_;
    cell_fold fold_;
    freshness fresh_;
    host_list hosts_;
    bool started_ = false;
};

/** What a program that follows a feed says of its state. */
nlohmann::json feed_state_json(const stream_feed& feed,
                               const process_settings& process,
                               const std::string& program);

} // namespace rattan
