#include "results.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace RattandeckLoad {

// Records --------------------------------------------------------------------------------------------------------

static void countRecord(const IssuedRecord& record, const std::vector<std::string>& bodies, RecordCounts& counts)
{
    const auto differs = [&](const std::string& body) { return body != record.body; };
    if (std::any_of(bodies.begin(), bodies.end(), differs))
        ++counts.mixed;
    if (bodies.size() > 1) {
        ++counts.doubled;
        return;
    }
    const bool executed = !bodies.empty();
    switch (record.reported) {
    case ReportedOutcome::Done:
        ++(executed ? counts.writtenOnce : counts.lost);
        return;
    case ReportedOutcome::NotRun:
        ++(executed ? counts.untrueRefusals : counts.refused);
        return;
    case ReportedOutcome::Pending:
    case ReportedOutcome::Unknown:
        ++counts.unknown;
        return;
    }
}

RecordCounts compareRecords(
    const std::map<std::string, IssuedRecord>& records, const std::vector<LedgerEntry>& executed)
{
    std::map<std::string, std::vector<std::string>> byKey;
    for (const LedgerEntry& entry : executed)
        byKey[entry.key].push_back(entry.body);
    RecordCounts counts;
    for (const auto& [key, record] : records)
        countRecord(record, byKey[key], counts);
    return counts;
}

bool isGood(const Results& results)
{
    const RecordCounts& records = results.recordCounts;
    const std::uint64_t unknown = results.allowUnknown ? 0 : records.unknown;
    const std::uint64_t bad = records.lost + records.doubled + records.untrueRefusals + records.mixed + unknown;
    const bool checked = results.records.empty() || results.ledgersRead;
    return bad == 0 && results.violations.empty() && checked && results.planned > 0
        && results.finished == results.planned;
}

// Report ---------------------------------------------------------------------------------------------------------

double percentile(std::vector<double> samples, double share)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
    return samples[std::max<std::size_t>(rank, 1) - 1];
}

static double wastedShare(const Results& results)
{
    if (results.prefilledTokens == 0)
        return 0;
    return static_cast<double>(results.wastedTokens) / static_cast<double>(results.prefilledTokens);
}

std::string toTable(const Results& results)
{
    std::ostringstream table;
    const auto row
        = [&](const char* name) -> std::ostream& { return table << "  " << std::left << std::setw(26) << name; };
    table << std::fixed << std::setprecision(2);
    table << "workload " << results.workload << ", seed " << results.seed << '\n';
    row("programs finished") << results.finished << " of " << results.planned << '\n';
    row("within aim") << results.withinLatencyTarget << '\n';
    row("program latency p50, p95") << percentile(results.latencies, 0.5) << " s, "
                                    << percentile(results.latencies, 0.95) << " s\n";
    row("calls answered") << results.calls << '\n';
    row("prompt tokens") << results.cachedTokens << " cached, " << results.prefilledTokens << " prefilled\n";
    row("wasted cache") << results.wastedTokens << " tokens, " << 100 * wastedShare(results) << "% of prefill\n";

    const RecordCounts& records = results.recordCounts;
    row("records") << results.records.size() << ": " << records.writtenOnce << " written once, " << records.lost
                   << " lost, " << records.doubled << " doubled, " << records.unknown << " unknown, " << records.refused
                   << " refused, " << records.untrueRefusals << " untrue refusals, " << records.mixed << " mixed"
                   << (results.ledgersRead ? "" : " (ledgers not read)") << '\n';
    row("requests") << results.api.requests << ", " << results.api.unreachable << " to entries that had gone, "
                    << results.api.brokenConnections << " broken, " << results.api.timeouts << " timed out\n";
    for (const auto& [name, count] : results.api.refusals)
        row("  refused, came back") << count << ' ' << name << '\n';
    for (const auto& [name, count] : results.failures)
        row("  not finished") << count << ' ' << name << '\n';
    row("violations") << results.violations.size() << '\n';
    constexpr std::size_t shownViolations = 10;
    for (std::size_t i = 0; i < std::min(results.violations.size(), shownViolations); ++i)
        table << "    " << results.violations[i] << '\n';
    table << (isGood(results) ? "  PASSED\n" : "  FAILED\n");
    return table.str();
}

Json toJson(const Results& results)
{
    const RecordCounts& records = results.recordCounts;
    return { { "workload", results.workload }, { "seed", results.seed }, { "planned", results.planned },
        { "finished", results.finished }, { "within_aim", results.withinLatencyTarget }, { "calls", results.calls },
        { "latency_p50_s", percentile(results.latencies, 0.5) },
        { "latency_p95_s", percentile(results.latencies, 0.95) }, { "cached_tokens", results.cachedTokens },
        { "prefilled_tokens", results.prefilledTokens }, { "wasted_tokens", results.wastedTokens },
        { "records",
            { { "issued", results.records.size() }, { "written_once", records.writtenOnce }, { "lost", records.lost },
                { "doubled", records.doubled }, { "unknown", records.unknown }, { "refused", records.refused },
                { "untrue_refusals", records.untrueRefusals }, { "mixed", records.mixed },
                { "ledgers_read", results.ledgersRead } } },
        { "requests", results.api.requests }, { "unreachable", results.api.unreachable },
        { "broken_connections", results.api.brokenConnections }, { "timeouts", results.api.timeouts },
        { "refusals", results.api.refusals }, { "failures", results.failures }, { "violations", results.violations },
        { "passed", isGood(results) } };
}

}
