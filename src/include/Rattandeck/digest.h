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

/// Weight of a candidate for a key in rendezvous hashing (Thaler and Ravishankar, 1998): all processes choose the
/// candidates with the highest weights, so that a change of the candidates moves few keys. `keyHash` is `hash64` of the
/// key.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view candidate);

}
