/** @file Decoders of other processes' data against odd values. */
#include "base/json_input_func.hpp"
#include "dispatch/record_codec.hpp"
#include "platform/store_client.hpp"
#include "platform/target_client.hpp"
#include "platform/wire_codec.hpp"
#include "rattan/error_type.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <pthread.h>
#include <unistd.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::platform;

namespace {

constexpr size_t SMALL_STACK_BYTES = 256U << 10U;
constexpr size_t DEPTH = 200'000;

std::string repeated(const std::string& text, size_t times) {
    std::string out;
    out.reserve(text.size() * times);
    for (size_t i = 0; i < times; ++i)
        out += text;
    return out;
}

/** Lists nested so deeply that a recursive function overflows the stack. */
std::string deep_list() {
    return repeated("[", DEPTH) + repeated("]", DEPTH);
}

std::string deep_object() {
    return repeated(R"({"":)", DEPTH / 4) + "0" + repeated("}", DEPTH / 4);
}

/** Runs a call on a thread with a small stack. */
void call_on_small_stack(const std::function<void()>& call) {
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, SMALL_STACK_BYTES);
    pthread_t thread{};
    const auto run = [](void* argument) -> void* {
        (*static_cast<const std::function<void()>*>(argument))();
        return nullptr;
    };
    ASSERT_EQ(pthread_create(&thread, &attributes, run,
                             const_cast<std::function<void()>*>(&call)),
              0);
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

/**
 * Runs a call in a process of its own with a small stack; the process ends with
 * 0 only if the call returns.
 */
void expect_survives(const std::function<void()>& call) {
    EXPECT_EXIT(
        {
            call_on_small_stack(call);
            _exit(0);
        },
        ::testing::ExitedWithCode(0), "");
}

/** Entry of a target whose fields can be replaced by other JSON text. */
struct entry_text {
    std::string address = R"("10.1.1.1:8080")";
    std::string born = "1733366763000";
    std::string cpu = "8000";
    std::string labels = R"(["a","r1-1"])";
    std::string more;

    [[nodiscard]] std::string text() const {
        return R"({"service":"pool","zone":"dc1","state":"ready","address":)" +
               address + R"(,"born":)" + born + R"(,"labels":)" + labels +
               R"(,"capacity":{"cpu":)" + cpu + R"(,"memMb":64})" + more + "}";
    }
};

/** Tells whether the entry of a target is accepted. */
bool accepts(const entry_text& entry) {
    try {
        decode_target("t1", entry.text());
        return true;
    } catch (const decode_error&) {
        return false;
    }
}

std::string run_list(const std::string& running, const std::string& ended) {
    return R"({"clockMs":5,"born":7,"running":[)" + running +
           R"(],"finished":[)" + ended + "]}";
}

} // namespace
// A row nested 200,000 deep, written to the log by a recursive function, ended
// the process.
TEST(odd_entries, deeply_nested_rows_of_a_run_list_end_no_process) {
    const std::string good = R"(["j.0.0.0",1,"",5])";
    for (const std::string& odd : {deep_list(), deep_object()}) {
        expect_survives(
            [&] { decode_run_list(run_list(odd + "," + good, "")); });
        expect_survives([&] { decode_run_list(run_list(good, odd)); });
    }
}

TEST(odd_entries, deeply_nested_entries_are_rejected) {
    for (const std::string& odd : {deep_list(), deep_object()}) {
        const auto try_all = [&] {
            EXPECT_THROW(decode_target("t1", odd), decode_error);
            EXPECT_FALSE(accepts({.labels = odd}));
            EXPECT_FALSE(accepts({.labels = "[" + odd + "]"}));
            EXPECT_FALSE(accepts({.cpu = odd}));
            EXPECT_FALSE(accepts({.more = R"(,"unknown":)" + odd}));
            EXPECT_THROW(decode_config(R"({"routes":[)" + odd + "]}"),
                         decode_error);
            EXPECT_THROW(decode_job(R"({"jobSteps":[)" + odd + "]}"),
                         decode_error);
            EXPECT_THROW(decode_newest(R"({"end":1,"items":[)" + odd + "]}"),
                         decode_error);
            EXPECT_THROW(decode_job_record(odd), decode_error);
            EXPECT_THROW(decode_member(odd), decode_error);
            EXPECT_THROW(decode_owner(odd), decode_error);
            if (::testing::Test::HasFailure())
                _exit(1);
        };
        expect_survives(try_all);
    }
    EXPECT_TRUE(accepts({}));
}

