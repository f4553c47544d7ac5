#include "front/topic_follower.hpp"

#include "base/log_func.hpp"

#include <utility>

namespace rattan::front {

using platform::keyed_record;
using platform::newest_answer;
using platform::read_answer;
using platform::store_result;

namespace {

constexpr millis CALL_TIME{800};  ///< Of a call, beyond the wait asked for.
constexpr millis RETRY_TIME{150}; ///< After a call without success.

} // namespace

topic_follower::topic_follower(event_loop& loop, platform::store_client& store,
                               follow_options options, on_record record,
                               on_loaded loaded)
    : loop_(loop), store_(store), options_(std::move(options)),
      record_(std::move(record)), on_loaded_(std::move(loaded)) {}

void topic_follower::later(millis delay, std::function<void()> call) {
    loop_.after(delay, [call = std::move(call), alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            call();
    });
}

void topic_follower::note_answer(mono_time sent_at) {
    answered_at_ = std::max(answered_at_, sent_at);
    if (answered_)
        answered_(sent_at);
}

void topic_follower::load(const std::string& after) {
    store_.newest(options_.topic, options_.part, after, CALL_TIME,
                  [this, after, sent_at = event_loop::now(),
                   alive = std::weak_ptr(alive_)](const newest_answer& page) {
                      if (alive.expired())
                          return;
                      if (page.result != store_result::ok)
                          return later(RETRY_TIME,
                                       [this, after] { load(after); });
                      note_answer(sent_at);
                      take_page(page, after.empty());
                  });
}

void topic_follower::take_page(const newest_answer& page, bool first) {
    if (first) {
        loading_keys_.clear();
        next_ = page.end;
    }
    const std::weak_ptr<bool> alive = alive_;
    for (const keyed_record& record : page.records) {
        loading_keys_.insert(record.key);
        take(record);
        if (alive.expired())
            return;
    }
    if (page.more && !page.records.empty())
        return load(page.records.back().key);
    std::erase_if(offsets_, [this](const auto& item) {
        return !loading_keys_.contains(item.first);
    });
    loaded_ = true;
    on_loaded_(loading_keys_);
    if (!alive.expired())
        read();
}

void topic_follower::take(const keyed_record& record) {
    std::int64_t& newest = offsets_.try_emplace(record.key, -1).first->second;
    if (record.offset <= newest)
        return;
    newest = record.offset;
    const bool dropped = record.value.empty();
    const std::weak_ptr<bool> alive = alive_;
    record_(record);
    if (dropped && !alive.expired())
        offsets_.erase(record.key);
}

void topic_follower::read() {
    store_.read({.topic = options_.topic,
                 .part = options_.part,
                 .from = next_,
                 .wait = options_.wait,
                 .timeout = options_.wait + CALL_TIME},
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
                        return later(RETRY_TIME, [this] { read(); });
                    note_answer(sent_at);
                    next_ = std::max(next_, answer.next);
                    for (const keyed_record& record : answer.records) {
                        take(record);
                        if (alive.expired())
                            return;
                    }
                    if (options_.pause.count() > 0)
                        return later(options_.pause, [this] { read(); });
                    read();
                });
}

} // namespace rattan::front
