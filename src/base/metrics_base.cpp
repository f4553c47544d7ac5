#include "base/metrics_base.hpp"

#include <boost/histogram.hpp>
#include <sys/resource.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>
#include <vector>

namespace rattan {

namespace bh = boost::histogram;

namespace {

constexpr unsigned BUCKET_COUNT = 70; ///< Ten per decade.
constexpr double MIN_MICROS = 10;     ///< Lower edge of the first bucket.
constexpr double MAX_MICROS = 1e8;    ///< Upper edge of the last one: 100 s.
constexpr double MICROS_PER_SECOND = 1000000;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using bucket_counts = std::vector<double>;
using histogram_type =
    decltype(bh::make_histogram_with(bucket_counts(), log_axis()));

double seconds(const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / MICROS_PER_SECOND;
}

double resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    long pages = 0;
    long resident = 0;
    statm >> pages >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

struct latency_histogram::impl {
    histogram_type counts = bh::make_histogram_with(
        bucket_counts(),
        log_axis(BUCKET_COUNT, MIN_MICROS, MAX_MICROS, "micros"));

    /** Upper edge of a bucket in microseconds; -1 is the underflow bucket. */
    [[nodiscard]] double upper_edge(int bucket) const {
        return counts.axis().value(bucket + 1);
    }
    std::uint64_t total = 0;
    double sum_micros = 0;
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::int64_t micros) {
    impl_->counts(static_cast<double>(micros));
    ++impl_->total;
    impl_->sum_micros += static_cast<double>(micros);
}

double latency_histogram::quantile(double fraction) const {
    const double rank = fraction * static_cast<double>(impl_->total);
    double cumulative = 0;
    for (int bucket = -1; bucket < static_cast<int>(BUCKET_COUNT); ++bucket) {
        cumulative += impl_->counts.at(bucket);
        if (cumulative >= rank && cumulative > 0)
            return impl_->upper_edge(bucket);
    }
    return MAX_MICROS;
}

void latency_histogram::write_text(const std::string& name,
                                   std::string& out) const {
    double cumulative = 0;
    char line[256];
    for (int bucket = -1; bucket < static_cast<int>(BUCKET_COUNT); ++bucket) {
        const double count = impl_->counts.at(bucket);
        cumulative += count;
        if (count == 0)
            continue;
        std::snprintf(
            line, sizeof line, "%s_bucket{le=\"%g\"} %.0f\n", name.c_str(),
            impl_->upper_edge(bucket) / MICROS_PER_SECOND, cumulative);
        out += line;
    }
    std::snprintf(line, sizeof line,
                  "%s_bucket{le=\"+Inf\"} %.0f\n%s_sum %g\n%s_count %llu\n",
                  name.c_str(), static_cast<double>(impl_->total), name.c_str(),
                  impl_->sum_micros / MICROS_PER_SECOND, name.c_str(),
                  static_cast<unsigned long long>(impl_->total));
    out += line;
}

std::string labelled_name(const std::string& name, const std::string& label,
                          const std::string& value) {
    std::string out = name + "{" + label + "=\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out + "\"}";
}

std::string metrics_registry::text() const {
    std::string out;
    for (const auto& [name, value] : counters_)
        out += "rattan_" + name + "_total " + std::to_string(value) + "\n";
    for (const auto& [name, value] : gauges_)
        out += "rattan_" + name + " " + std::to_string(value) + "\n";
    for (const auto& [name, histogram] : histograms_)
        histogram.write_text("rattan_" + name + "_seconds", out);
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    out += "process_cpu_seconds_total " +
           std::to_string(seconds(usage.ru_utime) + seconds(usage.ru_stime)) +
           "\nprocess_resident_memory_bytes " +
           std::to_string(resident_bytes()) + "\n";
    return out;
}

} // namespace rattan
