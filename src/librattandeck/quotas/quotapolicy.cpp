#include "Rattandeck/quotapolicy.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

/// Rounding errors of sums of fractions must not withhold a whole token.
constexpr double tolerance = 1e-6;
/// Requests after which the room of a bucket is remembered one by one; earlier ones are taken together.
constexpr std::size_t maxRooms = 32;
/// Tokens that come back later than this are lost: they are reported at most a request interval after they expired.
constexpr Milliseconds maxReturnAge { 1500 };
/// First turns that are saved up.
constexpr double minFirstTurns = 1;
constexpr Milliseconds firstTurnBurst { 500 };
/// Time constant of the moving average of arrivals.
constexpr Milliseconds arrivalMemory { 1000 };
/// Tokens that a gateway holds in addition to the expected calls, in standard deviations of their number.
constexpr double marginDeviations = 2;

static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

static std::uint32_t whole(double tokens)
{
    return tokens <= 0 ? 0 : static_cast<std::uint32_t>(std::floor(std::min(tokens + tolerance, 1e9)));
}

// Buckets of issuers -------------------------------------------------------------------------------------------------

QuotaShare shareOf(const CallAllowance& allowance, std::size_t members, const QuotaSettings& settings)
{
    const auto count = static_cast<double>(members);
    return { std::max(0.0, allowance.rate.value) / count,
        (std::max(0.0, allowance.burst) + settings.extraBurst) / count };
}

static double firstTurnRate(const QuotaShare& share, double programCalls)
{
    return share.rate / std::max(1.0, programCalls);
}

static void noteRoom(QuotaBucket& bucket, const QuotaShare& share)
{
    if (!bucket.rooms.empty())
        bucket.rooms.back().room = std::min(bucket.rooms.back().room, share.size - bucket.tokens);
}

void refill(QuotaBucket& bucket, const QuotaShare& share, double programCalls, TimePoint now)
{
    if (now <= bucket.updatedAt)
        return;
    const double elapsed = seconds(now - bucket.updatedAt);
    bucket.updatedAt = now;
    bucket.tokens = std::min(bucket.tokens + share.rate * elapsed, share.size);
    const double rate = firstTurnRate(share, programCalls);
    const double most = std::max(minFirstTurns, rate * seconds(firstTurnBurst));
    bucket.firstTurns = std::min(bucket.firstTurns + rate * elapsed, most);
    noteRoom(bucket, share);
}

void resize(QuotaBucket& bucket, const QuotaShare& share)
{
    bucket.tokens = std::min(bucket.tokens, share.size);
    bucket.rooms.clear();
}

void clear(QuotaBucket& bucket, TimePoint from)
{
    bucket.tokens = 0;
    bucket.updatedAt = std::max(bucket.updatedAt, from);
    bucket.rooms.clear();
}

/// Remembers that tokens were issued with `stamp`.
static void noteIssue(QuotaBucket& bucket, const QuotaShare& share, std::uint64_t stamp, TimePoint now)
{
    auto& rooms = bucket.rooms;
    if (rooms.empty() || rooms.back().stamp != stamp)
        rooms.push_back({ stamp, now, share.size });
    noteRoom(bucket, share);
    while (rooms.size() > 1 && now - rooms[1].issuedAt > maxReturnAge)
        rooms.pop_front();
    if (rooms.size() > maxRooms) {
        rooms[1].room = std::min(rooms[0].room, rooms[1].room);
        rooms[1].stamp = rooms[0].stamp;
        rooms.pop_front();
    }
}

/// Tokens that may be lacking before first turns need precaution. One is always allowed: in small buckets it is more
/// than the stated part.
static double firstTurnLevel(const QuotaShare& share, const QuotaSettings& settings)
{
    return std::min(share.size * settings.firstTurnFloor, share.size - 1);
}

