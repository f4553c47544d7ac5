#include "front/owner_service.hpp"

#include "base/log_func.hpp"
#include "dispatch/job_size.hpp"
#include "dispatch/partition_func.hpp"
#include "dispatch/reader_func.hpp"
#include "dispatch/record_packing.hpp"
#include "dispatch/wait_codec.hpp"
#include "net/program_runtime.hpp"
#include "net/resource_shares.hpp"
#include "net/thrift_codec.hpp"
#include "platform/wire_codec.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

namespace rattan::front {

using namespace dispatch;
using platform::append_answer;
using platform::keyed_record;
using platform::newest_answer;
using platform::store_result;

namespace {

constexpr millis LOAD_PAGE_TIMEOUT{1500};
/**
 * Long-poll time of a read of jobs. Twice this and the delay between reads are
 * less than the age up to which an owner knows all jobs.
 */
constexpr millis JOBS_MAX_WAIT{1000};
/**
 * Delay between reads of jobs. Hosts notify the owner of jobs directly; reading
 * the topic only finds those whose notification was lost.
 */
constexpr millis JOBS_READ_DELAY{500};
/** Reads have no delay for this long after such a job was found. */
constexpr millis FAST_READ_PERIOD{5000};
constexpr millis TOMBSTONE_TIMEOUT{1500};
constexpr millis TOMBSTONE_RETRY_DELAY{1000};
constexpr millis RETRY_DELAY{100}; ///< After a failed call.
/**
 * Bounds of the timeout of a start order. A target may still carry out an
 * order seconds after it timed out.
 */
constexpr millis MIN_START_TIMEOUT{350};
constexpr millis MAX_START_TIMEOUT{900};
constexpr millis STOP_TIMEOUT{700}; ///< Of an order to stop or throttle a run.
constexpr millis TARGETS_READ_DELAY{300}; ///< Between reads of the target list.
constexpr millis MIN_TICK_DELAY{5};       ///< Between ticks without an event.
constexpr millis MAX_TICK_DELAY{100};
/** A longer suspension of the host counts as a possible loss of ownership. */
constexpr millis MAX_IGNORED_SUSPENSION{200};
/**
 * Expected waits are sent up to this age. They are sent as if they had it, so
 * that one encoding serves all hosts.
 */
constexpr millis MAX_SENT_WAITS_AGE{600};
/** Hosts announce all jobs from this part of the limit on their state on. */
constexpr std::size_t ANNOUNCE_FROM_DIVISOR = 4;
/** They do so until less than this part is used. */
constexpr std::size_t ANNOUNCE_UNTIL_DIVISOR = 8;
/** Grant where no host states its memory. */
constexpr std::size_t UNLIMITED_SHARE = std::size_t{1} << 50U;
/** After this time all hosts in touch know that they have to announce. */
constexpr millis ANNOUNCE_DELAY{3000};
constexpr size_t KEY_PREFIX_BYTES = 2; ///< Length of `j/`, `c/` and `p/`.

/** Time since boot during which this host was suspended. */
millis total_suspended_time() {
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    constexpr std::int64_t NANOS_PER_MILLI = 1'000'000;
    return millis((boot.tv_sec - steady.tv_sec) * 1000 +
                  (boot.tv_nsec - steady.tv_nsec) / NANOS_PER_MILLI);
}

owner_settings make_owner_settings(const platform::platform_settings& settings,
                                   std::int64_t epoch) {
    owner_settings out{.epoch = epoch};
    out.lease = std::min(out.lease, settings.max_lease);
    out.max_lease = settings.max_lease;
    out.stop_duration = settings.stop_duration;
    out.state_retention = settings.state_retention;
    out.tail_violation_limit = settings.tail_violation_limit;
    if (settings.rate_window.count() > 0)
        out.rate_window = settings.rate_window;
    out.rate_overage = settings.rate_overage;
    out.rate_slack_jobs = settings.rate_slack_jobs;
    out.remote_factor = settings.remote_factor;
    out.checkpoint_interval = settings.checkpoint_interval;
    out.restore_time = settings.restore_time;
    out.scheduling = settings.scheduling;
    return out;
}

} // namespace

template <typename Call>
auto owner_service::guarded(Call call) {
    return [this, call = std::move(call),
            alive = std::weak_ptr(alive_)](const auto&... values) {
        if (!alive.expired())
            call(values...);
    };
}

owner_service::owner_service(const owner_context& context, std::int64_t epoch)
    : context_(context),
      target_client_([&delegates = context.delegates](
                         const http_call& call, http_client::callback done) {
          delegates.call(call, std::move(done));
      }),
      owner_(make_owner_settings(context.settings, epoch), *this),
      epoch_(epoch),
      progress_writer_(
          context.loop, context.store, epoch,
          std::min(context.settings.store_partitions, MAX_PROGRESS_PARTITIONS),
          {.record_bytes = context.settings.max_record_bytes,
           .append_bytes = context.settings.max_append_bytes},
          {.fenced = [this] { context_.members.handle_fenced(); },
           .answered =
               [this](mono_time sent_at) {
                   context_.members.store_answered();
                   owner_.ownership_confirmed(sent_at);
               }}),
      submissions_(event_loop::now()),
      progress_partitions_to_load_(progress_writer_.partition_count()),
      start_timeout_(MIN_START_TIMEOUT, MAX_START_TIMEOUT),
      last_total_suspended_(total_suspended_time()) {
    update_state_limit();
    if (const auto& handover = context_.members.handover())
        owner_.inherit_leases(handover->leases, handover->received_at);
    follow_jobs();
    target_follower_ = std::make_unique<topic_follower>(
        context_.loop, context_.store,
        follow_options{.topic = platform::TARGETS_TOPIC,
                       .max_wait = millis(1000),
                       .read_delay = TARGETS_READ_DELAY},
        [this](const keyed_record& record) { handle_target_record(record); },
        [this](const std::set<std::string>& keys) {
            for (const std::string& key : target_keys_)
                if (!keys.contains(key))
                    owner_.target_delisted({key});
            target_keys_ = keys;
            start_serving_if_loaded();
        });
    progress_writer_.fence([this] { start_loading(); });
}

void owner_service::follow_jobs() {
    const int partitions = job_partition_count(
        context_.settings.store_partitions, context_.settings.max_writes_per_s);
    fast_read_until_.resize(static_cast<std::size_t>(partitions));
    for (int partition = 0; partition < partitions; ++partition)
        job_followers_.push_back(std::make_unique<topic_follower>(
            context_.loop, context_.store,
            follow_options{.topic = JOBS_TOPIC,
                           .partition = partition,
                           .max_wait = JOBS_MAX_WAIT},
            [this, partition](const keyed_record& record) {
                handle_followed_job_record(static_cast<std::size_t>(partition),
                                           record);
            },
            [this](const std::set<std::string>&) {
                start_serving_if_loaded();
            }));
}

owner_service::~owner_service() {
    alive_.reset();
    context_.loop.cancel(timer_);
}

owner_clock owner_service::clock() {
    const millis suspended = total_suspended_time();
    if (suspended - last_total_suspended_ > MAX_IGNORED_SUSPENSION) {
        log_event(log_level::warning, "stood_still",
                  {{"ms", std::to_string(
                              (suspended - last_total_suspended_).count())}});
        owner_.process_suspended();
    }
    last_total_suspended_ = suspended;
    return {.now = event_loop::now(), .wall_ms = wall_millis()};
}

bool owner_service::knows_all_jobs() const {
    const mono_time now = event_loop::now();
    std::vector<millis> read_ages;
    for (const auto& follower : job_followers_)
        read_ages.push_back(now - follower->answered_at());
    return has_read_all_jobs(read_ages);
}

void owner_service::submission_announced(const job_id& job) {
    submissions_.announced(job, event_loop::now());
}

bool owner_service::never_stored(const job_id& job) {
    update_announcing();
    // A host that is not in touch stores jobs without announcing them.
    return serving_ && knows_all_jobs() && owner_.jobs().find(job) == nullptr &&
           !submissions_.may_be_stored(job, event_loop::now()) &&
           context_.members.members_in_touch().size() ==
               context_.members.members().size();
}

void owner_service::update_state_limit() {
    const platform::platform_settings& own = context_.settings;
    std::size_t memory_bytes = own.memory_bytes;
    for (const auto& [host, member] : context_.members.members()) {
        const auto stated = static_cast<std::size_t>(member.memory_bytes);
        if (stated > 0 && (memory_bytes == 0 || stated < memory_bytes))
            memory_bytes = stated;
    }
    owner_.set_state_limit(
        divide_resources(memory_bytes, own.max_descriptors).job_state);
}

void owner_service::update_announcing() {
    const std::size_t limit = owner_.state().limit();
    const std::size_t used = owner_.state().used();
    const mono_time now = event_loop::now();
    const bool before = announcing_;
    announcing_ = used > limit / (announcing_ ? ANNOUNCE_UNTIL_DIVISOR
                                              : ANNOUNCE_FROM_DIVISOR);
    if (context_.settings.scheduling.order_by_delay_cost)
        return;
    if (!announcing_)
        submissions_.announcements_lost(now);
    else if (!before)
        submissions_.announcements_lost(now + ANNOUNCE_DELAY);
}

admission owner_service::admit(const job_id& job,
                               const organisation_id& organisation,
                               std::size_t state_bytes) {
    if (!serving_)
        return admission::unclear;
    if (owner_.jobs().find(job) != nullptr)
        return admission::known;
    if (owner_.reserve_state(job, organisation, state_bytes, clock())) {
        submission_announced(job);
        return admission::admitted;
    }
    return never_stored(job) ? admission::refused : admission::unclear;
}

admission owner_service::admit_cancel(const job_id& job,
                                      const organisation_id& organisation) {
    if (!serving_)
        return admission::unclear;
    if (owner_.jobs().find(job) != nullptr)
        return admission::known;
    if (never_stored(job))
        return admission::refused;
    return owner_.state().admits(organisation, EARLY_CANCEL_BYTES)
               ? admission::admitted
               : admission::unclear;
}

received_grant owner_service::grant() {
    update_announcing();
    const state_budget& state = owner_.state();
    return {.share = {.bytes = state.limit() == 0
                                   ? UNLIMITED_SHARE
                                   : host_share(state.left(),
                                                hosts_in_touch_.size() + 1),
                      .refused = state.over_share()},
            .announce = announcing_,
            .loading = !serving_,
            .used_bytes = state.used()};
}

const std::string& owner_service::encoded_waits() {
    const mono_time estimated_at = owner_.waits().updated_at();
    if (!serving_ || estimated_at == mono_time{} ||
        event_loop::now() - estimated_at > MAX_SENT_WAITS_AGE)
        encoded_waits_.clear();
    else if (encoded_waits_.empty() || estimated_at != encoded_waits_at_)
        encoded_waits_ =
            encode_waits(owner_.waits().waits(), MAX_SENT_WAITS_AGE);
    encoded_waits_at_ = estimated_at;
    return encoded_waits_;
}

void owner_service::start_loading() {
    target_follower_->start();
    for (int partition = 0; partition < progress_writer_.partition_count();
         ++partition)
        load_progress(partition, "");
}

void owner_service::load_progress(int partition, const std::string& after) {
    context_.store.newest(
        PROGRESS_TOPIC, partition, after, LOAD_PAGE_TIMEOUT,
        guarded([this, partition, after](const newest_answer& page) {
            if (page.result != store_result::ok) {
                context_.loop.after(RETRY_DELAY,
                                    guarded([this, partition, after] {
                                        load_progress(partition, after);
                                    }));
                return;
            }
            if (!page.records.empty())
                progress_writer_.mark_has_keys(partition);
            for (const keyed_record& record : page.records)
                handle_progress_record(record);
            if (page.has_more)
                return load_progress(partition, page.last_key);
            if (--progress_partitions_to_load_ == 0)
                load_jobs();
        }));
}

void owner_service::load_jobs() {
    // Ended jobs are kept without their definitions, so that the records of
    // all jobs of the retention time need not fit into memory at once.
    const owner_clock at = clock();
    for (auto position = loaded_progress_.begin();
         position != loaded_progress_.end();) {
        const auto current = position++;
        try {
            const std::string& value = current->second.value;
            auto ended = decode_end_without_runs(current->first, value);
            if (!ended)
                ended = decode_ended_job(current->first, value, at.wall_ms);
            if (ended) {
                owner_.restore_job(std::move(*ended), at);
                loaded_progress_.erase(current);
            }
        } catch (const decode_error& failure) {
            log_event(
                log_level::error, "progress_unreadable",
                {{"job", current->first.value}, {"cause", failure.what()}});
        }
    }
    for (const auto& follower : job_followers_)
        follower->start();
}

void owner_service::handle_progress_record(const keyed_record& record) {
    if (record.key.size() <= KEY_PREFIX_BYTES || record.value.empty())
        return;
    try {
        auto [stamp, value] = split_progress(record.value);
        loaded_progress& newest =
            loaded_progress_[{record.key.substr(KEY_PREFIX_BYTES)}];
        if (stamp > newest.stamp)
            newest = {stamp, std::move(value)};
    } catch (const decode_error& failure) {
        log_event(log_level::error, "progress_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void owner_service::start_serving_if_loaded() {
    const bool jobs_loaded =
        std::all_of(job_followers_.begin(), job_followers_.end(),
                    [](const auto& follower) { return follower->loaded(); });
    if (serving_ || progress_partitions_to_load_ > 0 || !jobs_loaded ||
        !target_follower_->loaded())
        return;
    const owner_clock at = clock();
    // The progress of a job whose record can't be decoded here is kept: another
    // version may decode it.
    while (!loaded_jobs_.empty()) {
        const auto record = loaded_jobs_.extract(loaded_jobs_.begin());
        restore_job(record.key(), record.mapped(), at);
        loaded_progress_.erase(record.key());
    }
    std::vector<std::string> orphans;
    for (const auto& [id, progress] : std::exchange(loaded_progress_, {}))
        orphans.push_back(progress_key(id));
    progress_writer_.delete_keys(orphans);
    owner_.take_over(at);
    serving_ = true;
    for (const auto& [id, requester] : std::exchange(loaded_cancels_, {}))
        owner_.job_cancelled(id, requester, at);
    for (const auto& follower : job_followers_)
        follower->set_read_delay(JOBS_READ_DELAY);
    log_event(log_level::info, "owner_serving",
              {{"epoch", std::to_string(epoch_)},
               {"jobs", std::to_string(owner_.jobs().all().size())},
               {"targets", std::to_string(owner_.targets().all().size())}});
    schedule_tick();
}

void owner_service::restore_job(const job_id& id, const std::string& record,
                                const owner_clock& at) {
    const auto progress = loaded_progress_.find(id);
    try {
        job_entry job{.record = decode_job_record(record)};
        if (progress != loaded_progress_.end())
            apply_progress(job, progress->second.value);
        owner_.restore_job(std::move(job), at);
    } catch (const decode_error& failure) {
        log_event(log_level::error, "job_unreadable",
                  {{"job", id.value}, {"cause", failure.what()}});
    }
}

void owner_service::handle_stored_record(const keyed_record& record) {
    handle_job_record(record);
}

void owner_service::handle_followed_job_record(std::size_t partition,
                                               const keyed_record& record) {
    const job_id id{
        record.key.substr(std::min(KEY_PREFIX_BYTES, record.key.size()))};
    const mono_time now = event_loop::now();
    if (serving_ && record.key == job_key(id) && !record.value.empty() &&
        owner_.jobs().find(id) == nullptr) {
        // The host that stored this job has not notified this one and may be
        // unable to: the partition is read without delay for a while.
        fast_read_until_[partition] = now + FAST_READ_PERIOD;
        job_followers_[partition]->set_read_delay(millis(0));
    } else if (serving_ && now > fast_read_until_[partition]) {
        job_followers_[partition]->set_read_delay(JOBS_READ_DELAY);
    }
    handle_job_record(record);
}

void owner_service::handle_job_record(const keyed_record& record) {
    if (record.value.empty() || record.key.size() < KEY_PREFIX_BYTES)
        return;
    const job_id id{record.key.substr(KEY_PREFIX_BYTES)};
    try {
        if (const auto cancelled = cancelled_job(record.key)) {
            const organisation_id requester = decode_cancel(record.value);
            if (serving_)
                owner_.job_cancelled(*cancelled, requester, clock());
            else
                loaded_cancels_.emplace(*cancelled, requester);
        } else if (record.key == job_key(id)) {
            if (owner_.jobs().find(id) != nullptr)
                return;
            if (!serving_)
                loaded_jobs_.try_emplace(id, record.value);
            else
                owner_.job_accepted(decode_job_record(record.value), clock());
        }
    } catch (const decode_error& failure) {
        log_event(log_level::error, "job_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
    schedule_tick();
}

void owner_service::handle_target_record(const keyed_record& record) {
    if (record.value.empty()) {
        owner_.target_delisted({record.key});
        target_keys_.erase(record.key);
    } else {
        try {
            owner_.target_listed(
                platform::decode_target(record.key, record.value), clock());
            target_keys_.insert(record.key);
        } catch (const decode_error& failure) {
            log_event(log_level::warning, "target_entry_skipped",
                      {{"target", record.key}, {"cause", failure.what()}});
            owner_.target_unreadable({record.key});
        }
    }
    schedule_tick();
}

void owner_service::set_config(const cell_config& config) {
    owner_.set_config(config);
    schedule_tick();
}

void owner_service::set_evacuated(const std::set<data_centre_id>& centres) {
    owner_.set_evacuated(centres);
    schedule_tick();
}

void owner_service::update_hosts() {
    std::set<host_id> in_touch;
    std::vector<host_id> hosts{context_.settings.host};
    for (const auto& [host, member] : context_.members.members_in_touch())
        if (host != context_.settings.host) {
            hosts.push_back(host);
            in_touch.insert(host);
        }
    // What such a host announced while it was cut off was lost.
    if (!std::includes(hosts_in_touch_.begin(), hosts_in_touch_.end(),
                       in_touch.begin(), in_touch.end()))
        submissions_.announcements_lost(event_loop::now());
    hosts_in_touch_ = std::move(in_touch);
    update_state_limit();
    owner_.set_hosts(hosts);
    schedule_tick();
}

void owner_service::ownership_confirmed(mono_time at) {
    owner_.ownership_confirmed(at);
}

void owner_service::schedule_tick() {
    if (!serving_ || std::exchange(tick_scheduled_, true))
        return;
    const millis delay = tick_pacer_.delay(event_loop::now_micros());
    if (delay > millis(0))
        context_.loop.after(delay, guarded([this] { tick(); }));
    else
        context_.loop.defer(guarded([this] { tick(); }));
}

void owner_service::tick() {
    tick_scheduled_ = false;
    context_.delegates.set_target_count(owner_.targets().all().size());
    const std::int64_t begin_us = event_loop::now_micros();
    const mono_time started_at = event_loop::now();
    owner_.tick(clock());
    const mono_time now = event_loop::now();
    owner_.tick_took(now - started_at, now);
    const std::int64_t end_us = event_loop::now_micros();
    tick_pacer_.ticked(begin_us, end_us);
    context_.metrics.histogram("rattan_owner_tick_micros")
        .record(end_us - begin_us);
    if (owner_.superseded())
        return context_.members.handle_fenced();
    arm_timer();
}

void owner_service::arm_timer() {
    const owner_clock at = clock();
    const mono_time due = std::clamp(
        owner_.next_due(at), at.now + MIN_TICK_DELAY, at.now + MAX_TICK_DELAY);
    if (timer_ != 0 && timer_due_ <= due && timer_due_ > at.now)
        return;
    context_.loop.cancel(timer_);
    timer_due_ = due;
    timer_ = context_.loop.after(due - at.now, guarded([this] {
                                     timer_ = 0;
                                     schedule_tick();
                                 }));
}

void owner_service::start(const target_address& target,
                          const start_order& order) {
    ++context_.metrics.counter("rattan_starts_sent_total");
    target_client_.start(
        target, order, start_timeout_.timeout(),
        guarded([this, id = target.id, task = order.task, run = order.run,
                 sent_at = event_loop::now()](const order_answer& answer) {
            // Under load answers are handled late here, so the timeout adapts
            // to the time until they are handled.
            if (answer.answered)
                start_timeout_.answered(event_loop::now() - sent_at);
            owner_.start_answered(id, task, run, answer, clock());
            schedule_tick();
        }));
}

void owner_service::stop(const target_address& target, const task_id& task,
                         std::int32_t run, std::int64_t fencing_token) {
    ++context_.metrics.counter("rattan_stops_sent_total");
    log_event(log_level::info, "stop_sent",
              {{"job", task.step.job.value},
               {"task", platform::task_name(task)},
               {"run", std::to_string(run)},
               {"target", target.id.value}});
    target_client_.stop(
        target, task, run, fencing_token, STOP_TIMEOUT,
        guarded([this, id = target.id, task, run](const order_answer& answer) {
            owner_.stop_answered(id, task, run, answer, clock());
            schedule_tick();
        }));
}

void owner_service::throttle(const target_address& target, const task_id& task,
                             std::int32_t run, int percent,
                             std::int64_t fencing_token) {
    ++context_.metrics.counter("rattan_paces_sent_total");
    target_client_.throttle(
        target, task, run, percent, fencing_token, STOP_TIMEOUT,
        guarded([this, id = target.id, task, run,
                 percent](const order_answer& answer) {
            if (!answer.done)
                log_event(log_level::warning, "pace_failed",
                          {{"target", id.value}});
            owner_.throttle_answered(id, task, run, percent, answer);
            schedule_tick();
        }));
}

void owner_service::poll(const target_address& target,
                         const poll_order& order) {
    ++context_.metrics.counter("rattan_looks_sent_total");
    target_client_.poll(
        target, order,
        guarded([this, id = target.id, concurrent = order.concurrent,
                 last_seen = order.last_seen,
                 sent_at = event_loop::now()](const poll_answer& answer) {
            poll_answer reply = answer;
            reply.concurrent = concurrent;
            reply.last_seen = last_seen;
            owner_.poll_answered(id, reply, sent_at, clock());
            schedule_tick();
        }));
}

void owner_service::guard_restart(const target_address& target,
                                  std::int64_t fencing_token, millis duration) {
    log_event(log_level::info, "target_guarded",
              {{"target", target.id.value},
               {"ms", std::to_string(duration.count())}});
    context_.restarts.guard(
        target.id.value,
        platform::target_client::token_poll(target, fencing_token), duration,
        guarded([this, id = target.id] {
            owner_.process_reached(id, clock());
            schedule_tick();
        }));
}

void owner_service::advise(http_client& http, const std::string& address,
                           const std::string& step,
                           const std::vector<std::string>& targets,
                           millis timeout,
                           std::function<void(const advice_answer&)> done) {
    platform::ask_advice(http, address, step, targets, timeout,
                         std::move(done));
}

void owner_service::ask_advice(const host_id& host, const step_ref& step,
                               const std::vector<std::string>& targets,
                               millis timeout) {
    ++context_.metrics.counter("rattan_advice_asked_total");
    // The timeout is the expected duration of the call plus 1.5 s.
    const bool slow =
        timeout >= millis(1500) + advice_table::SLOW_CALL_THRESHOLD;
    auto done = guarded([this, host, step, slow](const advice_answer& answer) {
        owner_.advice_answered(host, step, slow, answer, clock());
        schedule_tick();
    });
    const std::string name = platform::step_name(step);
    const auto member = context_.members.members().find(host);
    if (host == context_.settings.host ||
        member == context_.members.members().end())
        return advise(context_.http, context_.settings.advice_address, name,
                      targets, timeout, std::move(done));
    wire::advise_request request;
    request.step = name;
    request.targets = targets;
    request.timeout_ms = static_cast<std::int32_t>(timeout.count());
    context_.members.peer(member->second.address)
        .call(wire::method::ADVISE, wire_encode(request), timeout,
              [done = std::move(done)](const rpc_call_result& answer) {
                  advice_answer out{.ok = answer.ok()};
                  if (out.ok) {
                      const auto reply =
                          wire_decode<wire::advise_reply>(answer.body);
                      for (const auto& row : reply.targets)
                          out.eligible.push_back({{row.target}, row.ticket});
                      out.ticket_lifetime = millis(reply.valid_ms);
                  }
                  done(out);
              });
}

void owner_service::store(const std::vector<store_record>& records) {
    std::vector<keyed_record> out;
    for (const store_record& record : records)
        out.push_back({.key = record.key, .value = pack_record(record.value)});
    ++context_.metrics.counter("rattan_owner_appends_total");
    progress_writer_.write(
        std::move(out),
        guarded([this](const std::vector<std::string>& refused_keys) {
            std::vector<job_id> refused;
            for (const std::string& key : refused_keys)
                refused.push_back({key.substr(KEY_PREFIX_BYTES)});
            if (!refused.empty())
                owner_.records_refused(refused, clock());
            owner_.records_stored(clock());
            schedule_tick();
        }));
}

void owner_service::remove_jobs(const std::vector<job_id>& jobs) {
    std::vector<std::string> progress_keys;
    for (const job_id& id : jobs)
        progress_keys.push_back(progress_key(id));
    const auto appends_left = std::make_shared<int>(1);
    const auto append_done = [this, appends_left, progress_keys] {
        if (--*appends_left == 0)
            progress_writer_.delete_keys(progress_keys);
    };
    for (std::size_t partition = 0; partition < job_followers_.size();
         ++partition) {
        const topic_follower& follower = *job_followers_[partition];
        std::vector<keyed_record> tombstones;
        for (const job_id& id : jobs) {
            if (follower.has_key(job_key(id)))
                tombstones.push_back({.key = job_key(id)});
            for (const std::string& key :
                 follower.keys_with_prefix(cancel_key_prefix(id)))
                tombstones.push_back({.key = key});
        }
        const split_records split =
            split_batch(std::move(tombstones),
                        {.append_bytes = context_.settings.max_append_bytes});
        for (const auto& batch : split.batches) {
            ++*appends_left;
            append_tombstones(static_cast<int>(partition), batch, append_done);
        }
    }
    append_done();
}

void owner_service::append_tombstones(int partition,
                                      const std::vector<keyed_record>& records,
                                      std::function<void()> done) {
    context_.store.append(
        {.topic = JOBS_TOPIC,
         .partition = partition,
         .records = records,
         .timeout = TOMBSTONE_TIMEOUT},
        guarded([this, partition, records, done](const append_answer& answer) {
            if (answer.result == store_result::ok)
                return done();
            log_event(log_level::warning, "drop_failed",
                      {{"partition", std::to_string(partition)},
                       {"records", std::to_string(records.size())}});
            context_.loop.after(TOMBSTONE_RETRY_DELAY,
                                guarded([this, partition, records, done] {
                                    append_tombstones(partition, records, done);
                                }));
        }));
}

void owner_service::start_wait_ended(millis waited) {
    context_.metrics.histogram("rattan_start_wait_micros")
        .record(std::chrono::microseconds(waited).count());
}

void owner_service::log(std::string_view event, const job_id& job,
                        const std::string& detail) {
    log_event(log_level::info, event, {{"job", job.value}, {"detail", detail}});
}

} // namespace rattan::front
