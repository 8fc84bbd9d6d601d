#include "Rattandeck/digest.h"

#include <openssl/evp.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <memory>

namespace Rattandeck {

Digest digestOf(std::span<const std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        const std::string length = std::to_string(part.size()) + ":";
        EVP_DigestUpdate(context.get(), length.data(), length.size());
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned int size = 0;
    EVP_DigestFinal_ex(context.get(), bytes.data(), &size);

    constexpr std::string_view hexDigits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += hexDigits[bytes[i] >> 4U];
        hex += hexDigits[bytes[i] & 0xfU];
    }
    return Digest(hex);
}

Digest chainDigest(const Digest& headBefore, TurnNumber turn, std::string_view input, std::string_view output)
{
    const std::string number = std::to_string(turn.value);
    const std::array<std::string_view, 4> parts { headBefore.value, number, input, output };
    return digestOf(parts);
}

Digest crashFingerprint(const ServiceName& service, std::string_view input)
{
    const std::array<std::string_view, 2> parts { service.value, input };
    return digestOf(parts);
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view candidate) { return hash64(candidate, keyHash); }

}
