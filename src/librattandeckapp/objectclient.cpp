#include "RattandeckApp/objectclient.h"

#include "RattandeckNet/http.h"

#include <nlohmann/json.hpp>

namespace RattandeckApp {

using namespace Rattandeck;
using namespace RattandeckNet;
using Json = nlohmann::json;

// JSON of the object API ---------------------------------------------------------------------------------------------

namespace {

    std::optional<std::uint64_t> unsignedField(const Json& object, const char* field)
    {
        const auto found = object.find(field);
        if (found == object.end() || !found->is_number_unsigned())
            return std::nullopt;
        return found->get<std::uint64_t>();
    }

    std::string textField(const Json& object, const char* field)
    {
        const auto found = object.find(field);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    std::optional<StoredObject> readObject(const Json& json)
    {
        const auto version = json.is_object() ? unsignedField(json, "version") : std::nullopt;
        if (!version)
            return std::nullopt;
        StoredObject object;
        object.key = { textField(json, "kind"), textField(json, "name") };
        object.version = ObjectVersion(*version);
        object.deleted = json.value("deleted", Json(false)) == Json(true);
        const auto value = json.find("value");
        if (value != json.end())
            object.value = value->dump();
        return object;
    }

    ObjectError errorOf(int status)
    {
        switch (status) {
        case 404:
            return ObjectError::NotFound;
        case 409:
            return ObjectError::Conflict;
        case 413:
            return ObjectError::TooLarge;
        case 503:
            return ObjectError::Unavailable;
        default:
            return ObjectError::Malformed;
        }
    }

    ObjectError errorOf(NetError error)
    {
        const bool neverSent
            = error == NetError::ConnectFailed || error == NetError::NotSent || error == NetError::BadAddress;
        return neverSent ? ObjectError::Unavailable : ObjectError::NoAnswer;
    }

    ObjectOutcome readOutcome(const tl::expected<HttpResponse, NetError>& response)
    {
        if (!response)
            return tl::unexpected(errorOf(response.error()));
        if (response->status != 200)
            return tl::unexpected(errorOf(response->status));
        const Json json = Json::parse(response->body, nullptr, false);
        const auto revision = json.is_object() ? unsignedField(json, "revision") : std::nullopt;
        if (!revision)
            return tl::unexpected(ObjectError::Malformed);
        ObjectResult result { ObjectVersion(*revision), {} };
        const auto listed = json.find("objects");
        if (listed == json.end()) {
            if (auto object = readObject(json))
                result.objects.push_back(std::move(*object));
            return result;
        }
        for (const Json& item : *listed) {
            if (auto object = readObject(item))
                result.objects.push_back(std::move(*object));
        }
        return result;
    }

    std::string pathOf(const ObjectKey& key) { return "/objects/" + key.kind + "/" + key.name; }

    HttpRequest toHttp(const ObjectGet& get) { return { "GET", pathOf(get.key), {}, {}, {} }; }

    HttpRequest toHttp(const ObjectList& list) { return { "GET", "/objects/" + list.kind, {}, {}, {} }; }

    HttpRequest toHttp(const ObjectPut& put)
    {
        return { "PUT", pathOf(put.key), { { "expected", std::to_string(put.expected.value) } },
            { { "content-type", "application/json" } }, put.value };
    }

}

// Calls and the watch ------------------------------------------------------------------------------------------------

struct ObjectClient::Impl : std::enable_shared_from_this<ObjectClient::Impl> {
    static constexpr Milliseconds watchRetryDelay { 500 };
    /// The API sends a line every second even if nothing has changed.
    static constexpr Milliseconds watchSilenceLimit { 5000 };
    static constexpr std::chrono::hours watchLife { 24 };

    EventLoop& loop;
    HttpClient client;
    std::chrono::milliseconds timeout;
    ObjectVersion watchedRevision;
    std::function<void(const StoredObject&, ObjectVersion)> changed;
    std::string watchBuffer;
    HttpClient::CallId watchCall = 0;
    TimerId watchTimer;

    Impl(EventLoop& eventLoop, Address server, std::chrono::milliseconds callTimeout)
        : loop(eventLoop)
        , client(eventLoop, std::move(server))
        , timeout(callTimeout)
    {
    }

    void send(const HttpRequest& request, std::function<void(ObjectOutcome)> done)
    {
        this->client.fetch(
            request, this->timeout, [done = std::move(done)](const tl::expected<HttpResponse, NetError>& response) {
                done(readOutcome(response));
            });
    }

    void startWatch()
    {
        const std::weak_ptr<Impl> weak = this->weak_from_this();
        this->watchBuffer.clear();
        const HttpRequest request { "GET", "/watch", { { "after", std::to_string(this->watchedRevision.value) } }, {},
            {} };
        HttpCallbacks callbacks;
        callbacks.onHead = [](int, const HttpHeaders&) {};
        callbacks.onData = [weak](std::string_view chunk) {
            if (const auto self = weak.lock())
                self->onWatchData(chunk);
        };
        callbacks.onEnd = [weak](const tl::expected<void, NetError>&) {
            if (const auto self = weak.lock())
                self->restartWatchAfter(watchRetryDelay);
        };
        this->watchCall = this->client.start(request, watchLife, std::move(callbacks));
        this->expectWatchData();
    }