TEST(odd_entries, brackets_in_strings_do_not_count_as_nesting) {
    const std::string brackets = repeated("[", DEPTH);
    EXPECT_TRUE(accepts({.more = R"(,"text":"\"\\)" + brackets + "\""}));
}

// A run number was cut to 32 bits, so 2^32 + 1 stood for run 1; the conversion
// of a large fraction to an integer was undefined.
TEST(odd_entries, rows_with_numbers_out_of_range_are_skipped) {
    for (const char* odd : {"1e300", "-1e300", "9223372036854775808",
                            "18446744073709551616", "-9223372036854775809",
                            "4294967297", "0", "-1", "1.5", "null", "\"1\""}) {
        SCOPED_TRACE(odd);
        const std::string number = odd;
        const auto list = decode_run_list(
            run_list(R"(["j.0.0.0",)" + number + R"(,"",5])",
                     R"([1,"j.0.0.0",)" + number + R"(,"done",""])"));
        EXPECT_TRUE(list.running.empty());
        EXPECT_TRUE(list.ended.empty());
        EXPECT_EQ(list.incarnation, 7);
    }
    for (const char* odd : {"1e300", "9223372036854775808", "0", "-1", "1.5",
                            "18446744073709551615"}) {
        SCOPED_TRACE(odd);
        EXPECT_TRUE(
            decode_run_list(run_list("", "[" + std::string(odd) +
                                             R"(,"j.0.0.0",1,"done",""])"))
                .ended.empty());
    }
}

TEST(odd_entries, measurements_out_of_range_are_bounded) {
    for (const char* odd : {"1e300", "-1e300", "18446744073709551615", "-5"}) {
        SCOPED_TRACE(odd);
        const auto list = decode_run_list(run_list(
            R"(["j.0.0.0",1,"",)" + std::string(odd) + "," + odd + "]", ""));
        ASSERT_EQ(list.running.size(), 1U);
        EXPECT_GE(list.running[0].percent, 0);
        EXPECT_LE(list.running[0].percent, 100);
        EXPECT_GE(list.running[0].measurement, 0);
        EXPECT_LE(list.running[0].measurement, std::int64_t{1} << 50U);
    }
}

// Such an answer counted as a list without runs, so that a new owner took the
// runs of the target for gone and started them elsewhere.
TEST(odd_entries, an_unreadable_answer_to_a_poll_is_none) {
    const auto poll_answered_with = [](const std::string& body) {
        target_client client(
            [&](const http_call&, const http_client::callback& done) {
                done({.outcome = http_outcome::answered,
                      .status = 200,
                      .body = body});
            });
        poll_answer out;
        client.poll({.id = {"t1"}, .address = "10.1.1.1:80"}, {},
                    [&](const poll_answer& answer) { out = answer; });
        EXPECT_TRUE(out.order.answered);
        return out;
    };
    for (const std::string& odd :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("{}"), std::string("\xff"), deep_list(),
          std::string(R"({"clockMs":1e300,"running":[]})"),
          std::string(R"({"clockMs":-1,"running":[]})"),
          std::string(R"({"clockMs":5,"running":{}})"),
          std::string(R"({"clockMs":5,"finished":"x"})"),
          R"({"clockMs":5,"running":[)" + repeated("[],", 1U << 20U) +
              "[]]}"}) {
        SCOPED_TRACE(odd.substr(0, 40));
        EXPECT_FALSE(poll_answered_with(odd).order.done);
    }
    const auto good = poll_answered_with(run_list("", ""));
    EXPECT_TRUE(good.order.done);
    EXPECT_TRUE(good.complete);
    EXPECT_EQ(good.order.clock_ms, 5);
    // The run of a row that can't be read may be any.
    EXPECT_FALSE(poll_answered_with(run_list("[]", "")).complete);
    EXPECT_TRUE(poll_answered_with(run_list("", "[]")).complete);
}

