#include "platform/platform_settings.hpp"
#include "rattan/error_type.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace rattan::platform {

namespace {

/** The required fields of a settings file. */
const std::string REQUIRED_FIELDS = "nodeName=front-a-1\n"
                                    "zone=a\n"
                                    "ip=127.0.0.1\n"
                                    "listenAddrs.front=127.0.0.1:1\n"
                                    "listenAddrs.readyAddr=127.0.0.1:2\n"
                                    "internalPorts=3,4\n"
                                    "platform.address=127.0.0.1:5\n"
                                    "limits.cpuShare=0.25\n"
                                    "limits.cpuCores=1\n"
                                    "limits.maxFds=4100\n"
                                    "platform.callBytes=2097152\n"
                                    "platform.writesPerS=600\n"
                                    "heartbeatMs=1500\n"
                                    "bounds.maxHoldMs=6000\n"
                                    "bounds.stopMs=200\n"
                                    "bounds.gangWaitMs=3000\n"
                                    "bounds.graceS=6\n"
                                    "bounds.status_s=120\n"
                                    "bounds.harmMs=4000\n";

platform_settings load(const std::string& further_fields) {
    const auto file = std::filesystem::temp_directory_path() /
                      ("rattan-settings-" + std::to_string(getpid()));
    std::ofstream(file) << REQUIRED_FIELDS << further_fields;
    const platform_settings settings = load_platform_settings(file);
    std::filesystem::remove(file);
    return settings;
}

} // namespace

// Guards against scheduling features in deployments that do not ask for them.
TEST(platform_settings_test, features_are_off_where_places_are_in_force) {
    for (const std::string contracts :
         {"", "contracts=base,sched,places,platform\n", "contracts=places\n"}) {
        const auto policy = load(contracts).scheduling;
        EXPECT_FALSE(policy.order_by_delay_cost) << contracts;
        EXPECT_FALSE(policy.place_by_expected_end) << contracts;
        EXPECT_FALSE(policy.advice_ahead) << contracts;
        EXPECT_FALSE(policy.await_completion) << contracts;
    }
}

// Guards against terms without places that leave the features off, and
// against settings that can't turn them off or on one by one.
TEST(platform_settings_test, settings_go_before_the_terms) {
    const auto by_terms = load("contracts=base,sched,platform\n").scheduling;
    EXPECT_TRUE(by_terms.order_by_delay_cost);
    EXPECT_TRUE(by_terms.place_by_expected_end);
    EXPECT_TRUE(by_terms.advice_ahead);
    EXPECT_TRUE(by_terms.await_completion);
    const auto partly_off = load("contracts=base,sched,platform\n"
                                 "scheduling.order=submission_rate\n"
                                 "scheduling.advice=on_demand\n")
                                .scheduling;
    EXPECT_FALSE(partly_off.order_by_delay_cost);
    EXPECT_FALSE(partly_off.advice_ahead);
    EXPECT_TRUE(partly_off.place_by_expected_end);
    const auto partly_on = load("contracts=base,places\n"
                                "scheduling.placement=expected_end\n")
                               .scheduling;
    EXPECT_TRUE(partly_on.place_by_expected_end);
    EXPECT_FALSE(partly_on.order_by_delay_cost);
}

// Guards against a recovery that differs from the one that was set.
TEST(platform_settings_test, recovery_is_retry_unless_it_is_set) {
    using dispatch::start_recovery;
    EXPECT_EQ(load("").scheduling.recovery, start_recovery::retry);
    EXPECT_EQ(load("contracts=base,sched,platform\n").scheduling.recovery,
              start_recovery::retry);
    EXPECT_EQ(load("scheduling.recovery=wait\n").scheduling.recovery,
              start_recovery::wait);
    EXPECT_EQ(load("scheduling.recovery=wait_if_silent\n").scheduling.recovery,
              start_recovery::wait_if_silent);
    EXPECT_EQ(
        load("scheduling.recovery=wait_unless_lasting\n").scheduling.recovery,
        start_recovery::wait_unless_lasting);
    EXPECT_THROW(load("scheduling.recovery=sure\n"), config_error);
}

// Guards against a misspelt value that is taken for a default.
TEST(platform_settings_test, an_unknown_value_is_refused_with_its_field) {
    try {
        load("scheduling.order=cheapest\n");
        FAIL() << "no error";
    } catch (const config_error& failure) {
        EXPECT_NE(std::string(failure.what()).find("scheduling.order"),
                  std::string::npos);
        EXPECT_NE(std::string(failure.what()).find("cheapest"),
                  std::string::npos);
    }
}

} // namespace rattan::platform
