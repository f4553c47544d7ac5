/** @file Runs one scenario: `review_2_case NAME PROGRAM RECORD_FILE`. */
#include "cases.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>

int main(int argc, char** argv) {
    using namespace review;
    constexpr int NOT_RUN = static_cast<int>(outcome::not_run);
    if (argc != 4) {
        std::cerr << "usage: review_2_case NAME PROGRAM RECORD_FILE\n";
        return NOT_RUN;
    }
    const char* trouble = std::getenv("TROUBLE");
    const std::string name = argv[1];
    const case_options options{.program = argv[2],
                               .record_file = argv[3],
                               .trouble = trouble == nullptr ||
                                          std::string(trouble) != "0"};
    const std::map<std::string, outcome (*)(const case_options&)> cases{
        {"many_ends", &run_many_ends},
        {"quota", &run_quota},
        {"flap", &run_flap},
        {"late_start", &run_late_start}};
    const auto found = cases.find(name);
    if (found == cases.end()) {
        std::cerr << "no scenario " << name << "\n";
        return NOT_RUN;
    }
    try {
        const outcome result = found->second(options);
        static constexpr const char* TEXTS[] = {
            "the rule held", "the rule was broken", "the case could not run"};
        std::cout << TEXTS[static_cast<int>(result)] << "\n";
        return static_cast<int>(result);
    } catch (const std::exception& failure) {
        std::cerr << "could not run: " << failure.what() << "\n";
        return NOT_RUN;
    }
}
