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
    const bool unreachable = !outcome
        && (outcome.error() == ObjectError::Unavailable || outcome.error() == ObjectError::NoAnswer);
    this->noteStore(!unreachable);
    done(outcome);
}

void EntryCore::Impl::noteStore(bool reachable)
{
    const bool back = reachable && !this->storeReachable;
    this->storeReachable = reachable;
    if (!back)
        return;
    // Holders could not renew during the outage either, so their leases count anew.
    for (auto& [entry, lease] : this->observed) {
        if (!lease.lease.released)
            lease.firstSeen = this->now();
    }
    for (auto& [entry, since] : this->homeMissingSince)
        since = this->now();
}

void EntryCore::Impl::onObjectChanged(const StoredObject& object)
{
    if (object.key.kind == "lease")
        this->observeLease(object);
    else if (object.key.kind == "member")
        this->memberSeen(object);
    else if (object.key.kind == "shardmap") {
        const auto newer = parseShardMap(object.value, object.version);
        if (newer && !object.deleted)
            this->applyMap(*newer);
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
    this->listConfig(0);
}

void EntryCore::Impl::listConfig(std::size_t kind)
{
    if (kind == std::size(configKinds)) {
        this->configListed = true;
        return;
    }
    this->callObjects(ObjectList { std::string(configKinds[kind]) }, [this, kind](const ObjectOutcome& outcome) {
        if (!outcome && outcome.error() != ObjectError::NotFound)
            return;
        if (outcome)
            this->configChanged(
                this->config.applyList(configKinds[kind], outcome->objects, outcome->revision), {});
        this->listConfig(kind + 1);
    });
}

bool EntryCore::Impl::configKnown() const { return this->configListed || this->config.revision().value != 0; }

void EntryCore::Impl::configChanged(const std::vector<ConfigObject>& changed, const NodeId& from)
{
    if (changed.empty())
        return;
    for (const ConfigObject& object : changed) {
        if (object.kind != "quarantine")
            continue;
        const nlohmann::json json = nlohmann::json::parse(object.value, nullptr, false);
        const std::uint64_t crashes = json.is_object() ? json.value("crashes", std::uint64_t { 0 }) : 0;
        const Digest fingerprint(object.name);
        if (!object.deleted && crashes >= this->settings.crashLimit)
            this->quarantined.insert(fingerprint);
        else
            this->quarantined.erase(fingerprint);
    }
    const ConfigUpdate update { this->config.revision(), changed };
    for (const auto& [id, node] : this->nodes) {
        if (node.linked && id != from)
            this->sendConfig(id, update);
    }
}

void EntryCore::Impl::sendConfig(const NodeId& to, const ConfigUpdate& update) { this->send(to, update); }

// Requests that crash endpoints ------------------------------------------------------------------------------------

bool EntryCore::Impl::isQuarantined(const Digest& fingerprint) const { return this->quarantined.contains(fingerprint); }

void EntryCore::Impl::noteCrash(const Digest& fingerprint, const ServiceName& service)
{
    const std::uint32_t crashes = ++this->crashCounts[fingerprint];
    if (crashes >= this->settings.crashLimit && this->quarantined.insert(fingerprint).second)
        this->log("request held", "fingerprint " + fingerprint.value + " crashed endpoints of " + service.value);
    this->writeQuarantine(fingerprint, service);
}

// The count lives in the store, so that crashes met by different entries add up and outlive them.
void EntryCore::Impl::writeQuarantine(const Digest& fingerprint, const ServiceName& service)
{
    const ObjectKey key { "quarantine", fingerprint.value };
    const auto again = [this, fingerprint, service] {
        this->after(reviewInterval, [this, fingerprint, service] { this->writeQuarantine(fingerprint, service); });
    };
    this->callObjects(ObjectGet { key }, [this, key, service, again](const ObjectOutcome& found) {
        if (!found && found.error() != ObjectError::NotFound)
            return again();
        ObjectVersion expected;
        std::uint64_t crashes = 0;
        if (found && !found->objects.empty()) {
            const StoredObject& stored = found->objects.front();
            const nlohmann::json json = nlohmann::json::parse(stored.value, nullptr, false);
            expected = stored.version;
            crashes = json.is_object() ? json.value("crashes", std::uint64_t { 0 }) : 0;
        }
        const nlohmann::json json { { "service", service.value }, { "crashes", crashes + 1 } };
        this->callObjects(ObjectPut { key, expected, json.dump() }, [this, again](const ObjectOutcome& written) {
            // A lost answer may count one crash twice, which only holds the request earlier.
            if (!written)
                return again();
            for (const StoredObject& object : written->objects)
                this->onObjectChanged(object);
        });
    });
}

}
