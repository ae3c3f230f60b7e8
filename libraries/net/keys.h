// SPDX-License-Identifier: BSD-2-Clause
// Hashes and message authentication by OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace shedhill::net {

std::string sha256_hex(std::string_view text);
std::string hmac_sha256(std::string_view key, std::string_view text);
// Compares without telling, by its time, where the difference is.
bool is_equal_in_constant_time(std::string_view left, std::string_view right);
std::string random_bytes(std::size_t size);

} // namespace shedhill::net
