// SPDX-License-Identifier: BSD-2-Clause
// Cryptographic hashes, message authentication codes and random bytes.
#pragma once

#include <string>
#include <string_view>

namespace shedhill::net {

// Returns the SHA-256 hash in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);
// Returns the 32 bytes of the HMAC-SHA-256.
std::string hmac_sha256(std::string_view key, std::string_view text);
// Compares in a time that does not depend on the position of a difference, which protects against timing attacks.
bool is_equal_in_constant_time(std::string_view left, std::string_view right);
// Returns cryptographically secure random bytes. Aborts the process if the generator fails.
std::string random_bytes(std::size_t size);

} // namespace shedhill::net
