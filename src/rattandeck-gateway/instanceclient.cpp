#include "instanceclient.h"

#include "platform/calls.h"

#include <utility>

using namespace RattandeckNet;

/// An instance that does not accept a connection within this time is treated as failed, and the call is sent to
/// another.
constexpr std::chrono::milliseconds connectTimeout { 250 };
/// Time in which a process tells which one it is. A resumed stream waits for it.
constexpr std::chrono::milliseconds reportTimeout { 400 };
constexpr std::size_t maxReportBytes = 256UL * 1024;
/// A stream whose process is not known can't be resumed, so a lost question is repeated while the stream may last.
constexpr int maxRepetitions = 4;

InstanceClient::InstanceClient(
    EventLoop& loop, RattandeckApp::Metrics& metrics, const Address& address, std::size_t maxConnections)
    : metrics(metrics)
    , client(loop, address, maxConnections)
{
    this->client.setConnectTimeout(connectTimeout);
}

std::optional<std::int64_t> InstanceClient::process() const
{
    if (!this->known || this->client.heardSince() != this->known->heardSince)
        return std::nullopt;
    return this->known->startedAt;
}

void InstanceClient::onTold(std::function<void()> handler) { this->toldHandler = std::move(handler); }

void InstanceClient::identify()
{
    if (this->process())
        return;
    this->repetitionsLeft = maxRepetitions;
    if (!this->isAsked)
        this->ask();
}

void InstanceClient::identify(std::function<void()> done)
{
    this->waiting.push_back(std::move(done));
    if (!this->isAsked)
        this->ask();
}

void InstanceClient::ask()
{
    this->isAsked = true;
    this->metrics.count("rattandeck_process_questions_total");
    this->client.fetch(
        Platform::writeReportRequest(), reportTimeout, [this](const auto& report) { this->onReport(report); },
        maxReportBytes);
}

void InstanceClient::onReport(const tl::expected<HttpResponse, NetError>& report)
{
    this->isAsked = false;
    this->wasRefused = !report && report.error() == NetError::ConnectFailed;
    const auto startedAt = report ? Platform::readStartTime(*report) : std::nullopt;
    // Empty if the connection on which the answer came has been closed: another process may serve by now.
    const auto heardSince = this->client.heardSince();
    if (startedAt && heardSince)
        this->known = { *startedAt, *heardSince };
    for (const auto& done : std::exchange(this->waiting, {}))
        done();
    if (this->process()) {
        if (this->toldHandler)
            this->toldHandler();
    } else if (!this->isAsked && this->repetitionsLeft > 0) {
        --this->repetitionsLeft;
        this->ask();
    }
}
