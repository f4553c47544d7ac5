/** @file Records of large jobs fit into the store's limits. */
#include "dispatch/job_size.hpp"
#include "dispatch/record_codec.hpp"
#include "dispatch/record_packing.hpp"
#include "front/progress_writer.hpp"
#include "rattan/error_type.hpp"

#include <gtest/gtest.h>

#include <random>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

/** Limits of the store as the platform specifies them. */
constexpr std::size_t RECORD_BYTES = 262'144;
/** For the length of a record, its key and its stamp. */
constexpr std::size_t OVERHEAD_BYTES = 512;
constexpr int TARGETS = 500;

std::string random_digits(std::mt19937_64& random) {
    static constexpr char DIGITS[] = "0123456789abcdef";
    std::string out;
    for (int i = 0; i < 16; ++i)
        out += DIGITS[random() % 16];
    return out;
}

/** A job in progress whose tasks have checkpoints and have failed before. */
job_entry large_job(std::int32_t tasks) {
    std::mt19937_64 random(1);
    std::vector<target_entry> targets;
    for (int i = 0; i < TARGETS; ++i)
        targets.push_back({.id = {random_digits(random)},
                           .incarnation = 1'764'902'701'000 + i});
    job_table table;
    table.accept({.id = {"job"},
                  .queue = {"q"},
                  .spec = {.payload = "p", .steps = {{.count = tasks}}}});
    table.start_due_repeats(*table.find(job_id{"job"}), 0, mono_time{});
    for (std::int32_t i = 0; i < tasks; ++i) {
        const task_id task{{{"job"}, 0, 0}, i};
        for (std::int32_t run = 1; run <= 3; ++run) {
            table.place(task, run, targets[0]);
            table.fail(task, run, 100, 0);
        }
        // Tasks are placed in order; a target takes several of them.
        table.place(task, 4,
                    targets[static_cast<std::size_t>(i / 8) % TARGETS]);
        table.record_checkpoint(task, "0000" + random_digits(random).substr(4));
    }
    return *table.find(job_id{"job"});
}

} // namespace

// Guards against records of progress over the store's limit: it refused that
// of a job of 9,000 tasks, which was sent again for ever.
TEST(record_packing, progress_of_the_largest_job_fits_into_a_record) {
    const auto limit = static_cast<std::int32_t>(
        (RECORD_BYTES - OVERHEAD_BYTES) / STORED_TASK_BYTES);
    EXPECT_GE(limit, 10'000);
    for (const std::int32_t tasks : {9'000, limit}) {
        const std::string text = encode_progress(large_job(tasks));
        const std::string stored = pack_record(text);
        EXPECT_LE(stored.size(), RECORD_BYTES - OVERHEAD_BYTES)
            << tasks << " tasks, " << text.size() << " bytes unpacked";
        EXPECT_EQ(unpack_record(stored), text);
    }
}

// Guards against a new version that can't read what an older one has stored.
TEST(record_packing, small_and_unpacked_records_are_kept_as_they_are) {
    const std::string small = encode_progress(large_job(10));
    EXPECT_EQ(pack_record(small), small);
    const std::string large = encode_progress(large_job(5'000));
    EXPECT_EQ(unpack_record(large), large);
}

// Guards against reading damaged records without an error.
TEST(record_packing, damaged_records_are_rejected) {
    const std::string stored = pack_record(encode_progress(large_job(5'000)));
    EXPECT_THROW(unpack_record(stored.substr(0, stored.size() / 2)),
                 decode_error);
    EXPECT_THROW(unpack_record("z"), decode_error);
    EXPECT_THROW(unpack_record("z12"), decode_error);
    EXPECT_THROW(unpack_record("z99999999999999 x"), decode_error);
    EXPECT_THROW(unpack_record("z10 x"), decode_error);
}

// Guards against accepting jobs whose progress can't be stored.
TEST(record_packing, jobs_that_cannot_be_stored_are_refused) {
    const job_spec one{.steps = {{.count = 10'000}}};
    EXPECT_NO_THROW(check_job_size(one, 500, RECORD_BYTES));
    EXPECT_NO_THROW(check_job_size(one, 500, 0));
    EXPECT_THROW(check_job_size(one, RECORD_BYTES, RECORD_BYTES), decode_error);
    const job_spec two{.steps = {{.count = 10'000}, {.count = 10'000}}};
    EXPECT_THROW(check_job_size(two, 500, RECORD_BYTES), decode_error);
    job_spec at_once{.steps = {{.count = 10}}, .repeats = 1 << 20};
    EXPECT_THROW(check_job_size(at_once, 500, RECORD_BYTES), decode_error);
    at_once.interval = millis(1000);
    EXPECT_NO_THROW(check_job_size(at_once, 500, RECORD_BYTES));
}

// Guards against a later owner or a reader of states that takes the packed
// progress of a large job for damaged.
TEST(record_packing, a_later_owner_reads_packed_progress) {
    const job_entry job = large_job(9'000);
    const auto [stamp, text] =
        front::split_progress("7 12 " + pack_record(encode_progress(job)));
    EXPECT_EQ(stamp.epoch, 7);
    EXPECT_EQ(stamp.batch, 12);
    EXPECT_EQ(decode_progress_state(text), job.state);
    job_entry restored{.record = job.record};
    apply_progress(restored, text);
    const step_entry& step = restored.repeats.at(0).steps[0];
    EXPECT_EQ(step.waiting, 0);
    EXPECT_EQ(step.tasks[8'999].run, 4);
    EXPECT_EQ(step.tasks[8'999].checkpoint,
              job.repeats.at(0).steps[0].tasks[8'999].checkpoint);
    EXPECT_EQ(encode_progress(restored), encode_progress(job));
}
