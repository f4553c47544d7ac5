/** @file Checks that the platform's names occur only in `platform/`. */
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

/** Names of the platform's wire format that none of our words contains. */
constexpr const char* NAMES[] = {
    "jobSteps",       "fencingToken", "taskSpec",     "configVersion",
    "run-start",      "run-stop",     "log-append",   "log-newest",
    "maxHoldMs",      "untilMs",      "lastSeen",     "memMb",
    "estimateMs",     "longLived",    "antiAffinity", "checkpointing",
    "maxUnavailable", "repeatCount",  "decideMs",     "perWorkerMs",
    "X-Rattanknot",   "listenAddrs",  "keyed.op",     "keyed.servers"};

} // namespace

TEST(platform_names, stay_in_their_folder) {
    int files = 0;
    for (const char* folder : {"src", "include"})
        for (const auto& entry : std::filesystem::recursive_directory_iterator(
                 std::filesystem::path(RATTAN_SOURCES) / folder)) {
            if (!entry.is_regular_file())
                continue;
            ++files;
            std::stringstream text;
            text << std::ifstream(entry.path()).rdbuf();
            for (const char* name : NAMES)
                EXPECT_EQ(text.str().find(name), std::string::npos)
                    << entry.path() << " contains the platform's name " << name;
        }
    EXPECT_GT(files, 100);
}
