// Object API: versioned objects, conditional updates, watches.

#include "standin.h"

#include <fstream>
#include <map>
#include <memory>

namespace RattandeckStandin {

constexpr std::size_t maxValueBytes = 1'000'000;
constexpr std::chrono::seconds heartbeatInterval { 1 };

namespace {

    struct Object {
        std::string kind;
        std::string name;
        std::uint64_t version = 0;
        bool deleted = false;
        /// The value as JSON text.
        std::string value = "null";
    };

    using ObjectName = std::pair<std::string, std::string>;

    class ObjectStore : public std::enable_shared_from_this<ObjectStore> {
    public:
        ObjectStore(EventLoop& loop, Faults& faults, const ObjectsOptions& options)
            : loop(loop)
            , faults(faults)
        {
            this->load(options.dataFile);
        }

        void start() { this->scheduleHeartbeat(); }
        void handle(const HttpRequest& request, const HttpResponder& responder);
        void onFaultsChanged();

    private:
        void get(const ObjectName& name, const HttpResponder& responder);
        void list(const std::string& kind, const HttpResponder& responder);
        void put(const ObjectName& name, const HttpRequest& request, const HttpResponder& responder);
        void remove(const ObjectName& name, const HttpRequest& request, const HttpResponder& responder);
        void watch(std::uint64_t after, const HttpResponder& responder);
        void answerStats(const HttpResponder& responder);

        bool isExpectedVersion(const ObjectName& name, const HttpRequest& request);
        void update(const ObjectName& name, bool deleted, std::string value, const HttpResponder& responder);
        void load(const std::string& dataFile);
        void scheduleHeartbeat();
        void notifyWatches(const Json& line);

        EventLoop& loop;
        Faults& faults;
        std::uint64_t revision = 0;
        std::map<ObjectName, Object> objects;
        std::map<std::uint64_t, HttpResponder> watches;
        std::uint64_t lastWatch = 0;
        std::ofstream journal;
        std::uint64_t gets = 0;
        std::uint64_t puts = 0;
        std::uint64_t lists = 0;
        std::uint64_t conflicts = 0;
    };

    Json toJson(const Object& object)
    {
        return { { "kind", object.kind }, { "name", object.name }, { "version", object.version },
            { "deleted", object.deleted }, { "value", Json::parse(object.value, nullptr, false) } };
    }

    Json toChange(const Object& object)
    {
        Json change = toJson(object);
        change["revision"] = object.version;
        return change;
    }

    // Requests -------------------------------------------------------------------------------------------------------

    void ObjectStore::handle(const HttpRequest& request, const HttpResponder& responder)
    {
        static const std::string prefix = "/objects/";
        if (request.path == "/watch") {
            this->watch(queryNumber(request, "after", 0), responder);
            return;
        }
        if (request.path == "/stats") {
            this->answerStats(responder);
            return;
        }
        if (!request.path.starts_with(prefix)) {
            answerError(responder, 404, "no such path");
            return;
        }
        const std::string rest = request.path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        if (slash == std::string::npos) {
            this->list(rest, responder);
            return;
        }
        const ObjectName name { rest.substr(0, slash), rest.substr(slash + 1) };
        if (request.method == "GET")
            this->get(name, responder);
        else if (request.method == "PUT")
            this->put(name, request, responder);
        else if (request.method == "DELETE")
            this->remove(name, request, responder);
        else
            answerError(responder, 405, "no such method");
    }

    void ObjectStore::get(const ObjectName& name, const HttpResponder& responder)
    {
        ++this->gets;
        const auto found = this->objects.find(name);
        if (found == this->objects.end() || found->second.deleted) {
            answer(responder, 404, { { "revision", this->revision } });
            return;
        }
        Json body = toJson(found->second);
        body["revision"] = this->revision;
        answer(responder, 200, body);
    }

    void ObjectStore::list(const std::string& kind, const HttpResponder& responder)
    {
        ++this->lists;
        Json listed = Json::array();
        for (const auto& [name, object] : this->objects) {
            if (object.kind == kind && !object.deleted)
                listed.push_back(toJson(object));
        }
        answer(responder, 200, { { "revision", this->revision }, { "objects", listed } });
    }

    bool ObjectStore::isExpectedVersion(const ObjectName& name, const HttpRequest& request)
    {
        const auto found = this->objects.find(name);
        const bool exists = found != this->objects.end() && !found->second.deleted;
        const std::uint64_t version = exists ? found->second.version : 0;
        // Without the parameter, no version matches: unconditional updates are rejected.
        const bool isEqual = request.query.contains("expected") && queryNumber(request, "expected", ~0UL) == version;
        if (!isEqual)
            ++this->conflicts;
        return isEqual;
    }

