// SPDX-License-Identifier: BSD-2-Clause
// Implements digests, message authentication and random bytes by OpenSSL.
#include "libraries/net/keys.h"

#include "base/verify.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace shedhill::net {

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hexadecimal;
    for (unsigned int index = 0; index < size; ++index) {
        hexadecimal.push_back(digits[digest.at(index) >> 4U]);
        hexadecimal.push_back(digits[digest.at(index) & 0xFU]);
    }
    return hexadecimal;
}

std::string hmac_sha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<unsigned char const*>(text.data()),
        text.size(), digest.data(), &size);
    return { reinterpret_cast<char const*>(digest.data()), size };
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t size)
{
    std::string bytes(size, '\0');
    auto const outcome = RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(size));
    verify(outcome == 1, "the random generator has entropy");
    return bytes;
}

} // namespace shedhill::net
