#include "RattandeckApp/memory.h"

#include "RattandeckApp/log.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <string>

using namespace RattandeckNet;

namespace RattandeckApp {

constexpr std::int64_t maxLimitMb = 1 << 24;
constexpr std::size_t bytesPerMb = 1024UL * 1024;
/// Blocks of this size and above are mapped one by one. The allocator's own threshold grows to 32 MB when such a block
/// is freed, and bodies that come and go would then leave gaps between small blocks.
constexpr int mappedBlockBytes = 256 * 1024;
/// Files that a process needs beside the connections to one listener: other listeners, instances, links, disk.
constexpr std::size_t otherFiles = 384;
/// Free memory at the end of the heap that is kept: a smaller amount costs system calls at each peak of the load.
constexpr int keptHeapBytes = 2 * 1024 * 1024;
constexpr std::size_t operatorConnections = 64;
constexpr std::chrono::milliseconds refusalLogInterval { 1000 };

void bindMemory(SettingsSchema& schema, std::int64_t& limitMb)
{
    schema.addInteger("memory.limit_mb", limitMb, 0, maxLimitMb,
        "memory that the process may take, in MB; 0 is the memory of the machine");
}

static std::size_t machineMemory()
{
    struct sysinfo info { };
    if (sysinfo(&info) != 0)
        return 0;
    return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

std::size_t connectionMemory(std::int64_t limitMb)
{
    const std::size_t machine = machineMemory();
    const std::size_t stated = static_cast<std::size_t>(std::max<std::int64_t>(limitMb, 0)) * bytesPerMb;
    return (stated > 0 && (machine == 0 || stated < machine) ? stated : machine) / 2;
}

std::size_t answerMemory(std::int64_t limitMb) { return connectionMemory(limitMb) / 2; }

void limitHeap()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
}

std::size_t allowedConnections(std::size_t wanted)
{
    struct rlimit files { };
    if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur == RLIM_INFINITY)
        return wanted;
    const auto allowed = static_cast<std::size_t>(files.rlim_cur);
    return std::min(wanted, std::max(allowed, 2 * otherFiles) - otherFiles);
}

HttpLimits operatorLimits()
{
    HttpLimits limits;
    limits.maxConnections = operatorConnections;
    // These callers are few and close by. A crowd must not keep the readiness check of a load balancer out for long.
    limits.unusedTime = std::chrono::milliseconds(200);
    limits.readTimeout = std::chrono::milliseconds(3000);
    limits.unreadTimeout = std::chrono::milliseconds(10000);
    return limits;
}

void provideMemoryMetrics(Metrics& metrics, const MemoryBudget& budget)
{
    metrics.provide("rattandeck_connection_memory_bytes", "gauge", [&budget] { return double(budget.used()); });
    metrics.provide("rattandeck_connection_memory_limit_bytes", "gauge", [&budget] { return double(budget.limit()); });
    metrics.provideFamily("rattandeck_connections_refused_total", "counter", [&budget] {
        std::vector<std::pair<MetricLabels, double>> values;
        for (std::size_t i = 0; i < refusalCauses; ++i) {
            const auto cause = static_cast<RefusalCause>(i);
            values.emplace_back(
                MetricLabels { { "cause", std::string(describe(cause)) } }, double(budget.refused(cause)));
        }
        return values;
    });
}

RefusalLog::RefusalLog(Rattandeck::TimerService& timers, const MemoryBudget& budget)
    : timers(timers)
    , budget(budget)
{
}

void RefusalLog::start()
{
    this->timers.subscribeAfter(refusalLogInterval, [this] {
        this->check();
        this->start();
    });
}

void RefusalLog::check()
{
    std::vector<LogField> fields { { "memory_bytes", std::int64_t(this->budget.used()) },
        { "memory_limit_bytes", std::int64_t(this->budget.limit()) } };
    for (std::size_t i = 0; i < refusalCauses; ++i) {
        const auto cause = static_cast<RefusalCause>(i);
        const std::uint64_t count = this->budget.refused(cause);
        if (count > this->logged[i])
            fields.push_back({ describe(cause).data(), std::int64_t(count - this->logged[i]) });
        this->logged[i] = count;
    }
    constexpr std::size_t fieldsWithoutCause = 2;
    if (fields.size() > fieldsWithoutCause)
        logFields("connections refused", fields);
}

}