    void ObjectStore::put(const ObjectName& name, const HttpRequest& request, const HttpResponder& responder)
    {
        ++this->puts;
        if (request.body.size() > maxValueBytes)
            answerError(responder, 413, "value too large");
        else if (!Json::accept(request.body))
            answerError(responder, 400, "value is not JSON");
        else if (!this->isExpectedVersion(name, request))
            answerError(responder, 409, "another version");
        else
            this->update(name, false, request.body, responder);
    }

    void ObjectStore::remove(const ObjectName& name, const HttpRequest& request, const HttpResponder& responder)
    {
        ++this->puts;
        const auto found = this->objects.find(name);
        if (found == this->objects.end() || found->second.deleted)
            answerError(responder, 404, "no such object");
        else if (!this->isExpectedVersion(name, request))
            answerError(responder, 409, "another version");
        else
            this->update(name, true, "null", responder);
    }

    void ObjectStore::update(const ObjectName& name, bool deleted, std::string value, const HttpResponder& responder)
    {
        Object& object = this->objects[name];
        object = { name.first, name.second, ++this->revision, deleted, std::move(value) };
        if (this->journal.is_open())
            this->journal << toChange(object).dump() << std::endl;
        if (consumeFault(this->faults.dropAnswers))
            responder.abort();
        else
            answer(responder, 200, { { "version", object.version }, { "revision", this->revision } });
        this->notifyWatches(toChange(object));
    }

    void ObjectStore::answerStats(const HttpResponder& responder)
    {
        answer(responder, 200,
            { { "gets", this->gets }, { "puts", this->puts }, { "lists", this->lists },
                { "conflicts", this->conflicts }, { "watches", this->watches.size() },
                { "revision", this->revision } });
    }

    // Watches --------------------------------------------------------------------------------------------------------

    void ObjectStore::watch(std::uint64_t after, const HttpResponder& responder)
    {
        std::map<std::uint64_t, const Object*> changes;
        for (const auto& [name, object] : this->objects) {
            if (object.version > after)
                changes.emplace(object.version, &object);
        }
        responder.begin(200, { { "content-type", "application/x-ndjson" } });
        for (const auto& [version, object] : changes)
            responder.write(toChange(*object).dump() + "\n");
        responder.write(Json { { "revision", this->revision } }.dump() + "\n");

        const std::uint64_t id = ++this->lastWatch;
        this->watches.emplace(id, responder);
        responder.onClosed([weak = this->weak_from_this(), id] {
            if (const auto self = weak.lock())
                self->watches.erase(id);
        });
    }

    void ObjectStore::notifyWatches(const Json& line)
    {
        const std::string text = line.dump() + "\n";
        for (const auto& [id, responder] : this->watches)
            responder.write(text);
    }

    void ObjectStore::scheduleHeartbeat()
    {
        this->loop.timers().subscribeAfter(heartbeatInterval, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->notifyWatches({ { "revision", self->revision } });
            self->scheduleHeartbeat();
        });
    }

    void ObjectStore::onFaultsChanged()
    {
        if (!this->faults.down && !this->faults.close)
            return;
        for (const auto& [id, responder] : this->watches)
            responder.abort();
        this->watches.clear();
    }

    // Journal --------------------------------------------------------------------------------------------------------

    void ObjectStore::load(const std::string& dataFile)
    {
        if (dataFile.empty())
            return;
        std::ifstream input(dataFile);
        std::string line;
        while (std::getline(input, line)) {
            const Json change = Json::parse(line, nullptr, false);
            // A crash may have truncated the last line.
            if (change.is_discarded())
                break;
            Object object { change.at("kind"), change.at("name"), change.at("version"), change.at("deleted"),
                change.at("value").dump() };
            this->revision = object.version;
            const ObjectName name { object.kind, object.name };
            this->objects[name] = std::move(object);
        }
        this->journal.open(dataFile, std::ios::app);
    }

}

Mode makeObjects(EventLoop& loop, Faults& faults, const ObjectsOptions& options)
{
    const auto store = std::make_shared<ObjectStore>(loop, faults, options);
    store->start();
    return { [store](const HttpRequest& request, const HttpResponder& responder) { store->handle(request, responder); },
        [store] { store->onFaultsChanged(); } };
}

}
