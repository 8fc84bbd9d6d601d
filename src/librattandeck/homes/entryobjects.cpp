#include "entryimpl.h"

#include <nlohmann/json.hpp>

namespace Rattandeck {

// Calls of the object API ------------------------------------------------------------------------------------------

void EntryCore::Impl::callObjects(const ObjectRequest& request, ObjectCallback done)
{
    const std::uint64_t id = ++this->lastObjectRequest;
    ++this->counters.objectCalls;
    this->objectCalls.emplace(id, std::move(done));
    this->after(this->settings.objectCallTimeout, [this, id] {
        if (this->objectCalls.contains(id))
            this->finishObjectCall(id, tl::unexpected(ObjectError::NoAnswer));
    });
    this->effects.callObjects(id, request);
}

void EntryCore::Impl::finishObjectCall(std::uint64_t request, const ObjectOutcome& outcome)
{
    const auto found = this->objectCalls.find(request);
    if (found == this->objectCalls.end())
        return;
    const ObjectCallback done = std::move(found->second);
    this->objectCalls.erase(found);
    const bool unreachable
        = !outcome && (outcome.error() == ObjectError::Unavailable || outcome.error() == ObjectError::NoAnswer);
    this->onStoreReachability(!unreachable);
    done(outcome);
}

void EntryCore::Impl::onStoreReachability(bool reachable)
{
    const bool isReachableAgain = reachable && !this->isStoreReachable;
    this->isStoreReachable = reachable;
    if (!isReachableAgain)
        return;
    // Holders could not renew during the outage either, so the time until their leases expire starts again.
    for (auto& [entry, lease] : this->observed) {
        if (!lease.lease.released)
            lease.firstSeen = this->now();
    }
    for (auto& [entry, since] : this->homeLeaseMissingSince)
        since = this->now();
}

void EntryCore::Impl::onObjectChanged(const StoredObject& object)
{
    if (object.key.kind == "lease")
        this->observeLease(object);
    else if (object.key.kind == "member")
        this->onMemberObject(object);
    else if (object.key.kind == "shardmap") {
        const auto newer = parseShardMap(object.value, object.version);
        if (newer && !object.deleted && newer->version > this->map.version) {
            this->mapText = object.value;
            this->applyMap(*newer);
        }
    } else if (isConfigKind(object.key.kind)) {
        const ConfigObject update { object.key.kind, object.key.name, object.version, object.deleted, object.value };
        if (this->config.apply(update))
            this->configChanged({ update }, {});
    }
}

// Configuration ----------------------------------------------------------------------------------------------------

void EntryCore::Impl::readConfig()
{
    this->configListedAt = this->now();
    this->listLeases();
    this->readMap([](bool) {});
    this->listConfig(0);
}

void EntryCore::Impl::listConfig(std::size_t kind)
{
    if (kind == std::size(configKinds)) {
        this->hasConfigList = true;
        return;
    }
    this->callObjects(ObjectList { std::string(configKinds[kind]) }, [this, kind](const ObjectOutcome& outcome) {
        if (!outcome && outcome.error() != ObjectError::NotFound)
            return;
        if (outcome)
            this->configChanged(this->config.applyList(configKinds[kind], outcome->objects, outcome->revision), {});
        this->listConfig(kind + 1);
    });
}

bool EntryCore::Impl::isConfigKnown() const { return this->hasConfigList || this->config.revision().value != 0; }

void EntryCore::Impl::configChanged(const std::vector<ConfigObject>& changed, const NodeId& from)
{
    if (changed.empty())
        return;
    for (const ConfigObject& object : changed) {
        if (object.kind != "quarantine") {
            this->policies.apply(object);
            continue;
        }
        const Digest fingerprint(object.name);
        if (!object.deleted)
            this->quarantined.insert(fingerprint);
        else {
            this->quarantined.erase(fingerprint);
            this->crashCounts.erase(fingerprint);
        }
    }
    const ConfigUpdate update { this->config.revision(), changed };
    for (const auto& [id, node] : this->nodes) {
        if (node.linked && id != from)
            this->sendConfig(id, update);
    }
}

void EntryCore::Impl::onConfigUpdate(const NodeId& from, const ConfigUpdate& update)
{
    for (const ConfigObject& object : update.objects) {
        if (object.kind == "shardmap" && !object.deleted)
            this->onObjectChanged({ { object.kind, object.name }, object.version, false, object.value });
    }
    this->configChanged(this->config.applyUpdate(update), from);
}

// An entry that starts while the object API is unreachable gets the shard map from its peers.
void EntryCore::Impl::sendMap(const NodeId& to)
{
    if (this->map.version.value == 0)
        return;
    const ConfigObject object { "shardmap", "main", this->map.version, false, this->mapText };
    this->send(to, ConfigUpdate { {}, { object } });
}

void EntryCore::Impl::sendConfig(const NodeId& to, const ConfigUpdate& update) { this->send(to, update); }

// Quarantine of requests -------------------------------------------------------------------------------------------

bool EntryCore::Impl::isQuarantined(const Digest& fingerprint) const { return this->quarantined.contains(fingerprint); }

void EntryCore::Impl::recordCrash(const Digest& fingerprint, const ServiceName& service)
{
    ++this->crashCounts[fingerprint];
    this->writeCrashCount(fingerprint, service);
    if (this->crashCounts[fingerprint] >= this->settings.crashLimit)
        this->writeQuarantine(fingerprint, service);
}

namespace {

