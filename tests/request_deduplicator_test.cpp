#include "route/request_deduplicator.hpp"

#include <gtest/gtest.h>

namespace rattan {
namespace {

constexpr std::int64_t NOW_MS = 1'700'000'000'000;
constexpr std::int64_t SKEW_MS = 100;
constexpr std::size_t MAX_KEPT_BYTES = 32U << 20U;
const organisation_name ORGANISATION{"first"};

// Guards against answers kept for repeats that fill the memory of a gate, and
// against running a request again whose answer was not kept.
TEST(request_deduplicator, keeps_a_limited_size_of_answers) {
    request_deduplicator requests(NOW_MS, SKEW_MS);
    constexpr int REQUESTS = 20'000;
    const std::string answer(4000, 'x');
    const auto id = [](int number) {
        return request_id{std::to_string(NOW_MS + 1000) + "-" +
                          std::to_string(number)};
    };
    check_result result;
    const auto admit = [&](int number, std::int64_t now_ms) {
        return requests.admit(ORGANISATION, id(number), NOW_MS + 1000, now_ms,
                              result, [](const check_result&) {});
    };
    for (int i = 0; i < REQUESTS; ++i) {
        ASSERT_EQ(admit(i, NOW_MS + 1000), deduplication_verdict::new_request);
        requests.finish(ORGANISATION, id(i),
                        {.outcome = check_outcome::answered, .body = answer});
        ASSERT_LE(requests.kept_bytes(), MAX_KEPT_BYTES);
    }
    EXPECT_EQ(admit(0, NOW_MS + 1000), deduplication_verdict::completed);
    EXPECT_EQ(result.body, answer);
    EXPECT_EQ(admit(REQUESTS - 1, NOW_MS + 1000),
              deduplication_verdict::completed);
    EXPECT_EQ(result.outcome, check_outcome::unknown);
    admit(REQUESTS, NOW_MS + 2000 + REQUEST_ID_LIFETIME_MS + 2 * SKEW_MS);
    EXPECT_EQ(requests.kept_bytes(), 0U);
}

} // namespace
} // namespace rattan
