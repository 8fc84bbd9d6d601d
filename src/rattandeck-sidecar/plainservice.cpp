#include "endpoint.h"

#include <map>

using namespace Rattandeck;
using namespace RattandeckNet;

namespace {

class PlainService {
public:
    PlainService(EventLoop& loop, EndpointSettings endpointSettings, EndpointHandlers endpointHandlers)
        : settings(std::move(endpointSettings))
        , handlers(std::move(endpointHandlers))
        , client(loop, this->settings.address, this->settings.maxConnections)
    {
    }

    void start(const EndpointCall& call)
    {
        HttpRequest request { "POST", "/call" };
        request.headers = fenceHeaders(this->settings, call);
        request.headers["content-type"] = "application/octet-stream";
        if (!call.key.value.empty())
            request.headers["idempotency-key"] = call.key.value;
        request.body = call.prompt;
        const OrderId id = call.order;
        this->running[id] = this->client.fetch(request, call.timeLeft,
            [this, id](const tl::expected<HttpResponse, NetError>& response) { this->finish(id, response); });
    }

    void cancel(OrderId id)
    {
        const auto found = this->running.find(id);
        if (found == this->running.end())
            return;
        this->client.cancel(found->second);
        this->running.erase(found);
    }

private:
    void finish(OrderId id, const tl::expected<HttpResponse, NetError>& response)
    {
        this->running.erase(id);
        if (!response)
            return this->handlers.onFailed(id, failureOf(response.error()));
        const bool succeeded = response->status >= 200 && response->status < 300;
        if (!succeeded)
            return this->handlers.onFailed(id, failureOf(response->status));
        this->handlers.onFinished(id, { response->body });
    }

    EndpointSettings settings;
    EndpointHandlers handlers;
    HttpClient client;
    std::map<OrderId, HttpClient::CallId> running;
};

}

Endpoint makePlainService(EventLoop& loop, EndpointSettings settings, EndpointHandlers handlers)
{
    const auto service = std::make_shared<PlainService>(loop, std::move(settings), std::move(handlers));
    Endpoint endpoint;
    endpoint.start = [service](const EndpointCall& call) { service->start(call); };
    endpoint.cancel = [service](OrderId id) { service->cancel(id); };
    endpoint.release = [](ProgramId) {};
    endpoint.releaseAll = [] {};
    return endpoint;
}