TEST(odd_entries, clocks_out_of_range_count_as_missing) {
    for (const char* odd : {"1e300", "-1", "9223372036854775808",
                            "18446744073709551615", "2251799813685249"}) {
        SCOPED_TRACE(odd);
        const std::string number = odd;
        const auto list = decode_run_list(R"({"clockMs":)" + number +
                                          R"(,"born":)" + number + "}");
        EXPECT_EQ(list.order.clock_ms, 0);
        EXPECT_EQ(list.incarnation, 0);
    }
}

TEST(odd_entries, entries_with_numbers_out_of_range_are_rejected) {
    for (const char* odd : {"1e400", "1e300", "-1e300", "9223372036854775808",
                            "18446744073709551616", "-9223372036854775809",
                            "-1", "true", "{}", "\"8\""}) {
        SCOPED_TRACE(odd);
        EXPECT_FALSE(accepts({.born = odd}));
        EXPECT_FALSE(accepts({.cpu = odd}));
    }
    // A fraction of a millisecond can't tell two incarnations apart.
    EXPECT_FALSE(accepts({.born = "1733366763000.5"}));
    EXPECT_TRUE(accepts({.cpu = "8000.5"}));
    for (const char* name : {"slots", "seq", "coldLeftMs"})
        for (const char* odd :
             {"1e400", "1e300", "18446744073709551616", "\"8\"", "[]"}) {
            SCOPED_TRACE(std::string(name) + " " + odd);
            EXPECT_FALSE(
                accepts({.more = ",\"" + std::string(name) + "\":" + odd}));
        }
}

TEST(odd_entries, predecessors_of_a_step_have_to_precede_it) {
    for (const char* odd : {"1e300", "-1", "1", "4294967296", "0.5",
                            "18446744073709551615", "[]"}) {
        SCOPED_TRACE(odd);
        EXPECT_THROW(
            decode_job(R"({"jobSteps":[{"count":1},{"count":1,"after":[)" +
                       std::string(odd) + "]}]}"),
            decode_error);
    }
    EXPECT_EQ(
        decode_job(R"({"jobSteps":[{"count":1},{"count":1,"after":[0]}]})")
            .steps[1]
            .after,
        std::vector<int>{0});
}

// Port 99999 was passed to the HTTP client, and a name to the resolver.
TEST(odd_entries, addresses_are_an_ip_number_and_a_port) {
    EXPECT_TRUE(accepts({.address = R"("127.0.0.1:1")"}));
    EXPECT_TRUE(accepts({.address = R"("10.1.1.1:65535")"}));
    for (const std::string& odd : {std::string("10.1.1.1:99999"),
                                   std::string("10.1.1.1:65536"),
                                   std::string("10.1.1.1:0"),
                                   std::string("10.1.1.1:-1"),
                                   std::string("10.1.1.1:+80"),
                                   std::string("10.1.1.1:"),
                                   std::string("10.1.1.1"),
                                   std::string(":80"),
                                   std::string(""),
                                   std::string("host.example:80"),
                                   std::string("localhost:80"),
                                   std::string("10.1.1.1:80/path?x=1"),
                                   std::string("10.1.1.1:80 "),
                                   std::string(" 10.1.1.1:80"),
                                   std::string("a@10.1.1.1:80"),
                                   std::string("10.1.1.1:80\\r\\nX-Header: 1"),
                                   std::string("10.1.1.1\\u0000x:80"),
                                   std::string("[::1]:80"),
                                   std::string("10.1.1.300:80"),
                                   std::string("10.1.1.1:99999999999999"),
                                   repeated("a", DEPTH) + ":80",
                                   "10.1.1.1:" + repeated("8", DEPTH)}) {
        SCOPED_TRACE(odd.substr(0, 40));
        EXPECT_FALSE(accepts({.address = "\"" + odd + "\""}));
    }
    for (const char* odd : {"null", "8080", "[]", "{}", "true"}) {
        SCOPED_TRACE(odd);
        EXPECT_FALSE(accepts({.address = odd}));
    }
}

