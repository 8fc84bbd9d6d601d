#pragma once

#include "Rattandeck/types.h"

#include <cstdint>
#include <optional>

/// Bounds the log lines of one kind to a number in each second.
class LogQuota {
public:
    explicit LogQuota(int linesPerSecond)
        : linesPerSecond(linesPerSecond)
    {
    }

    /// Returns the number of lines left out since the last one, if a line may be written now.
    std::optional<std::int64_t> admit(Rattandeck::TimePoint now)
    {
        constexpr Rattandeck::Milliseconds period { 1000 };
        if (!this->periodStart || now - *this->periodStart >= period) {
            this->periodStart = now;
            this->lines = 0;
        }
        if (this->lines >= this->linesPerSecond) {
            ++this->leftOut;
            return std::nullopt;
        }
        ++this->lines;
        const std::int64_t before = this->leftOut;
        this->leftOut = 0;
        return before;
    }

private:
    int linesPerSecond;
    int lines = 0;
    std::int64_t leftOut = 0;
    std::optional<Rattandeck::TimePoint> periodStart;
};
