#include "RattandeckApp/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace RattandeckApp {

using namespace Rattandeck;
using Json = nlohmann::ordered_json;

// Setting up ---------------------------------------------------------------------------------------------------------

namespace {

    // Set by `startLog` if the log format is JSON lines.
    bool writesJson = false;

    spdlog::level::level_enum levelOf(const std::string& name)
    {
        const spdlog::level::level_enum level = spdlog::level::from_str(name);
        return level == spdlog::level::off ? spdlog::level::info : level;
    }

    /// Buffers lines until standard output accepts them without blocking. Bounds the byte rate (token bucket) and the
    /// size of the buffer.
    class StandardOutputSink : public spdlog::sinks::base_sink<std::mutex> {
    public:
        explicit StandardOutputSink(std::int64_t bytesPerSecond)
            : bytesPerSecond(static_cast<double>(bytesPerSecond))
            , allowance(this->bytesPerSecond)
        {
        }

        std::uint64_t droppedLines() const { return this->dropped; }

        void setBytesPerSecond(std::int64_t rate)
        {
            const std::lock_guard guard(this->mutex_);
            this->bytesPerSecond = static_cast<double>(rate);
        }

    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            spdlog::memory_buf_t line;
            this->formatter_->format(message, line);
            const bool isError = message.level >= spdlog::level::err;
            this->refill();
            const bool exceedsRate = !isError && this->allowance < static_cast<double>(line.size());
            if (exceedsRate || this->buffer.size() + line.size() > maxBufferedBytes) {
                ++this->dropped;
                return;
            }
            this->allowance -= static_cast<double>(line.size());
            this->buffer.append(line.data(), line.size());
        }

        void flush_() override
        {
            std::size_t written = 0;
            while (written < this->buffer.size()) {
                pollfd output { STDOUT_FILENO, POLLOUT, 0 };
                if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
                    break;
                // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
                const std::size_t size = std::min<std::size_t>(this->buffer.size() - written, PIPE_BUF);
                const ssize_t taken = write(STDOUT_FILENO, this->buffer.data() + written, size);
                if (taken <= 0)
                    break;
                written += static_cast<std::size_t>(taken);
            }
            this->buffer.erase(0, written);
        }

    private:
        static constexpr std::size_t maxBufferedBytes = 256UL * 1024;

        void refill()
        {
            const auto now = std::chrono::steady_clock::now();
            const double elapsed = std::chrono::duration<double>(now - this->refilledAt).count();
            this->refilledAt = now;
            this->allowance = std::min(this->bytesPerSecond, this->allowance + elapsed * this->bytesPerSecond);
        }

