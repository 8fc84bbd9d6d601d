#pragma once

#include "RattandeckApp/metrics.h"
#include "RattandeckNet/http.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

/// The connections to one instance's address, and which process serves there, by its own answer.
///
/// Thread safety: use from the loop's thread. Precondition: the loop and the metrics outlive this object.
class InstanceClient {
public:
    InstanceClient(RattandeckNet::EventLoop& loop, RattandeckApp::Metrics& metrics,
        const RattandeckNet::Address& address, std::size_t maxConnections);

    RattandeckNet::HttpClient& http() { return this->client; }
    const RattandeckNet::HttpClient& http() const { return this->client; }

    /// Returns the start time of the process, in milliseconds since the Unix epoch, if it has told that and can't have
    /// been replaced since; see `HttpClient::heardSince`.
    std::optional<std::int64_t> process() const;
    /// Asks which process serves, unless that is known or being asked. A question that fails is repeated.
    void identify();
    /// Whether the last question was not sent, as the instance's machine refused the connection.
    bool isUnreachable() const { return this->wasRefused; }
    /// Sets what is called, from the loop, when a process has told which one it is.
    void onTold(std::function<void()> handler);
    /// As `identify`; calls `done` from the loop once the process has answered or failed to answer in time.
    /// Precondition: `process` is empty.
    void identify(std::function<void()> done);

private:
    struct KnownProcess {
        std::int64_t startedAt = 0;
        /// The beginning of the time in which the same process has been heard from.
        Rattandeck::TimePoint heardSince;
    };

    void ask();
    void onReport(const tl::expected<RattandeckNet::HttpResponse, RattandeckNet::NetError>& report);

    RattandeckApp::Metrics& metrics;
    RattandeckNet::HttpClient client;
    std::optional<KnownProcess> known;
    bool isAsked = false;
    bool wasRefused = false;
    /// How often a question that fails is repeated.
    int repetitionsLeft = 0;
    std::function<void()> toldHandler;
    std::vector<std::function<void()>> waiting;
};