QuotaDecision grant(QuotaBucket& bucket, const QuotaShare& share, const QuotaDecision& wanted, std::uint64_t stamp,
    TimePoint now, const QuotaSettings& settings)
{
    QuotaDecision granted;
    const double level = firstTurnLevel(share, settings);
    granted.part = std::clamp(bucket.tokens, 0.0, wanted.part);
    bucket.tokens -= granted.part;
    const bool mayBegin = bucket.tokens + tolerance >= level || whole(bucket.firstTurns) > 0;
    granted.firstTurnPart = mayBegin ? std::clamp(bucket.tokens, 0.0, wanted.firstTurnPart) : 0;
    if (bucket.tokens + tolerance < level)
        bucket.firstTurns -= granted.firstTurnPart;
    bucket.tokens -= granted.firstTurnPart;
    granted.waiting = std::min(wanted.waiting, whole(bucket.tokens));
    bucket.tokens -= granted.waiting;
    while (granted.waitingFirstTurns < wanted.waitingFirstTurns && whole(bucket.tokens) > 0) {
        const bool isPlenty = bucket.tokens + tolerance >= level;
        if (!isPlenty && whole(bucket.firstTurns) == 0)
            break;
        if (!isPlenty)
            bucket.firstTurns -= 1;
        bucket.tokens -= 1;
        ++granted.waitingFirstTurns;
    }
    if (granted.waiting < wanted.waiting) {
        const double rest = std::max(0.0, bucket.tokens);
        granted.part += rest;
        bucket.tokens -= rest;
    } else if (granted.waitingFirstTurns < wanted.waitingFirstTurns && whole(bucket.firstTurns) > 0) {
        const double rest = std::max(0.0, bucket.tokens);
        granted.firstTurnPart += rest;
        bucket.tokens -= rest;
        bucket.firstTurns -= rest;
    }
    granted.includesFirstTurns = bucket.tokens + tolerance >= level;
    granted.advance = std::min(wanted.advance, whole(bucket.tokens - share.size * settings.advanceFloor));
    bucket.tokens -= granted.advance;
    const std::uint32_t tokens = granted.waiting + granted.waitingFirstTurns + granted.advance;
    if (tokens > 0 || granted.part > 0 || granted.firstTurnPart > 0)
        noteIssue(bucket, share, stamp, now);
    return granted;
}

double giveBack(QuotaBucket& bucket, double tokens, std::uint64_t stamp)
{
    auto& rooms = bucket.rooms;
    if (rooms.empty() || stamp < rooms.front().stamp)
        return 0;
    // The last one that is not later: it covers the requests from its own stamp up to the next one's.
    auto first = std::ranges::upper_bound(rooms, stamp, {}, &QuotaRoom::stamp) - 1;
    double taken = tokens;
    for (auto room = first; room != rooms.end(); ++room)
        taken = std::min(taken, room->room);
    taken = std::max(taken, 0.0);
    for (auto room = first; room != rooms.end(); ++room)
        room->room -= taken;
    bucket.tokens += taken;
    return taken;
}

Duration timeToNext(const QuotaBucket& bucket, const QuotaShare& share, QuotaKind kind, double programCalls,
    const QuotaSettings& settings)
{
    const auto until = [](double missing, double rate) { return std::max(0.0, missing - tolerance) / rate; };
    double wait = until(1 - bucket.tokens, share.rate);
    if (kind == QuotaKind::FirstTurn) {
        const double plenty = until(firstTurnLevel(share, settings) - bucket.tokens, share.rate);
        const double turn = until(1 - bucket.firstTurns, firstTurnRate(share, programCalls));
        wait = std::max(wait, std::min(plenty, turn));
    }
    constexpr double longest = 3600;
    return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(std::min(wait, longest)));
}

// Length of programs -------------------------------------------------------------------------------------------------

void notePrograms(
    QuotaPrograms& known, std::uint32_t calls, std::uint32_t firstTurns, TimePoint now, const QuotaSettings& settings)
{
    const double kept = std::exp(-std::max(0.0, seconds(now - known.updatedAt)) / seconds(settings.programMemory));
    known.calls = known.calls * kept + calls;
    known.programs = known.programs * kept + firstTurns;
    known.updatedAt = now;
}

double meanCalls(const QuotaPrograms& known, const QuotaSettings& settings)
{
    const double weight = settings.initialProgramWeight;
    return std::max(1.0, (known.calls + settings.initialProgramCalls * weight) / (known.programs + weight));
}

// Gateways -----------------------------------------------------------------------------------------------------------

double rateAt(const QuotaArrivals& arrivals, TimePoint now)
{
    return arrivals.rate * std::exp(-std::max(0.0, seconds(now - arrivals.updatedAt)) / seconds(arrivalMemory));
}

void noteArrival(QuotaArrivals& arrivals, TimePoint now)
{
    arrivals.rate = rateAt(arrivals, now) + 1 / seconds(arrivalMemory);
    arrivals.updatedAt = now;
    arrivals.lastAt = now;
}

std::uint32_t expectedDemand(const QuotaArrivals& arrivals, TimePoint now, const QuotaSettings& settings)
{
    if (now - arrivals.lastAt > settings.seenPeriod)
        return 0;
    const double expected = rateAt(arrivals, now) * seconds(settings.requestInterval);
    if (expected < settings.minExpectedCalls)
        return 0;
    return std::max(1U, whole(std::ceil(expected + marginDeviations * std::sqrt(expected))));
}

}
