#include "pathbench.h"

#include "RattandeckNet/http.h"
#include "results.h"

#include <cmath>

namespace RattandeckLoad {

using namespace RattandeckNet;

constexpr std::chrono::milliseconds requestTimeout { 30000 };
/// Calls before the measurement. They open the connections and use every code path once.
constexpr std::size_t warmUpCalls = 20;
constexpr std::int64_t promptTokens = 16;

namespace {

    class PathBench {
    public:
        PathBench(EventLoop& loop, const PathBenchOptions& options)
            : loop(loop)
            , options(options)
            , engine(loop, options.engine)
            , entry(loop, options.entry)
        {
        }

        Json run();

    private:
        using Answered = std::function<void(const HttpResponse&)>;
        using WithProgram = std::function<void(const std::string& program)>;

        void send(HttpClient& client, const std::string& path, const Json& body, bool streamed, Answered answered);
        void openProgram(WithProgram opened);
        /// Calls `ended` after any answer, including a failure.
        void endProgram(const std::string& program, std::function<void()> ended);
        void callDirectly();
        void callThroughEntry();
        void startStream();
        void onStreamEnd(const std::string& body);
        void fail(const std::string& what);
        double now() const;
        Json completion(std::int64_t tokens);

        EventLoop& loop;
        const PathBenchOptions& options;
        HttpClient engine;
        HttpClient entry;
        std::size_t pairs = 0;
        std::vector<double> direct;
        std::vector<double> through;
        double streamsStartTime = 0;
        std::size_t streamsStarted = 0;
        std::size_t streamsEnded = 0;
        std::int64_t relayedTokens = 0;
        std::uint64_t requests = 0;
        Json result;
    };

    double PathBench::now() const
    {
        // The loop's clock holds the time at which the current handler began, which is accurate enough here.
        return std::chrono::duration<double, std::micro>(this->loop.timers().now().time_since_epoch()).count();
    }

    void PathBench::fail(const std::string& what)
    {
        this->result["error"] = what;
        this->loop.stop();
    }

    void PathBench::send(
        HttpClient& client, const std::string& path, const Json& body, bool streamed, Answered answered)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.body = body.dump();
        request.headers["content-type"] = "application/json";
        if (streamed)
            request.headers["accept"] = "text/event-stream";
        client.fetch(request, requestTimeout,
            [this, path, answered = std::move(answered)](const tl::expected<HttpResponse, NetError>& response) {
                if (!response)
                    this->fail(path + ": " + std::string(describe(response.error())));
                else if (response->status >= 300)
                    this->fail(path + ": " + std::to_string(response->status) + " " + response->body);
                else
                    answered(*response);
            });
    }

    void PathBench::openProgram(WithProgram opened)
    {
        constexpr int budget = 1'000'000;
        const Json opening { { "organisation", "bench" }, { "service", this->options.service }, { "aim_ms", 60000 },
            { "budget_tokens", budget } };
        this->send(
            this->entry, "/v1/programs", opening, false, [opened = std::move(opened)](const HttpResponse& response) {
                opened(Json::parse(response.body, nullptr, false).value("program", std::string()));
            });
    }

    void PathBench::endProgram(const std::string& program, std::function<void()> ended)
    {
        const HttpRequest request { "DELETE", "/v1/programs/" + program, {}, {}, {} };
        this->entry.fetch(request, requestTimeout, [ended = std::move(ended)](const auto&) { ended(); });
    }

    // Latency --------------------------------------------------------------------------------------------------------

    Json PathBench::completion(std::int64_t tokens)
    {
        const std::string id = "bench-" + std::to_string(++this->requests);
        return { { "request_id", id }, { "program", id }, { "prompt", std::string(promptTokens * 4, 'x') },
            { "prompt_tokens", promptTokens }, { "max_tokens", tokens }, { "stream", true } };
    }

    void PathBench::callDirectly()
    {
        if (this->pairs++ == warmUpCalls + this->options.calls) {
            this->streamsStartTime = this->now();
            for (std::size_t i = 0; i < this->options.concurrency; ++i)
                this->startStream();
            return;
        }
        const double begin = this->now();
        this->send(this->engine, "/v1/completions", this->completion(1), true, [this, begin](const HttpResponse&) {
            this->direct.push_back(this->now() - begin);
            this->callThroughEntry();
        });
    }

    void PathBench::callThroughEntry()
    {
        this->openProgram([this](const std::string& program) {
            const double begin = this->now();
            const Json body { { "input", std::string(promptTokens * 4, 'x') }, { "max_tokens", 1 } };
            this->send(this->entry, "/v1/programs/" + program + "/calls", body, true,
                [this, begin, program](const HttpResponse& response) {
                    if (response.body.find("event: done") == std::string::npos) {
                        this->fail("no answer: " + response.body);
                        return;
                    }
                    this->through.push_back(this->now() - begin);
                    this->endProgram(program, [this] { this->callDirectly(); });
                });
        });
    }

    // Throughput -----------------------------------------------------------------------------------------------------

    void PathBench::startStream()
    {
        if (this->streamsStarted == this->options.streams)
            return;
        ++this->streamsStarted;
        this->openProgram([this](const std::string& program) {
            const Json body { { "input", std::string(promptTokens * 4, 'x') },
                { "max_tokens", this->options.streamTokens } };
            this->send(this->entry, "/v1/programs/" + program + "/calls", body, true,
                [this, program](const HttpResponse& response) {
                    this->endProgram(program, [this, body = response.body] { this->onStreamEnd(body); });
                });
        });
    }

    void PathBench::onStreamEnd(const std::string& body)
    {
        constexpr std::string_view field = "\"output\":\"";
        const std::size_t output = body.find(field, body.rfind("event: done"));
        if (output == std::string::npos) {
            this->fail("stream without an answer: " + body.substr(0, 200));
            return;
        }
        // Each token of the engine has four bytes and needs no JSON escapes.
        const std::size_t begin = output + field.size();
        this->relayedTokens += static_cast<std::int64_t>((body.find('"', begin) - begin) / 4);
        if (++this->streamsEnded < this->options.streams) {
            this->startStream();
            return;
        }
        this->result["stream_seconds"] = (this->now() - this->streamsStartTime) / 1e6;
        this->loop.stop();
    }

    Json PathBench::run()
    {
        this->loop.post([this] { this->callDirectly(); });
        this->loop.run();
        if (this->result.contains("error"))
            return this->result;
        this->direct.erase(this->direct.begin(), this->direct.begin() + warmUpCalls);
        this->through.erase(this->through.begin(), this->through.begin() + warmUpCalls);
        for (const auto& [name, share] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
            const double directLatency = percentile(this->direct, share);
            const double relayedLatency = percentile(this->through, share);
            this->result[std::string("direct_") + name + "_us"] = directLatency;
            this->result[std::string("through_") + name + "_us"] = relayedLatency;
            this->result[std::string("added_") + name + "_us"] = relayedLatency - directLatency;
        }
        this->result["calls"] = this->options.calls;
        this->result["streams"] = this->options.streams;
        this->result["relayed_tokens"] = this->relayedTokens;
        return this->result;
    }

}

Json runPathBench(EventLoop& loop, const PathBenchOptions& options) { return PathBench(loop, options).run(); }

}
