#pragma once

#include "Rattandeck/types.h"

#include <random>

namespace RattandeckProve {

/// Seeded pseudo-random choices.
class Chance {
public:
    explicit Chance(std::uint64_t seed)
        : random(seed)
    {
    }

    std::uint64_t number() { return this->random(); }
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : this->random() % bound; }
    bool happens(double probability) { return static_cast<double>(this->below(million)) < probability * million; }
    Rattandeck::Duration between(Rattandeck::Duration low, Rattandeck::Duration high)
    {
        return low
            + Rattandeck::Duration(
                static_cast<std::int64_t>(this->below(static_cast<std::uint64_t>((high - low).count()) + 1)));
    }

private:
    static constexpr std::uint64_t million = 1000000;
    std::mt19937_64 random;
};

}