        double bytesPerSecond;
        double allowance;
        std::chrono::steady_clock::time_point refilledAt = std::chrono::steady_clock::now();
        std::string buffer;
        std::uint64_t dropped = 0;
    };

    std::shared_ptr<StandardOutputSink> standardOutput;

    // Writes one JSON line. `time_ms` is in milliseconds since the Unix epoch.
    void writeLine(spdlog::level::level_enum level, const std::string& event, const Json& fields)
    {
        if (!spdlog::should_log(level))
            return;
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        Json line = { { "time_ms", std::chrono::duration_cast<Milliseconds>(now).count() },
            { "process", spdlog::default_logger()->name() },
            { "level", std::string(spdlog::level::to_string_view(level).data()) }, { "event", event } };
        line.update(fields);
        spdlog::log(level, "{}", line.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

}

bool startLog(const LogSettings& settings, const std::string& process)
{
    std::shared_ptr<spdlog::sinks::sink> sink;
    try {
        if (settings.file == "-") {
            standardOutput = std::make_shared<StandardOutputSink>(settings.bytesPerSecond);
            sink = standardOutput;
        } else if (settings.file.empty())
            sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
        else
            sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(settings.file);
    } catch (const spdlog::spdlog_ex&) {
        return false;
    }
    auto logger = std::make_shared<spdlog::logger>(process, sink);
    logger->set_level(levelOf(settings.level));
    logger->flush_on(standardOutput ? spdlog::level::err : spdlog::level::info);
    writesJson = settings.format == "json";
    logger->set_pattern(writesJson ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %n %l %v");
    spdlog::set_default_logger(logger);
    return true;
}

void adjustLog(const LogSettings& settings)
{
    spdlog::default_logger()->set_level(levelOf(settings.level));
    if (standardOutput)
        standardOutput->setBytesPerSecond(settings.bytesPerSecond);
}

// Decisions ----------------------------------------------------------------------------------------------------------

namespace {

    Json placementFields(const PlacementDecision& decision)
    {
        Json candidates = Json::array();
        for (const PlacementCandidate& candidate : decision.candidates) {
            candidates.push_back({ { "endpoint", candidate.sidecar.value }, { "wait_s", candidate.waitSeconds },
                { "prefill_s", candidate.prefillSeconds }, { "transfer_s", candidate.transferSeconds },
                { "score", candidate.score } });
        }
        return { { "program", toString(decision.program) }, { "turn", decision.turn.value },
            { "order", decision.order.value }, { "policy", decision.policy }, { "choice", decision.choice.value },
            { "candidates", candidates } };
    }

}

std::string toJson(const PlacementDecision& decision)
{
    return placementFields(decision).dump(-1, ' ', false, Json::error_handler_t::replace);
}

void logPlacement(const PlacementDecision& decision)
{
    if (writesJson) {
        writeLine(spdlog::level::info, "placement", placementFields(decision));
        return;
    }
    std::string candidates;
    for (const PlacementCandidate& candidate : decision.candidates) {
        candidates += fmt::format(" {}={:.4f}(wait {:.4f}, prefill {:.4f}, transfer {:.4f})", candidate.sidecar.value,
            candidate.score, candidate.waitSeconds, candidate.prefillSeconds, candidate.transferSeconds);
    }
    spdlog::info("placement program={} turn={} order={} policy={} choice={} candidates:{}", toString(decision.program),
        decision.turn.value, decision.order.value, decision.policy, decision.choice.value, candidates);
}

void logAdmission(const AdmissionDecision& decision)
{
    if (writesJson) {
        writeLine(spdlog::level::info, "admission",
            { { "program", toString(decision.program) }, { "turn", decision.turn.value },
                { "order", decision.order.value }, { "choice", decision.choice }, { "running", decision.running },
                { "waiting", decision.waiting }, { "limit", decision.limit }, { "priority", decision.priority } });
        return;
    }
    spdlog::info("admission program={} turn={} order={} choice=\"{}\" running={} waiting={} limit={} priority={:.3f}",
        toString(decision.program), decision.turn.value, decision.order.value, decision.choice, decision.running,
        decision.waiting, decision.limit, decision.priority);
}

void logEvent(const std::string& event, const std::string& detail)
{
    if (writesJson)
        writeLine(spdlog::level::info, event, { { "detail", detail } });
    else
        spdlog::info("{}: {}", event, detail);
}

void logFields(const char* event, const std::vector<LogField>& fields)
{
    if (!spdlog::should_log(spdlog::level::info))
        return;
    Json json = Json::object();
    for (const LogField& field : fields)
        std::visit([&json, &field](const auto& value) { json[field.name] = value; }, field.value);
    if (writesJson)
        writeLine(spdlog::level::info, event, json);
    else
        spdlog::info("{} {}", event, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void flushLog()
{
    if (standardOutput)
        standardOutput->flush();
}

std::uint64_t droppedLogLines() { return standardOutput ? standardOutput->droppedLines() : 0; }

void logError(const std::string& event, const std::string& detail)
{
    if (writesJson)
        writeLine(spdlog::level::err, event, { { "detail", detail } });
    else
        spdlog::error("{}: {}", event, detail);
}

}