    // Restarts a watch that has received nothing for `watchSilenceLimit`: its connection may be dead without an error.
    void expectWatchData()
    {
        this->loop.timers().cancel(this->watchTimer);
        this->watchTimer
            = this->loop.timers().subscribeAfter(watchSilenceLimit, [this] { this->restartWatchAfter({}); });
    }

    void restartWatchAfter(Milliseconds delay)
    {
        this->client.cancel(this->watchCall);
        this->loop.timers().cancel(this->watchTimer);
        this->watchTimer = this->loop.timers().subscribeAfter(delay, [this] { this->startWatch(); });
    }

    void onWatchData(std::string_view chunk)
    {
        this->expectWatchData();
        this->watchBuffer += chunk;
        std::size_t begin = 0;
        for (std::size_t end; (end = this->watchBuffer.find('\n', begin)) != std::string::npos; begin = end + 1)
            this->onWatchLine(std::string_view(this->watchBuffer).substr(begin, end - begin));
        this->watchBuffer.erase(0, begin);
    }

    void onWatchLine(std::string_view line)
    {
        const Json json = Json::parse(line, nullptr, false);
        const auto revision = json.is_object() ? unsignedField(json, "revision") : std::nullopt;
        if (!revision)
            return;
        this->watchedRevision = std::max(this->watchedRevision, ObjectVersion(*revision));
        if (const auto object = readObject(json))
            this->changed(*object, ObjectVersion(*revision));
    }
};

ObjectClient::ObjectClient(EventLoop& loop, Address server, std::chrono::milliseconds timeout)
    : impl(std::make_shared<Impl>(loop, std::move(server), timeout))
{
}

ObjectClient::~ObjectClient() { this->impl->loop.timers().cancel(this->impl->watchTimer); }

void ObjectClient::call(const ObjectRequest& request, std::function<void(ObjectOutcome)> done)
{
    const HttpRequest http = std::visit([](const auto& typed) { return toHttp(typed); }, request);
    const auto* put = std::get_if<ObjectPut>(&request);
    if (!put)
        return this->impl->send(http, std::move(done));
    // The response to an update has only the new version, so key and value are filled in from the request.
    this->impl->send(http, [key = put->key, value = put->value, done = std::move(done)](ObjectOutcome outcome) {
        if (outcome && !outcome->objects.empty()) {
            outcome->objects.front().key = key;
            outcome->objects.front().value = value;
        }
        done(std::move(outcome));
    });
}

void ObjectClient::remove(const ObjectKey& key, ObjectVersion expected, std::function<void(ObjectOutcome)> done)
{
    const HttpRequest request { "DELETE", pathOf(key), { { "expected", std::to_string(expected.value) } }, {}, {} };
    this->impl->send(request, std::move(done));
}

void ObjectClient::watch(ObjectVersion revision, std::function<void(const StoredObject&, ObjectVersion)> changed)
{
    this->impl->watchedRevision = revision;
    this->impl->changed = std::move(changed);
    this->impl->startWatch();
}

// Instance list ------------------------------------------------------------------------------------------------------

namespace {

    std::vector<ListedInstance> readInstances(const Json& json)
    {
        std::vector<ListedInstance> instances;
        for (const Json& item : json) {
            if (!item.is_object())
                continue;
            ListedInstance instance;
            instance.node = NodeId(textField(item, "node"));
            instance.address = textField(item, "address");
            instance.domain = FailureDomain(textField(item, "domain"));
            instance.service = ServiceName(textField(item, "service"));
            instance.leaving = item.value("leaving", Json(false)) == Json(true);
            instances.push_back(std::move(instance));
        }
        return instances;
    }

}

struct InstanceListClient::Impl : std::enable_shared_from_this<InstanceListClient::Impl> {
    EventLoop& loop;
    HttpClient client;
    std::chrono::milliseconds interval;
    std::function<void(const std::vector<ListedInstance>&)> changed;
    TimerId timer;

    Impl(EventLoop& eventLoop, Address server)
        : loop(eventLoop)
        , client(eventLoop, std::move(server))
    {
    }

    void poll()
    {
        this->timer = this->loop.timers().subscribeAfter(this->interval, [this] { this->poll(); });
        const std::weak_ptr<Impl> weak = this->weak_from_this();
        this->client.fetch({ "GET", "/instances", {}, {}, {} }, this->interval,
            [weak](const tl::expected<HttpResponse, NetError>& response) {
                const auto self = weak.lock();
                if (!self || !response || response->status != 200)
                    return;
                const Json json = Json::parse(response->body, nullptr, false);
                if (json.is_array())
                    self->changed(readInstances(json));
            });
    }
};

InstanceListClient::InstanceListClient(EventLoop& loop, Address server, std::chrono::milliseconds interval,
    std::function<void(const std::vector<ListedInstance>&)> changed)
    : impl(std::make_shared<Impl>(loop, std::move(server)))
{
    this->impl->interval = interval;
    this->impl->changed = std::move(changed);
    this->impl->poll();
}

InstanceListClient::~InstanceListClient() { this->impl->loop.timers().cancel(this->impl->timer); }

}
