#include "session.h"

#include <csignal>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

namespace {

constexpr Milliseconds callTimeout { 5000 };

}

struct Session::Impl {
    EventLoop loop;
};

Session::Session()
    : impl(std::make_unique<Impl>())
{
}

Session::~Session() = default;

ObjectOutcome Session::call(const Address& server, const ObjectRequest& request)
{
    ObjectClient client(this->impl->loop, server, callTimeout);
    ObjectOutcome outcome = tl::unexpected(ObjectError::NoAnswer);
    client.call(request, [&](ObjectOutcome answer) {
        outcome = std::move(answer);
        this->impl->loop.stop();
    });
    this->impl->loop.run();
    return outcome;
}

ObjectOutcome Session::remove(const Address& server, const ObjectKey& key, ObjectVersion expected)
{
    ObjectClient client(this->impl->loop, server, callTimeout);
    ObjectOutcome outcome = tl::unexpected(ObjectError::NoAnswer);
    client.remove(key, expected, [&](ObjectOutcome answer) {
        outcome = std::move(answer);
        this->impl->loop.stop();
    });
    this->impl->loop.run();
    return outcome;
}

tl::expected<HttpResponse, NetError> Session::get(
    const Address& server, const std::string& path, const std::string& parameter, const std::string& value)
{
    HttpClient client(this->impl->loop, server);
    HttpRequest request { "GET", path, {}, {}, {} };
    if (!parameter.empty())
        request.query[parameter] = value;
    tl::expected<HttpResponse, NetError> response = tl::unexpected(NetError::TimedOut);
    client.fetch(request, callTimeout, [&](tl::expected<HttpResponse, NetError> answer) {
        response = std::move(answer);
        this->impl->loop.stop();
    });
    this->impl->loop.run();
    return response;
}

void Session::watch(const Address& server, const std::function<void(const StoredObject&, ObjectVersion)>& changed)
{
    ObjectClient client(this->impl->loop, server, callTimeout);
    client.watch(ObjectVersion(0), changed);
    this->impl->loop.onSignal(SIGINT, [this] { this->impl->loop.stop(); });
    this->impl->loop.onSignal(SIGTERM, [this] { this->impl->loop.stop(); });
    this->impl->loop.run();
}
