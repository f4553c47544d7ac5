#include "front/topic_follower.hpp"

#include "base/log_func.hpp"

#include <utility>

namespace rattan::front {

using platform::keyed_record;
using platform::newest_answer;
using platform::read_answer;
using platform::store_result;

namespace {

constexpr millis CALL_TIMEOUT{800}; ///< A read adds its long-poll time.
constexpr millis RETRY_DELAY{150};  ///< After a failed call.

} // namespace

topic_follower::topic_follower(event_loop& loop, platform::store_client& store,
                               follow_options options, record_handler on_record,
                               loaded_handler on_loaded)
    : loop_(loop), store_(store), options_(std::move(options)),
      on_record_(std::move(on_record)), on_loaded_(std::move(on_loaded)) {}

std::vector<std::string>
topic_follower::keys_with_prefix(const std::string& prefix) const {
    std::vector<std::string> keys;
    for (auto position = newest_offsets_.lower_bound(prefix);
         position != newest_offsets_.end() &&
         position->first.starts_with(prefix);
         ++position)
        keys.push_back(position->first);
    return keys;
}

void topic_follower::call_later(millis delay, std::function<void()> call) {
    loop_.after(delay, [call = std::move(call), alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            call();
    });
}

void topic_follower::note_answer(mono_time sent_at) {
    answered_at_ = std::max(answered_at_, sent_at);
    if (on_answered_)
        on_answered_(sent_at);
}

void topic_follower::load(const std::string& after) {
    store_.newest(options_.topic, options_.partition, after, CALL_TIMEOUT,
                  [this, after, sent_at = event_loop::now(),
                   alive = std::weak_ptr(alive_)](const newest_answer& page) {
                      if (alive.expired())
                          return;
                      if (page.result != store_result::ok)
                          return call_later(RETRY_DELAY,
                                            [this, after] { load(after); });
                      note_answer(sent_at);
                      handle_page(page, after);
                  });
}

void topic_follower::handle_page(const newest_answer& page,
                                 const std::string& after) {
    if (after.empty()) {
        loading_keys_.clear();
        next_offset_ = page.end_offset;
    }
    const std::weak_ptr<bool> alive = alive_;
    for (const keyed_record& record : page.records) {
        loading_keys_.insert(record.key);
        handle_record(record);
        if (alive.expired())
            return;
    }
    if (page.has_more)
        return load(page.last_key);
    std::erase_if(newest_offsets_, [this](const auto& item) {
        return !loading_keys_.contains(item.first);
    });
    loaded_ = true;
    on_loaded_(std::exchange(loading_keys_, {}));
    if (!alive.expired())
        read();
}

void topic_follower::handle_record(const keyed_record& record) {
    std::int64_t& newest =
        newest_offsets_.try_emplace(record.key, -1).first->second;
    if (record.offset <= newest)
        return;
    newest = record.offset;
    const bool deleted = record.value.empty();
    const std::weak_ptr<bool> alive = alive_;
    on_record_(record);
    if (deleted && !alive.expired())
        newest_offsets_.erase(record.key);
}

void topic_follower::read() {
    store_.read({.topic = options_.topic,
                 .partition = options_.partition,
                 .from = next_offset_,
                 .max_wait = options_.max_wait,
                 .timeout = options_.max_wait + CALL_TIMEOUT},
                [this, sent_at = event_loop::now(),
                 alive = std::weak_ptr(alive_)](const read_answer& answer) {
                    if (alive.expired())
                        return;
                    if (answer.result == store_result::trimmed) {
                        log_event(log_level::info, "topic_reloaded",
                                  {{"topic", options_.topic}});
                        return load("");
                    }
                    if (answer.result != store_result::ok)
                        return call_later(RETRY_DELAY, [this] { read(); });
                    note_answer(sent_at);
                    next_offset_ = std::max(next_offset_, answer.next_offset);
                    for (const keyed_record& record : answer.records) {
                        handle_record(record);
                        if (alive.expired())
                            return;
                    }
                    if (options_.read_delay.count() > 0)
                        return call_later(options_.read_delay,
                                          [this] { read(); });
                    read();
                });
}

} // namespace rattan::front
