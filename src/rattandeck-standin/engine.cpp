// HTTP interface of the model engine.

#include "enginemodel.h"

#include <algorithm>

namespace RattandeckStandin {

constexpr std::chrono::seconds pollTimeout { 10 };
constexpr std::size_t maxStoredEvents = 10000;

namespace {

    class Engine : public std::enable_shared_from_this<Engine> {
    public:
        Engine(EventLoop& loop, const EngineOptions& options)
            : loop(loop)
            , options(options)
            , model(options, loop.timers(), [this](const std::string& program) { this->onEvicted(program); })
        {
        }

        void handle(const HttpRequest& request, const HttpResponder& responder);

    private:
        struct Poll {
            std::uint64_t after = 0;
            HttpResponder responder;
            Rattandeck::TimerId timer;
        };

        void complete(const Json& body, const HttpResponder& responder);
        void answerLoad(const HttpResponder& responder);
        void onEvicted(const std::string& program);
        void publish(const std::string& program);
        void poll(std::uint64_t after, const HttpResponder& responder);
        void answerEvents(std::uint64_t after, const HttpResponder& responder);

        EventLoop& loop;
        EngineOptions options;
        EngineModel model;

        std::uint64_t evictions = 0;
        /// Number that the next published event gets.
        std::uint64_t nextEvent = 0;
        std::deque<std::string> events;
        std::map<std::uint64_t, Poll> polls;
        std::uint64_t lastPoll = 0;

        EngineLoad reportedLoad;
        std::optional<Rattandeck::TimePoint> reportedAt;
    };

    void Engine::handle(const HttpRequest& request, const HttpResponder& responder)
    {
        if (request.path == "/v1/load") {
            this->answerLoad(responder);
            return;
        }
        if (request.path == "/v1/events") {
            this->poll(queryNumber(request, "after", 0), responder);
            return;
        }
        const Json body = Json::parse(request.body, nullptr, false);
        if (request.method != "POST" || !body.is_object()) {
            answerError(responder, 400, "not a JSON object");
            return;
        }
        try {
            if (request.path == "/v1/completions") {
                this->complete(body, responder);
            } else if (request.path == "/v1/cancel") {
                this->model.cancel(body.at("request_id").get<std::string>());
                answer(responder, 200, Json::object());
            } else if (request.path == "/v1/release") {
                if (body.value("all", false))
                    this->model.releaseAll();
                else
                    this->model.release(body.at("program").get<std::string>());
                answer(responder, 200, Json::object());
            } else {
                answerError(responder, 404, "no such path");
            }
        } catch (const Json::exception& error) {
            answerError(responder, 400, error.what());
        }
    }

    // Completions ----------------------------------------------------------------------------------------------------

    void writeEvent(const HttpResponder& responder, const Json& data)
    {
        responder.write("data: " + data.dump() + "\n\n");
    }

    void Engine::complete(const Json& body, const HttpResponder& responder)
    {
        Completion completion;
        completion.id = body.at("request_id").get<std::string>();
        completion.program = body.at("program").get<std::string>();
        completion.prompt = body.at("prompt").get<std::string>();
        completion.promptTokens = body.at("prompt_tokens").get<std::int64_t>();
        completion.maxTokens = body.at("max_tokens").get<std::int64_t>();
        completion.priority = body.value("priority", 0.0);
        completion.onToken = [responder](const std::string& text, std::int64_t tokens) {
            writeEvent(responder, { { "text", text }, { "tokens", tokens } });
        };
        completion.onDone = [responder](std::int64_t output, std::int64_t cached, std::int64_t prefilled) {
            writeEvent(responder,
                { { "done", true }, { "output_tokens", output }, { "cached_tokens", cached },
                    { "prefilled_tokens", prefilled } });
            responder.write("data: [DONE]\n\n");
            responder.end();
        };
        const std::string id = completion.id;
        responder.onClosed([weak = this->weak_from_this(), id] {
            if (const auto self = weak.lock())
                self->model.cancel(id);
        });
        responder.begin(200, { { "content-type", "text/event-stream" } });
        if (!this->model.start(std::move(completion)))
            responder.abort();
    }

    void Engine::answerLoad(const HttpResponder& responder)
    {
        const auto now = this->loop.timers().now();
        if (!this->reportedAt || now - *this->reportedAt >= this->options.loadLag) {
            this->reportedAt = now;
            this->reportedLoad = this->model.load();
        }
        answer(responder, 200,
            { { "running", this->reportedLoad.running }, { "waiting", this->reportedLoad.waiting },
                { "cache_used", this->reportedLoad.cacheUsed },
                { "cache_capacity", this->reportedLoad.cacheCapacity } });
    }

    // Cache events ---------------------------------------------------------------------------------------------------

    void Engine::onEvicted(const std::string& program)
    {
        ++this->evictions;
        if (this->options.eventGap > 0 && this->evictions % this->options.eventGap == 0)
            return;
        this->loop.timers().subscribeAfter(this->options.eventDelay, [weak = this->weak_from_this(), program] {
            if (const auto self = weak.lock())
                self->publish(program);
        });
    }

    void Engine::publish(const std::string& program)
    {
        this->events.push_back(program);
        ++this->nextEvent;
        if (this->events.size() > maxStoredEvents)
            this->events.pop_front();
        const auto answered = std::move(this->polls);
        this->polls.clear();
        for (const auto& [id, poll] : answered) {
            this->loop.timers().cancel(poll.timer);
            this->answerEvents(poll.after, poll.responder);
        }
    }

    void Engine::poll(std::uint64_t after, const HttpResponder& responder)
    {
        // After a restart of this process, a client may ask for events beyond the last one. It gets the current number
        // at once instead of waiting.
        if (after != this->nextEvent) {
            this->answerEvents(after, responder);
            return;
        }
        const std::uint64_t id = ++this->lastPoll;
        const auto timer = this->loop.timers().subscribeAfter(pollTimeout, [weak = this->weak_from_this(), id] {
            const auto self = weak.lock();
            if (!self)
                return;
            const auto poll = self->polls.extract(id);
            if (!poll.empty())
                self->answerEvents(poll.mapped().after, poll.mapped().responder);
        });
        this->polls.emplace(id, Poll { after, responder, timer });
        responder.onClosed([weak = this->weak_from_this(), id, timer] {
            if (const auto self = weak.lock()) {
                self->loop.timers().cancel(timer);
                self->polls.erase(id);
            }
        });
    }

    void Engine::answerEvents(std::uint64_t after, const HttpResponder& responder)
    {
        const std::uint64_t first = this->nextEvent - this->events.size();
        Json dropped = Json::array();
        for (std::uint64_t number = std::max(after, first); number < this->nextEvent; ++number)
            dropped.push_back(this->events[number - first]);
        answer(responder, 200, { { "next", this->nextEvent }, { "dropped", dropped } });
    }

}

Mode makeEngine(EventLoop& loop, const EngineOptions& options)
{
    const auto engine = std::make_shared<Engine>(loop, options);
    const auto handle
        = [engine](const HttpRequest& request, const HttpResponder& responder) { engine->handle(request, responder); };
    return { handle, {} };
}

}
