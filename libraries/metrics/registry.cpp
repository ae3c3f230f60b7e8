// SPDX-License-Identifier: BSD-2-Clause
// Estimates quantiles by Boost.Accumulators, which stores a few markers instead of the samples, and counts histograms
// by Boost.Histogram.
#include "libraries/metrics/registry.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/histogram.hpp>
#include <sstream>

namespace shedhill::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles { 0.5, 0.9, 0.95, 0.99 };

using accumulator
    = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

// Adds a label to a metric name of the form "name" or "name{labels}".
std::string with_label(std::string const& name, std::string const& label)
{
    if (name.ends_with('}'))
        return name.substr(0, name.size() - 1) + "," + label + "}";
    return name + "{" + label + "}";
}

// Inserts a suffix between the metric name and its labels.
std::string with_suffix(std::string const& name, std::string const& suffix)
{
    auto const brace = name.find('{');
    return brace == std::string::npos ? name + suffix : name.substr(0, brace) + suffix + name.substr(brace);
}

} // namespace

class timing {
public:
    void observe(double milliseconds) { m_samples(milliseconds); }

    void print(std::string const& name, std::ostream& out) const
    {
        // NOTE: The quantile estimates are undefined until there are at least as many samples as markers.
        if (acc::count(m_samples) > 2 * quantiles.size() + 2) {
            for (std::size_t index = 0; index < quantiles.size(); ++index) {
                auto const label = "quantile=\"" + std::to_string(quantiles.at(index)).substr(0, 4) + "\"";
                out << with_label(name, label) << ' '
                    << acc::extended_p_square(m_samples)[static_cast<std::ptrdiff_t>(index)] << '\n';
            }
        }
        out << with_suffix(name, "_sum") << ' ' << acc::sum(m_samples) << '\n';
        out << with_suffix(name, "_count") << ' ' << acc::count(m_samples) << '\n';
    }

private:
    accumulator m_samples { acc::tag::extended_p_square::probabilities = quantiles };
};

class latency_histogram {
public:
    void observe(double milliseconds)
    {
        m_buckets(milliseconds);
        m_sum_ms += milliseconds;
    }

    // Prints cumulative buckets with bounds in seconds, as Prometheus defines them.
    void print(std::string const& name, std::ostream& out) const
    {
        std::uint64_t count = static_cast<std::uint64_t>(m_buckets.at(-1));
        for (int index = 0; index < m_buckets.axis().size(); ++index) {
            count += static_cast<std::uint64_t>(m_buckets.at(index));
            std::ostringstream bound;
            bound << "le=\"" << m_buckets.axis().bin(index).upper() / ms_per_second << '"';
            out << with_label(with_suffix(name, "_bucket"), bound.str()) << ' ' << count << '\n';
        }
        count += static_cast<std::uint64_t>(m_buckets.at(m_buckets.axis().size()));
        out << with_label(with_suffix(name, "_bucket"), "le=\"+Inf\"") << ' ' << count << '\n';
        out << with_suffix(name, "_sum") << ' ' << m_sum_ms / ms_per_second << '\n';
        out << with_suffix(name, "_count") << ' ' << count << '\n';
    }

private:
    static constexpr double ms_per_second = 1000;
    using bounds = boost::histogram::axis::variable<double>;

    decltype(boost::histogram::make_histogram(std::declval<bounds>())) m_buckets = boost::histogram::make_histogram(
        bounds { 0, 10, 25, 50, 100, 200, 300, 400, 600, 800, 1200, 2500, 5000, 10000, 20000 });
    double m_sum_ms { 0 };
};

registry::registry() = default;
registry::~registry() = default;

void registry::observe(std::string const& name, double milliseconds)
{
    auto& found = m_timings[name];
    if (!found)
        found = std::make_unique<timing>();
    found->observe(milliseconds);
}

void registry::observe_latency(std::string const& name, double milliseconds)
{
    auto& found = m_latencies[name];
    if (!found)
        found = std::make_unique<latency_histogram>();
    found->observe(milliseconds);
}

std::uint64_t registry::counter(std::string const& name) const
{
    auto const found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string registry::to_text() const
{
    std::ostringstream out;
    for (auto const& [name, value] : m_counters)
        out << name << ' ' << value << '\n';
    for (auto const& [name, value] : m_gauges)
        out << name << ' ' << value << '\n';
    for (auto const& [name, sampled] : m_timings)
        sampled->print(name, out);
    for (auto const& [name, counted] : m_latencies)
        counted->print(name, out);
    return out.str();
}

} // namespace shedhill::metrics
