#include "tool.hpp"

#include <chrono>
#include <iostream>

namespace review {

std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace review

int main(int argc, char** argv) {
    const review::arguments args(argv + 1, argv + argc);
    const std::string name = args.empty() ? "" : args[0];
    const review::arguments rest(args.begin() + (args.empty() ? 0 : 1),
                                 args.end());
    try {
        if (name == "store" && rest.size() == 3)
            return review::run_store(rest);
        if (name == "runner" && rest.size() == 5)
            return review::run_runner(rest);
        if (name == "case" && rest.size() == 2)
            return review::run_case(rest);
    } catch (const std::exception& failure) {
        std::cerr << name << ": " << failure.what() << "\n";
    }
    return 2;
}
