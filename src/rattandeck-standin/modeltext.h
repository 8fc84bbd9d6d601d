#pragma once

#include "Rattandeck/digest.h"

#include <cstdint>
#include <string>
#include <string_view>

/// Answers of the stand-ins. They depend on the request alone, so that a load generator can check that an answer is
/// complete and belongs to its request.
namespace RattandeckStandin {

/// Seed of the text that answers a prompt.
inline std::uint64_t textSeed(std::string_view program, std::string_view prompt)
{
    return Rattandeck::hash64(prompt, Rattandeck::hash64(program));
}

/// Token at the given position (from 0) of the answer.
inline std::string tokenAt(std::uint64_t seed, std::uint64_t position)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz234567";
    constexpr std::uint64_t oddMultiplier = 0x9e3779b97f4a7c15U;
    std::uint64_t bits = (seed ^ position * oddMultiplier) * oddMultiplier;
    bits = (bits ^ bits >> 32U) * oddMultiplier;
    std::string token = " ";
    for (int i = 0; i < 3; ++i) {
        token += letters[bits >> 59U];
        bits <<= 5U;
    }
    return token;
}

/// Number of tokens that the model generates for the limit `maxTokens`.
inline std::int64_t answerLength(std::uint64_t seed, std::int64_t maxTokens)
{
    if (maxTokens <= 1)
        return maxTokens;
    const auto half = static_cast<std::uint64_t>(maxTokens / 2);
    return maxTokens - static_cast<std::int64_t>(seed % (half + 1));
}

/// The complete answer of the model engine.
inline std::string modelText(std::string_view program, std::string_view prompt, std::int64_t maxTokens)
{
    const std::uint64_t seed = textSeed(program, prompt);
    std::string text;
    const std::int64_t length = answerLength(seed, maxTokens);
    for (std::int64_t i = 0; i < length; ++i)
        text += tokenAt(seed, static_cast<std::uint64_t>(i));
    return text;
}

/// The complete answer of the plain service to a call.
inline std::string serviceText(std::string_view body) { return "done " + std::to_string(Rattandeck::hash64(body)); }

}