TEST(odd_entries, errors_name_the_entry_and_the_value) {
    try {
        decode_target("t1",
                      entry_text{.address = R"("10.1.1.1:99999")"}.text());
        FAIL() << "the address was accepted";
    } catch (const decode_error& failure) {
        const std::string text = failure.what();
        EXPECT_NE(text.find("t1"), std::string::npos) << text;
        EXPECT_NE(text.find("10.1.1.1:99999"), std::string::npos) << text;
    }
    try {
        decode_target("t1", R"({"state":")" + repeated("x", DEPTH) + R"("})");
        FAIL() << "the state was accepted";
    } catch (const decode_error& failure) {
        EXPECT_LT(std::string(failure.what()).size(), 1000U);
    }
}

TEST(odd_entries, entries_without_a_service_or_data_centre_are_rejected) {
    const std::string rest =
        R"("state":"ready","address":"10.1.1.1:80","capacity":{"cpu":1}})";
    EXPECT_THROW(decode_target("t1", R"({"zone":"dc1",)" + rest), decode_error);
    EXPECT_THROW(decode_target("t1", R"({"service":"pool",)" + rest),
                 decode_error);
    EXPECT_NO_THROW(
        decode_target("t1", R"({"service":"pool","zone":"dc1",)" + rest));
}

// The id is sent in a header and named in calls for advice; encoding one with
// invalid UTF-8 as JSON ended the process.
TEST(odd_entries, ids_with_odd_bytes_are_rejected) {
    const std::string text = entry_text{}.text();
    for (const std::string& odd :
         {std::string(), std::string("t\xff"), std::string("t\r\nX-Header: 1"),
          std::string("t 1"), std::string("t\0x", 3), std::string("t\xc3\xa9"),
          std::string(300, 'x')})
        EXPECT_THROW(decode_target(odd, text), decode_error) << odd;
    EXPECT_EQ(decode_target("i-7f3a91c2", text).id.value, "i-7f3a91c2");
}

TEST(odd_entries, duplicate_and_empty_keys_of_an_entry_do_no_harm) {
    EXPECT_TRUE(accepts({.more = R"(,"":1,"":2)"}));
    EXPECT_FALSE(accepts({.more = R"(,"address":"10.1.1.1:0")"}))
        << "the last of two equal keys counts";
    EXPECT_FALSE(accepts({.labels = "[\"a\xff\"]"})) << "invalid UTF-8";
    EXPECT_FALSE(accepts({.labels = R"(["\ud800"])"})) << "half a pair";
}

// An append refused with a reason that is not a string ended the process.
TEST(odd_entries, refused_appends_with_an_odd_reason_are_out_of_order) {
    for (const char* odd : {"5", "null", "[]", "{}", "true"}) {
        SCOPED_TRACE(odd);
        const append_answer answer = decode_append_answer(
            {.outcome = http_outcome::answered,
             .status = 409,
             .body = R"({"seq":3,"reason":)" + std::string(odd) + "}"});
        EXPECT_EQ(answer.result, store_result::out_of_order);
        EXPECT_EQ(answer.expected_sequence, 3);
    }
    EXPECT_EQ(decode_append_answer({.outcome = http_outcome::answered,
                                    .status = 409,
                                    .body = R"({"reason":"fenced"})"})
                  .result,
              store_result::fenced);
}

// One item that can't be decoded made the whole page unreadable; a host that
// loads the list then read the same page again for ever.
TEST(odd_entries, an_odd_item_of_a_page_hides_no_other) {
    const std::string good = R"({"key":"t1","value":"YWI=","offset":4})";
    for (const std::string& odd :
         {std::string("7"), std::string("{}"), std::string("null"),
          std::string(R"({"key":5,"value":"YWI=","offset":3})"),
          std::string(R"({"key":"t0","value":7,"offset":3})"),
          std::string(R"({"key":"t0","value":"%%%%","offset":3})"),
          std::string(R"({"key":"t0","value":"YWI=","offset":1e300})"),
          std::string(R"({"key":"t0","value":"YWI=","offset":-1})"),
          std::string(
              R"({"key":"t0","value":"YWI=","offset":18446744073709551615})"),
          std::string(
              "{\"key\":\"t\xff\",\"value\":\"YWI=\",\"offset\":-3}")}) {
        SCOPED_TRACE(odd);
        newest_answer page;
        ASSERT_NO_THROW(page = decode_newest(R"({"end":5,"items":[)" + odd +
                                             "," + good + "]}"));
        ASSERT_EQ(page.records.size(), 1U);
        EXPECT_EQ(page.records[0].key, "t1");
        EXPECT_EQ(page.records[0].value, "ab");
        EXPECT_EQ(page.last_key, "t1");
    }
    EXPECT_THROW(decode_newest(R"({"end":1e300,"items":[]})"), decode_error);
    EXPECT_THROW(decode_newest(R"({"end":5,"items":7})"), decode_error);
}