    std::uint64_t crashCountIn(const ObjectOutcome& outcome)
    {
        if (!outcome || outcome->objects.empty())
            return 0;
        const nlohmann::json json = nlohmann::json::parse(outcome->objects.front().value, nullptr, false);
        const bool hasCount = json.is_object() && json.contains("crashes") && json["crashes"].is_number_unsigned();
        return hasCount ? json["crashes"].get<std::uint64_t>() : 0;
    }

}

// The count is kept in the store, so that crashes seen by different entries add up.
void EntryCore::Impl::writeCrashCount(const Digest& fingerprint, const ServiceName& service)
{
    const ObjectKey key { "crash", fingerprint.value };
    const auto retryLater = [this, fingerprint, service] {
        this->after(
            periodicCheckInterval, [this, fingerprint, service] { this->writeCrashCount(fingerprint, service); });
    };
    this->callObjects(ObjectGet { key }, [this, key, fingerprint, service, retryLater](const ObjectOutcome& found) {
        if (!found && found.error() != ObjectError::NotFound)
            return retryLater();
        const ObjectVersion expected
            = found && !found->objects.empty() ? found->objects.front().version : ObjectVersion(0);
        const std::uint64_t crashes = crashCountIn(found) + 1;
        const nlohmann::json json { { "service", service.value }, { "crashes", crashes } };
        this->callObjects(ObjectPut { key, expected, json.dump() },
            [this, fingerprint, service, crashes, retryLater](const ObjectOutcome& written) {
                // If a response is lost, one crash may be counted twice, which only quarantines the request earlier.
                if (!written)
                    return retryLater();
                if (crashes >= this->settings.crashLimit)
                    this->writeQuarantine(fingerprint, service);
            });
    });
}

void EntryCore::Impl::writeQuarantine(const Digest& fingerprint, const ServiceName& service)
{
    if (this->quarantined.insert(fingerprint).second)
        this->log("request held", "fingerprint " + fingerprint.value + " crashed endpoints of " + service.value);
    const ObjectKey key { "quarantine", fingerprint.value };
    if (this->config.find(key))
        return;
    const nlohmann::json json { { "service", service.value } };
    this->callObjects(
        ObjectPut { key, ObjectVersion(0), json.dump() }, [this, fingerprint, service](const ObjectOutcome& written) {
            if (written) {
                for (const StoredObject& object : written->objects)
                    this->onObjectChanged(object);
                return;
            }
            if (written.error() == ObjectError::Conflict)
                return;
            this->after(
                periodicCheckInterval, [this, fingerprint, service] { this->writeQuarantine(fingerprint, service); });
        });
}

}
