#pragma once

#include "Rattandeck/digest.h"

#include <cstdint>
#include <string>
#include <string_view>

/// What the stand-ins answer: functions of the request alone, so that a load driver can tell whether an answer is
/// whole and its own.
namespace RattandeckStandin {

/// Seed of the text that answers one prompt.
inline std::uint64_t textSeed(std::string_view program, std::string_view prompt)
{
    return Rattandeck::hash64(prompt, Rattandeck::hash64(program));
}

/// Token at a position of the answer, from 0.
inline std::string tokenAt(std::uint64_t seed, std::uint64_t position)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz234567";
    constexpr std::uint64_t odd = 0x9e3779b97f4a7c15U;
    std::uint64_t bits = (seed ^ position * odd) * odd;
    bits = (bits ^ bits >> 32U) * odd;
    std::string token = " ";
    for (int i = 0; i < 3; ++i) {
        token += letters[bits >> 59U];
        bits <<= 5U;
    }
    return token;
}

/// Number of tokens that the model generates when it may generate `maxTokens`.
inline std::int64_t answerLength(std::uint64_t seed, std::int64_t maxTokens)
{
    if (maxTokens <= 1)
        return maxTokens;
    const auto half = static_cast<std::uint64_t>(maxTokens / 2);
    return maxTokens - static_cast<std::int64_t>(seed % (half + 1));
}

/// The whole answer of the model engine.
inline std::string modelText(std::string_view program, std::string_view prompt, std::int64_t maxTokens)
{
    const std::uint64_t seed = textSeed(program, prompt);
    std::string text;
    const std::int64_t length = answerLength(seed, maxTokens);
    for (std::int64_t i = 0; i < length; ++i)
        text += tokenAt(seed, static_cast<std::uint64_t>(i));
    return text;
}

/// The whole answer of the plain service to a call.
inline std::string serviceText(std::string_view body) { return "done " + std::to_string(Rattandeck::hash64(body)); }

}
