#include "pimentostage/base/Hash.h"

#include <openssl/evp.h>
#include <xxhash.h>

namespace pimentostage {

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string sha256Hex(std::string_view data)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest, &length, EVP_sha256(), nullptr);
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t { 2 } * length);
    for (unsigned int i = 0; i < length; ++i) {
        text += kDigits[digest[i] >> 4U];
        text += kDigits[digest[i] & 0xfU];
    }
    return text;
}

} // namespace pimentostage
