#include "callerapi.h"

#include "Rattandeck/types.h"

namespace RattandeckLoad {

using namespace RattandeckNet;
using Rattandeck::Milliseconds;

constexpr Milliseconds deadline { 30000 };
/// An entry answers within the deadline. The longer timeout detects an entry that hangs.
constexpr Milliseconds requestTimeout { 35000 };
constexpr Milliseconds failoverDelay { 100 };
constexpr Milliseconds retryDelay { 300 };
/// Maximum number of retries of a call that may have run. The retries retrieve its outcome.
constexpr int maxUncertainRetries = 6;

struct CallerApi::Impl {
    EventLoop& loop;
    std::vector<std::unique_ptr<HttpClient>> entries;
    ApiStatistics statistics;
    bool retriesEnabled = true;
};

// Answers --------------------------------------------------------------------------------------------------------

namespace {

    struct Problem {
        ApiProblem problem;
        Milliseconds retryAfter { 0 };
    };

    Problem readProblem(const Json& json)
    {
        Problem read;
        read.problem.ran = "unknown";
        if (!json.is_object()) {
            read.problem.name = "malformed-answer";
            return read;
        }
        const std::string type = json.value("type", std::string());
        read.problem.name = type.substr(type.rfind(':') + 1);
        read.problem.ran = json.value("ran", std::string("unknown"));
        read.problem.detail = json.value("detail", std::string());
        read.retryAfter = Milliseconds(json.value("retry_after_ms", std::int64_t { 0 }));
        return read;
    }

    struct StreamEvent {
        std::string name;
        std::string data;
    };

    /// Last complete event of a server-sent event stream. An event is complete when its terminating empty line has been
    /// received.
    StreamEvent lastEvent(const std::string& stream)
    {
        StreamEvent event;
        const std::size_t end = stream.rfind("\n\n");
        if (end == std::string::npos)
            return event;
        const std::size_t before = end == 0 ? std::string::npos : stream.rfind("\n\n", end - 1);
        std::size_t begin = before == std::string::npos ? 0 : before + 2;
        while (begin < end) {
            const std::size_t lineEnd = std::min(stream.find('\n', begin), end);
            const std::string line = stream.substr(begin, lineEnd - begin);
            if (line.starts_with("event: "))
                event.name = line.substr(7);
            else if (line.starts_with("data: "))
                event.data += line.substr(6);
            begin = lineEnd + 1;
        }
        return event;
    }

    // One call with its retries ------------------------------------------------------------------------------------

    class Attempts : public std::enable_shared_from_this<Attempts> {
    public:
        Attempts(CallerApi::Impl& api, ApiCall call, std::function<void(const ApiOutcome&)> done)
            : api(api)
            , call(std::move(call))
            , done(std::move(done))
        {
        }

        void start();

    private:
        HttpRequest request() const;
        void onResponse(const tl::expected<HttpResponse, NetError>& response);
        void onNetError(NetError error);
        void onProblem(const Problem& problem);
        void retryUncertain(const ApiOutcome& finalOutcome);
        void scheduleRetry(Milliseconds delay);

        CallerApi::Impl& api;
        ApiCall call;
        std::function<void(const ApiOutcome&)> done;
        int uncertainRetries = 0;
    };

    HttpRequest Attempts::request() const
    {
        HttpRequest request;
        request.method = this->call.method;
        request.path = this->call.path;
        request.headers["x-deadline-ms"] = std::to_string(deadline.count());
        if (!this->call.key.empty())
            request.headers["idempotency-key"] = this->call.key;
        if (this->call.streamed)
            request.headers["accept"] = "text/event-stream";
        if (!this->call.body.is_null()) {
            request.headers["content-type"] = "application/json";
            request.body = this->call.body.dump();
        }
        return request;
    }

    void Attempts::start()
    {
        ++this->api.statistics.requests;
        HttpClient& client = *this->api.entries[this->call.entry % this->api.entries.size()];
        client.fetch(this->request(), requestTimeout,
            [self = this->shared_from_this()](const auto& response) { self->onResponse(response); });
    }

    void Attempts::onResponse(const tl::expected<HttpResponse, NetError>& response)
    {
        if (!response) {
            this->onNetError(response.error());
            return;
        }
        const bool isGood = response->status >= 200 && response->status < 300;
        const auto type = response->headers.find("content-type");
        const bool isStream = type != response->headers.end() && type->second.starts_with("text/event-stream");
        if (!isGood || !isStream) {
            const Json json
                = response->body.empty() && isGood ? Json::object() : Json::parse(response->body, nullptr, false);
            if (isGood && !json.is_discarded())
                this->done(json);
            else
                this->onProblem(readProblem(json));
            return;
        }
        const StreamEvent last = lastEvent(response->body);
        const Json json = Json::parse(last.data, nullptr, false);
        if (last.name == "done" && json.is_object())
            this->done(json);
        else if (last.name == "problem")
            this->onProblem(readProblem(json));
        else
            this->onNetError(NetError::Broken);
    }

    void Attempts::onNetError(NetError error)
    {
        const bool neverSent = error == NetError::ConnectFailed || error == NetError::NotSent;
        ApiStatistics& statistics = this->api.statistics;
        ++(neverSent                          ? statistics.unreachable
                : error == NetError::TimedOut ? statistics.timeouts
                                              : statistics.brokenConnections);
        ++this->call.entry;
        if (neverSent)
            this->scheduleRetry(failoverDelay);
        else
            this->retryUncertain(GaveUp {});
    }

    void Attempts::onProblem(const Problem& problem)
    {
        const ApiProblem& final = problem.problem;
        if (final.ran == "no" && problem.retryAfter.count() > 0) {
            ++this->api.statistics.refusals[final.name];
            ++this->call.entry;
            this->scheduleRetry(problem.retryAfter);
            return;
        }
        if (final.ran == "no")
            this->done(final);
        else
            this->retryUncertain(final);
    }

    void Attempts::retryUncertain(const ApiOutcome& finalOutcome)
    {
        if (++this->uncertainRetries > maxUncertainRetries || !this->api.retriesEnabled)
            this->done(finalOutcome);
        else
            this->scheduleRetry(retryDelay * this->uncertainRetries);
    }

    void Attempts::scheduleRetry(Milliseconds delay)
    {
        if (!this->api.retriesEnabled) {
            this->done(GaveUp {});
            return;
        }
        this->api.loop.timers().subscribeAfter(delay, [self = this->shared_from_this()] { self->start(); });
    }

}

// CallerApi ------------------------------------------------------------------------------------------------------

CallerApi::CallerApi(EventLoop& loop, const std::vector<Address>& entries)
    : impl(std::make_shared<Impl>(Impl { loop, {}, {}, true }))
{
    for (const Address& entry : entries)
        this->impl->entries.push_back(std::make_unique<HttpClient>(loop, entry, 512));
}

CallerApi::~CallerApi() = default;

void CallerApi::call(const ApiCall& call, std::function<void(const ApiOutcome&)> done)
{
    std::make_shared<Attempts>(*this->impl, call, std::move(done))->start();
}

void CallerApi::stopRetries() { this->impl->retriesEnabled = false; }

const ApiStatistics& CallerApi::statistics() const { return this->impl->statistics; }

}
