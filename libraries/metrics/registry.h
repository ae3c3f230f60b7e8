// SPDX-License-Identifier: BSD-2-Clause
// Counters, gauges, quantiles and histograms of one process, printed in the Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace shedhill::metrics {

class timing;
class latency_histogram;

class registry {
public:
    registry();
    ~registry();
    registry(registry const&) = delete;
    registry& operator=(registry const&) = delete;

    // Metric names include their labels: shedhill_refusals_total{reason="stalled"}.
    void add(std::string const& name, std::uint64_t amount = 1) { m_counters[name] += amount; }
    void set(std::string const& name, double value) { m_gauges[name] = value; }
    // Records a sample for quantile estimates in milliseconds.
    void observe(std::string const& name, double milliseconds);
    // Records a sample in a histogram with fixed bucket bounds, so that the buckets of several processes can be added.
    // The histogram is printed in seconds; the metric name should end in "_seconds".
    void observe_latency(std::string const& name, double milliseconds);

    [[nodiscard]] std::uint64_t counter(std::string const& name) const;
    [[nodiscard]] std::string to_text() const;

private:
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<timing>> m_timings;
    std::map<std::string, std::unique_ptr<latency_histogram>> m_latencies;
};

} // namespace shedhill::metrics
