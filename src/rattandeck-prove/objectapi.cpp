#include "objectapi.h"

#include "Rattandeck/config.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds minDelay { 1 };
    constexpr Milliseconds maxDelay { 6 };
    constexpr Milliseconds callTimeout { 1000 };
    constexpr Milliseconds latestEffect { 2500 };
    constexpr Milliseconds watchDelay { 30 };
    constexpr Milliseconds lateWatchDelay { 4000 };

}

FakeObjectApi::FakeObjectApi(World& world, Cluster& cluster)
    : world(world)
    , chance(world.chanceFor(4))
    , cluster(cluster)
{
}

// Calls ------------------------------------------------------------------------------------------------------------

void FakeObjectApi::call(Process& process, std::uint64_t request, const ObjectRequest& body)
{
    const Life life = process.life;
    const std::uint32_t index = process.index;
    this->world.after(this->chance.between(minDelay, maxDelay), [this, &process, life, index, request, body] {
        const Duration back = this->chance.between(minDelay, maxDelay);
        if (!this->reaches(index)) {
            const bool silent = this->chance.happens(0.5);
            return this->answer(process, life, request,
                tl::unexpected(silent ? ObjectError::NoAnswer : ObjectError::Unavailable),
                silent ? Duration(callTimeout) : back);
        }
        if (this->losing == 0 || this->chance.happens(0.5))
            return this->answer(process, life, request, this->execute(body), back);
        // The answer is lost. The request is lost too, takes effect at once, or takes effect late, possibly after the
        // call's timeout.
        this->answer(process, life, request, tl::unexpected(ObjectError::NoAnswer), callTimeout);
        switch (this->chance.below(3)) {
        case 0:
            return;
        case 1:
            this->execute(body);
            return;
        default:
            this->world.after(this->chance.between(maxDelay, latestEffect), [this, body] {
                if (this->isUp())
                    this->execute(body);
            });
        }
    });
}

void FakeObjectApi::answer(Process& process, Life life, std::uint64_t request, ObjectOutcome outcome, Duration delay)
{
    this->world.after(delay, [this, &process, life, request, outcome = std::move(outcome)] {
        this->cluster.deliver(
            process, life, [&process, request, outcome] { process.entry->onObjectOutcome(request, outcome); });
    });
}

ObjectOutcome FakeObjectApi::execute(const ObjectRequest& body)
{
    ObjectResult result { this->revision, {} };
    if (const auto* get = std::get_if<ObjectGet>(&body)) {
        const auto found = this->objects.find(get->key);
        if (found == this->objects.end() || found->second.deleted)
            return tl::unexpected(ObjectError::NotFound);
        result.objects.push_back(found->second);
        return result;
    }
    if (const auto* list = std::get_if<ObjectList>(&body)) {
        for (const auto& [key, object] : this->objects) {
            if (key.kind == list->kind && !object.deleted)
                result.objects.push_back(object);
        }
        return result;
    }
    return this->put(std::get<ObjectPut>(body));
}

ObjectOutcome FakeObjectApi::put(const ObjectPut& body)
{
    if (this->versionOf(body.key) != body.expected)
        return tl::unexpected(ObjectError::Conflict);
    const StoredObject object { body.key, ObjectVersion(++this->revision.value), false, body.value };
    this->objects[body.key] = object;
    this->world.note("store: " + body.key.kind + "/" + body.key.name + " = " + body.value);
    if (isConfigKind(body.key.kind))
        this->world.record(ConfigAccepted { body.key, object.version });
    this->notify(object);
    return ObjectResult { this->revision, { object } };
}

bool FakeObjectApi::putByOperator(const ObjectKey& key, ObjectVersion expected, const std::string& value)
{
    return this->isUp() && this->put({ key, expected, value }).has_value();
}

ObjectVersion FakeObjectApi::versionOf(const ObjectKey& key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? ObjectVersion() : found->second.version;
}

// Watches ----------------------------------------------------------------------------------------------------------

void FakeObjectApi::notify(const StoredObject& object)
{
    for (std::uint32_t i = 0; i < entryCount; ++i) {
        Process& process = this->cluster.at(i);
        if (!process.alive)
            continue;
        if (this->reaches(i))
            this->notifyOne(process, object);
        else
            this->missed.at(i).insert(object.key);
    }
}

void FakeObjectApi::notifyOne(Process& process, const StoredObject& object)
{
    const Life life = process.life;
    const Duration delay
        = this->chance.between(minDelay, this->late > 0 && this->chance.happens(0.5) ? lateWatchDelay : watchDelay);
    this->world.after(delay, [this, &process, life, object, seen = this->revision] {
        // The watch ends when the connection is lost; events in flight are sent again after the reconnection.
        if (!this->reaches(process.index)) {
            this->missed.at(process.index).insert(object.key);
            return;
        }
        this->cluster.deliver(
            process, life, [&process, object, seen] { process.entry->onObjectChanged(object, seen); });
    });
}

void FakeObjectApi::catchUp(std::uint32_t index)
{
    if (!this->reaches(index))
        return;
    std::set<ObjectKey> keys;
    keys.swap(this->missed.at(index));
    Process& process = this->cluster.at(index);
    if (!process.alive)
        return;
    for (const ObjectKey& key : keys)
        this->notifyOne(process, this->objects.at(key));
}

void FakeObjectApi::endOutage()
{
    --this->outages;
    for (std::uint32_t i = 0; i < entryCount; ++i)
        this->catchUp(i);
}

void FakeObjectApi::endCut(std::uint32_t index)
{
    --this->cuts.at(index);
    if (index < entryCount)
        this->catchUp(index);
}

}
