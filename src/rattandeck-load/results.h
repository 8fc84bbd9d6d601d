#pragma once

#include "callerapi.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace RattandeckLoad {

/// What a caller was told about a call that must run once.
enum class RecordTold { Pending, Done, NotRun, Unknown };

struct IssuedRecord {
    std::string body;
    RecordTold told = RecordTold::Pending;
};

/// How the records compare with what the plain services executed.
struct RecordCounts {
    std::uint64_t writtenOnce = 0;
    /// Told as done, but not executed.
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    /// Told as not run, but executed.
    std::uint64_t untrueRefusals = 0;
    /// Told as unknown; executed at most once.
    std::uint64_t unknown = 0;
    /// Told as not run, and not executed.
    std::uint64_t refused = 0;
    /// Executed with another body than was asked for.
    std::uint64_t mixed = 0;
};

/// Everything that one run has seen.
struct Results {
    std::string workload;
    std::uint64_t seed = 0;
    std::uint64_t planned = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t withinLatencyTarget = 0;
    std::uint64_t calls = 0;
    /// Latencies of finished programs, in seconds.
    std::vector<double> latencies;
    std::uint64_t cachedTokens = 0;
    std::uint64_t prefilledTokens = 0;
    /// Prefilled although an endpoint had computed it for an earlier turn.
    std::uint64_t wastedTokens = 0;
    /// Programs that did not finish, by reason.
    std::map<std::string, std::uint64_t> failures;
    /// Answers that are not whole, not their caller's, or break the history or the budget.
    std::vector<std::string> violations;
    std::map<std::string, IssuedRecord> records;
    RecordCounts recordCounts;
    bool ledgersRead = false;
    /// Records with an unknown outcome don't spoil the run: its faults make some unavoidable.
    bool allowUnknown = false;
    ApiStatistics api;
};

/// An executed call, as a ledger tells it.
struct LedgerEntry {
    std::string key;
    std::string body;
};

RecordCounts compareRecords(
    const std::map<std::string, IssuedRecord>& records, const std::vector<LedgerEntry>& executed);

/// Nothing lost, doubled or mixed, no untrue refusal, nothing unknown unless allowed, and every program finished.
bool isGood(const Results& results);

/// Nearest-rank percentile; 0 without samples.
double percentile(std::vector<double> samples, double share);

/// Table for a person.
std::string toTable(const Results& results);
Json toJson(const Results& results);

}
