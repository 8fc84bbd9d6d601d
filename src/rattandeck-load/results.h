#pragma once

#include "callerapi.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace RattandeckLoad {

/// Outcome that the system reported to the caller for a call that must run exactly once.
enum class ReportedOutcome { Pending, Done, NotRun, Unknown };

struct IssuedRecord {
    std::string body;
    ReportedOutcome reported = ReportedOutcome::Pending;
};

/// Result of the comparison of the issued records with the ledgers of the plain services.
struct RecordCounts {
    std::uint64_t writtenOnce = 0;
    /// Reported as done, but not executed.
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    /// Reported as not run, but executed.
    std::uint64_t untrueRefusals = 0;
    /// Reported as unknown, or not reported; executed at most once.
    std::uint64_t unknown = 0;
    /// Reported as not run, and not executed.
    std::uint64_t refused = 0;
    /// Executed with a body that differs from the requested one.
    std::uint64_t mixed = 0;
};

/// Counters and observations of one run.
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
    /// Prefilled tokens that an endpoint had already computed for an earlier turn.
    std::uint64_t wastedTokens = 0;
    /// Number of programs that did not finish, by reason.
    std::map<std::string, std::uint64_t> failures;
    /// Answers that are incomplete, belong to another caller, or violate the history or the budget.
    std::vector<std::string> violations;
    std::map<std::string, IssuedRecord> records;
    RecordCounts recordCounts;
    bool ledgersRead = false;
    /// Records with an unknown outcome don't fail the run. Used for runs whose faults make such outcomes unavoidable.
    bool allowUnknown = false;
    ApiStatistics api;
};

/// An executed call from the ledger of a plain service.
struct LedgerEntry {
    std::string key;
    std::string body;
};

RecordCounts compareRecords(
    const std::map<std::string, IssuedRecord>& records, const std::vector<LedgerEntry>& executed);

/// Whether the run passed: no record is lost, doubled, mixed or untruly refused, none is unknown unless allowed, there
/// are no violations, the ledgers were read if there are records, and every program finished.
bool isGood(const Results& results);

/// Nearest-rank percentile; 0 for an empty list.
double percentile(std::vector<double> samples, double share);

/// Human-readable summary.
std::string toTable(const Results& results);
Json toJson(const Results& results);

}