// Guards against taking a snapshot for whole whose next page can't be asked
// for: its other keys would count as deleted.
TEST(odd_entries, page_without_a_way_to_the_next_one_is_unreadable) {
    const std::string page =
        R"({"end":5,"hasMore":true,"items":[{"key":"t1","value":"YWI=",)"
        R"("offset":3}]})";
    EXPECT_TRUE(decode_newest(page).has_more);
    EXPECT_TRUE(decode_newest(page, "t0").has_more);
    EXPECT_THROW(decode_newest(page, "t1"), decode_error);
    EXPECT_THROW(decode_newest(R"({"end":5,"hasMore":true,"items":[]})"),
                 decode_error);
    EXPECT_FALSE(decode_newest(R"({"end":5,"items":[]})").has_more);
}

TEST(odd_entries, offsets_out_of_range_make_a_read_unreadable) {
    EXPECT_THROW(decode_read(std::string(16, '\xff'), 0), decode_error);
    const std::string record("\0\0\0\2\1k", 6);
    EXPECT_EQ(decode_read(std::string(16, '\0') + record, 0).records.size(),
              1U);
}

namespace {

job_record stored_job() {
    job_record record{.id = {"job"}, .queue = {"q"}, .spec = {.payload = "p"}};
    record.spec.steps = {{.count = 2}, {.count = 1, .after = {0}}};
    return record;
}

/** The encoding of `stored_job` with one piece of text replaced. */
std::string stored_job_with(const std::string& from, const std::string& to) {
    std::string text = encode_job(stored_job());
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << text;
    return text.replace(at, from.size(), to);
}

job_entry entry_with_progress(const std::string& progress) {
    job_entry job{.record = stored_job()};
    apply_progress(job, progress);
    return job;
}

} // namespace

// A stored count was used as the size of a list before it was checked.
TEST(odd_entries, stored_jobs_with_numbers_out_of_range_are_rejected) {
    EXPECT_EQ(decode_job_record(encode_job(stored_job())).spec.steps.size(),
              2U);
    for (const char* odd : {"-1", "2147483647", "1e300", "4294967298",
                            "18446744073709551615", "2.5", "null"}) {
        SCOPED_TRACE(odd);
        EXPECT_THROW(decode_job_record(stored_job_with(
                         "[[2,", "[[" + std::string(odd) + ",")),
                     decode_error);
    }
    // A step may only depend on earlier ones.
    for (const char* odd : {"1", "-1", "7", "1e300", "4294967296"})
        EXPECT_THROW(decode_job_record(stored_job_with(
                         ",[0],", ",[" + std::string(odd) + "],")),
                     decode_error)
            << odd;
    EXPECT_THROW(decode_job_record(stored_job_with(
                     "\"job\"", "\"" + std::string(300, 'x') + "\"")),
                 decode_error)
        << "the key of its progress would be too long";
}

