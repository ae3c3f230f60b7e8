// SPDX-License-Identifier: BSD-2-Clause
// Parses the Prometheus text format, in which each line holds one sample.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace shedhill::diagnosis {

struct metric_sample {
    std::string_view name;
    // The labels including their braces; empty if the sample has none.
    std::string_view labels;
    double value { 0 };
};

// Calls the action for each sample. Lines that cannot be parsed are skipped.
void for_each_sample(std::string_view text, std::function<void(metric_sample const&)> const& action);
// Returns the value of a label, or an empty string if the sample does not have it.
std::string label_of(std::string_view labels, std::string_view name);
// Converts the value of a sample to a count; negative values become 0.
std::uint64_t to_count(double value);

} // namespace shedhill::diagnosis
