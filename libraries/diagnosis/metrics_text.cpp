// SPDX-License-Identifier: BSD-2-Clause
// Parses samples and labels of the metrics text.
#include "libraries/diagnosis/metrics_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>

namespace shedhill::diagnosis {

namespace {

std::optional<metric_sample> parse_sample(std::string_view line)
{
    auto const blank = line.rfind(' ');
    if (line.starts_with('#') || blank == std::string_view::npos)
        return std::nullopt;
    metric_sample sample;
    std::string const number(line.substr(blank + 1));
    char* end = nullptr;
    sample.value = std::strtod(number.c_str(), &end);
    if (end == number.c_str() || !std::isfinite(sample.value))
        return std::nullopt;
    auto const series = line.substr(0, blank);
    auto const brace = series.find('{');
    sample.name = series.substr(0, brace);
    if (brace != std::string_view::npos)
        sample.labels = series.substr(brace);
    return sample;
}

} // namespace

void for_each_sample(std::string_view text, std::function<void(metric_sample const&)> const& action)
{
    while (!text.empty()) {
        auto const end = std::min(text.find('\n'), text.size());
        if (auto const sample = parse_sample(text.substr(0, end)))
            action(*sample);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

std::string label_of(std::string_view labels, std::string_view name)
{
    auto const key = std::string(name) + "=\"";
    auto const start = labels.find(key);
    if (start == std::string_view::npos)
        return {};
    auto const from = start + key.size();
    return std::string(labels.substr(from, labels.find('"', from) - from));
}

std::uint64_t to_count(double value) { return value > 0 ? static_cast<std::uint64_t>(value) : 0; }

} // namespace shedhill::diagnosis