// A state out of range was used as an index of the table of state names.
TEST(odd_entries, stored_progress_with_values_out_of_range_is_rejected) {
    const std::string good =
        R"([1,0,0,1,[[0,[[0,0,[[0,1,1,[],"","t1",5]]],[0,0,[]]]]],"a"])";
    EXPECT_EQ(entry_with_progress(good).repeats.at(0).steps[0].waiting, 1);
    EXPECT_EQ(decode_progress_state(good), job_state::running);
    for (const char* odd : {"-1", "5", "99", "1e300", "4294967297", "null"}) {
        SCOPED_TRACE(odd);
        const std::string text = "[" + std::string(odd) + good.substr(2);
        EXPECT_THROW(decode_progress_state(text), decode_error);
        EXPECT_THROW(entry_with_progress(text), decode_error);
        EXPECT_THROW(decode_ended_job({"job"}, text, 1), decode_error);
    }
    for (const std::string& odd :
         {// The phase of a task, its run, its index, and a second row of it.
          std::string(R"([[0,3,1,[],"","t1",5]])"),
          std::string(R"([[0,1,2147483647,[],"","t1",5]])"),
          std::string(R"([[0,1,4294967297,[],"","t1",5]])"),
          std::string(R"([[2,1,1,[],"","t1",5]])"),
          std::string(R"([[-1,1,1,[],"","t1",5]])"),
          std::string(R"([[0,1,1,[],"","t1",5],[0,1,1,[],"","t1",5]])"),
          std::string(R"([[0,1,1,[1e300],"","t1",5]])")}) {
        SCOPED_TRACE(odd);
        EXPECT_THROW(entry_with_progress(R"([1,0,0,1,[[0,[[0,0,)" + odd +
                                         R"(],[0,0,[]]]]],"a"])"),
                     decode_error);
    }
    const std::string repeat = R"([0,[[0,0,[]],[0,0,[]]]])";
    EXPECT_THROW(
        entry_with_progress("[1,0,0,1,[" + repeat + "," + repeat + R"(],"a"])"),
        decode_error)
        << "a repeat is listed twice";
}

TEST(odd_entries, stored_progress_of_too_many_tasks_is_rejected) {
    std::string repeats;
    for (int i = 0; i < 60; ++i)
        repeats +=
            (i > 0 ? "," : "") + ("[" + std::to_string(i)) + ",[[0,0,[]]]]";
    job_entry job{.record = stored_job()};
    job.record.spec.steps = {{.count = MAX_TASKS_PER_JOB}};
    EXPECT_THROW(apply_progress(job, "[1,0,0,60,[" + repeats + R"(],"a"])"),
                 decode_error);
}

// The client took the memory of all tasks of a job before any limit applied.
TEST(odd_entries, jobs_with_too_many_tasks_are_rejected) {
    const auto job_of = [](int steps, int count) {
        std::string rows;
        for (int i = 0; i < steps; ++i)
            rows += std::string(i > 0 ? "," : "") + R"({"count":)" +
                    std::to_string(count) + "}";
        return R"({"jobSteps":[)" + rows + "]}";
    };
    EXPECT_NO_THROW(decode_job(job_of(2, MAX_TASKS_PER_JOB / 2)));
    EXPECT_THROW(decode_job(job_of(2, MAX_TASKS_PER_JOB / 2 + 1)),
                 decode_error);
    EXPECT_THROW(decode_job(job_of(1000, 10'000)), decode_error);
}

// The address was passed to the resolver, which blocks, and its port was cut
// to 16 bits.
TEST(odd_entries, stored_addresses_of_hosts_are_checked) {
    const auto member = [](const std::string& address) {
        return decode_member(R"(["h1","dc1",")" + address + R"(",250])");
    };
    const auto owner = [](const std::string& address) {
        return decode_owner(R"([1,"h1",")" + address + R"(",5])");
    };
    EXPECT_EQ(member("10.1.1.1:7420").address, "10.1.1.1:7420");
    EXPECT_EQ(owner("10.1.1.1:7420").address, "10.1.1.1:7420");
    EXPECT_EQ(owner("").address, "") << "a resignation";
    for (const std::string& odd :
         {std::string("10.1.1.1:99999"), std::string("10.1.1.1:0"),
          std::string("10.1.1.1:-1"), std::string("10.1.1.1"),
          std::string(":80"), std::string("host.invalid:80"),
          std::string(200'000, 'a')}) {
        SCOPED_TRACE(odd.substr(0, 40));
        EXPECT_THROW(member(odd), decode_error);
        EXPECT_THROW(owner(odd), decode_error);
    }
    EXPECT_THROW(member(""), decode_error);
    for (const char* odd : {"-1", "1e300", "9223372036854775808", "0.5"}) {
        EXPECT_THROW(decode_owner("[" + std::string(odd) +
                                  R"(,"h1","10.1.1.1:7420",5])"),
                     decode_error);
        EXPECT_THROW(decode_member(R"(["h1","dc1","10.1.1.1:7420",)" +
                                   std::string(odd) + "]"),
                     decode_error);
    }
}
