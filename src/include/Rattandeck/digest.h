#pragma once

#include "Rattandeck/types.h"

#include <span>
#include <string_view>

namespace Rattandeck {

/// SHA-256 of the parts, each preceded by its length, so that the same bytes divided differently give another digest.
Digest digestOf(std::span<const std::string_view> parts);

/// Head of the hash chain of a history after one more turn.
Digest chainDigest(const Digest& headBefore, TurnNumber turn, std::string_view input, std::string_view output);

/// Fingerprint that identifies a request that crashes endpoints, whichever caller sends it.
Digest crashFingerprint(const ServiceName& service, std::string_view input);

/// Seeded 64-bit hash (XXH3) for shards, rendezvous hashing and fingerprints. Not cryptographic: it gives no protection
/// against forgery.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

}
