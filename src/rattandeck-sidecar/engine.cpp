#include "endpoint.h"

#include <nlohmann/json.hpp>

#include <map>

using namespace Rattandeck;
using namespace RattandeckNet;

namespace {

using Json = nlohmann::json;

constexpr Milliseconds controlTimeout { 5000 };
// Requests for cache events are long polls: the engine answers after some time even when there are no events.
constexpr Milliseconds eventsTimeout { 60000 };
// Maximum length of a line in a stream; a longer line is treated as malformed.
constexpr std::size_t maxLineBytes = 1024UL * 1024;
constexpr std::uint32_t maxReleaseAttempts = 20;

// Value of an integer field, or 0 when it is missing or not an integer.
std::int64_t numberField(const Json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

std::string textField(const Json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// State of a completion that is being streamed.
struct Completion {
    HttpClient::CallId http = 0;
    std::string partialLine;
    EndpointResult result;
    bool done = false;
    bool malformed = false;
    int status = 0;
};

class Engine : public std::enable_shared_from_this<Engine> {
public:
    Engine(EventLoop& eventLoop, EndpointSettings endpointSettings, EndpointHandlers endpointHandlers)
        : loop(eventLoop)
        , settings(std::move(endpointSettings))
        , handlers(std::move(endpointHandlers))
        , completionsClient(eventLoop, this->settings.address, this->settings.maxConnections)
        , controlClient(eventLoop, this->settings.address)
    {
    }

    void start(const EndpointCall& call)
    {
        const OrderId id = call.order;
        Json body { { "request_id", this->requestId(id) }, { "program", toString(call.program) },
            { "prompt", call.prompt }, { "prompt_tokens", call.promptTokens.value },
            { "max_tokens", call.maxOutputTokens.value }, { "priority", call.priority }, { "stream", true } };
        HttpRequest request = this->post("/v1/completions", body);
        request.headers.merge(fenceHeaders(this->settings, call));

        HttpCallbacks callbacks;
        callbacks.onHead = [this, id](int status, const HttpHeaders&) { this->onHead(id, status); };
        callbacks.onData = [this, id](std::string_view chunk) { this->onData(id, chunk); };
        callbacks.onEnd = [this, id](tl::expected<void, NetError> end) { this->onEnd(id, end); };
        this->completions[id].http = this->completionsClient.start(request, call.timeLeft, std::move(callbacks));
    }

    void cancel(OrderId id)
    {
        const auto found = this->completions.find(id);
        if (found == this->completions.end())
            return;
        this->completionsClient.cancel(found->second.http);
        this->completions.erase(found);
        this->cancelAtEngine(id);
    }

    void release(const ProgramId& program) { this->postRelease({ { "program", toString(program) } }, 1); }

    void releaseAll() { this->postRelease({ { "all", true } }, 1); }

    // Polls for cache events as long as the engine object exists.
    void pollEvents()
    {
        HttpRequest request { "GET", "/v1/events" };
        request.query["after"] = std::to_string(this->nextEvent);
        this->controlClient.fetch(request, eventsTimeout, [this](const tl::expected<HttpResponse, NetError>& response) {
            if (response && response->status == 200 && this->handleEvents(response->body))
                return this->loop.post(this->guarded([this] { this->pollEvents(); }));
            this->retryLater([this] { this->pollEvents(); });
        });
    }

private:
    std::string requestId(OrderId id) const { return this->settings.requestPrefix + "-" + std::to_string(id.value); }

    HttpRequest post(const std::string& path, const Json& body) const
    {
        HttpRequest request { "POST", path };
        request.headers["content-type"] = "application/json";
        // Invalid UTF-8 is replaced, because the engine could not decode it either.
        request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        return request;
    }

    std::function<void()> guarded(std::function<void()> task)
    {
        return [self = this->weak_from_this(), task = std::move(task)] {
            if (const auto alive = self.lock())
                task();
        };
    }

    void retryLater(std::function<void()> task)
    {
        this->loop.timers().subscribeAfter(this->settings.retryDelay, this->guarded(std::move(task)));
    }

    void postRelease(const Json& body, std::uint32_t attempt)
    {
        this->controlClient.fetch(this->post("/v1/release", body), controlTimeout,
            [this, body, attempt](const tl::expected<HttpResponse, NetError>& response) {
                const bool succeeded = response && response->status >= 200 && response->status < 300;
                if (!succeeded && attempt < maxReleaseAttempts)
                    this->retryLater([this, body, attempt] { this->postRelease(body, attempt + 1); });
            });
    }

    void cancelAtEngine(OrderId id)
    {
        this->controlClient.fetch(this->post("/v1/cancel", { { "request_id", this->requestId(id) } }), controlTimeout,
            [](const tl::expected<HttpResponse, NetError>&) {});
    }

    // Completions --------------------------------------------------------------------------------------------------

    void onHead(OrderId id, int status) { this->completions.at(id).status = status; }

    void onData(OrderId id, std::string_view chunk)
    {
        Completion& completion = this->completions.at(id);
        if (completion.status != 200 || completion.done || completion.malformed)
            return;
        completion.partialLine += chunk;
        std::size_t begin = 0;
        for (;;) {
            const std::size_t end = completion.partialLine.find('\n', begin);
            if (end == std::string::npos)
                break;
            std::string line = completion.partialLine.substr(begin, end - begin);
            if (line.ends_with('\r'))
                line.pop_back();
            begin = end + 1;
            this->onLine(id, completion, line);
            // The handler may have cancelled the call.
            if (!this->completions.contains(id))
                return;
        }
        completion.partialLine.erase(0, begin);
        if (completion.partialLine.size() > maxLineBytes)
            completion.malformed = true;
    }

    void onLine(OrderId id, Completion& completion, const std::string& line)
    {
        constexpr std::string_view prefix = "data: ";
        if (!line.starts_with(prefix) || completion.done)
            return;
        const Json event = Json::parse(line.begin() + prefix.size(), line.end(), nullptr, false);
        if (!event.is_object() || event.contains("error")) {
            completion.malformed = true;
            return;
        }
        if (event.contains("done")) {
            completion.done = true;
            completion.result.outputTokens = TokenCount(numberField(event, "output_tokens"));
            completion.result.cachedTokens = TokenCount(numberField(event, "cached_tokens"));
            completion.result.prefilledTokens = TokenCount(numberField(event, "prefilled_tokens"));
            return;
        }
        const std::string text = textField(event, "text");
        completion.result.output += text;
        this->handlers.onTokens(id, text, TokenCount(numberField(event, "tokens")));
    }

    void onEnd(OrderId id, tl::expected<void, NetError> end)
    {
        const auto found = this->completions.find(id);
        if (found == this->completions.end())
            return;
        const Completion completion = std::move(found->second);
        this->completions.erase(found);
        if (completion.done && !completion.malformed)
            return this->handlers.onFinished(id, completion.result);
        if (!end) {
            if (end.error() == NetError::TimedOut)
                this->cancelAtEngine(id);
            return this->handlers.onFailed(id, failureOf(end.error()));
        }
        if (completion.status != 200)
            return this->handlers.onFailed(id, failureOf(completion.status));
        this->handlers.onFailed(id, EndpointFailure::Error);
    }

    // Cache events -------------------------------------------------------------------------------------------------

    // Returns false when the answer is malformed.
    bool handleEvents(const std::string& body)
    {
        const Json answer = Json::parse(body, nullptr, false);
        if (!answer.is_object() || !answer.contains("dropped") || !answer["dropped"].is_array())
            return false;
        this->nextEvent = numberField(answer, "next");
        for (const Json& name : answer["dropped"]) {
            ProgramId program;
            if (name.is_string() && parseProgramId(name.get<std::string>(), program))
                this->handlers.onPrefixEvicted(program);
        }
        return true;
    }

    EventLoop& loop;
    EndpointSettings settings;
    EndpointHandlers handlers;
    HttpClient completionsClient;
    HttpClient controlClient;
    std::map<OrderId, Completion> completions;
    std::int64_t nextEvent = 0;
};

}

Endpoint makeEngine(EventLoop& loop, EndpointSettings settings, EndpointHandlers handlers)
{
    const auto engine = std::make_shared<Engine>(loop, std::move(settings), std::move(handlers));
    engine->pollEvents();
    Endpoint endpoint;
    endpoint.start = [engine](const EndpointCall& call) { engine->start(call); };
    endpoint.cancel = [engine](OrderId id) { engine->cancel(id); };
    endpoint.release = [engine](ProgramId program) { engine->release(program); };
    endpoint.releaseAll = [engine] { engine->releaseAll(); };
    return endpoint;
}
