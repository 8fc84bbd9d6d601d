#include "lease.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Rattandeck {

// Stored object ----------------------------------------------------------------------------------------------------

std::string formatLease(const LeaseObject& lease)
{
    nlohmann::json json { { "entry", lease.entry.value }, { "incarnation", lease.incarnation.value },
        { "durationMs", lease.duration.count() }, { "domain", lease.domain.value }, { "address", lease.address },
        { "completeThrough", lease.completeThrough.value }, { "renewal", lease.renewal } };
    json["guarantors"] = nlohmann::json::array();
    for (const NodeId& grantor : lease.grantors)
        json["guarantors"].push_back(grantor.value);
    if (lease.released)
        json["released"] = true;
    if (lease.revoked)
        json["broken"] = true;
    return json.dump();
}

tl::expected<LeaseObject, ObjectError> parseLease(const std::string& value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object())
        return tl::unexpected(ObjectError::Malformed);
    try {
        LeaseObject lease;
        lease.entry = NodeId(json.at("entry").get<std::string>());
        lease.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
        lease.duration = Milliseconds(json.at("durationMs").get<std::int64_t>());
        lease.domain = FailureDomain(json.value("domain", ""));
        lease.address = json.value("address", "");
        for (const nlohmann::json& grantor : json.value("guarantors", nlohmann::json::array()))
            lease.grantors.emplace_back(grantor.get<std::string>());
        lease.completeThrough = ObjectVersion(json.value("completeThrough", std::uint64_t { 0 }));
        lease.renewal = json.value("renewal", std::uint64_t { 0 });
        lease.released = json.value("released", false);
        lease.revoked = json.value("broken", false);
        return lease;
    } catch (const nlohmann::json::exception&) {
        return tl::unexpected(ObjectError::Malformed);
    }
}

// Holder -----------------------------------------------------------------------------------------------------------

std::size_t quorumSize(std::size_t grantors) { return grantors / 2 + 1; }

namespace {

    TimePoint majorityPromisedUntil(
        const std::vector<PromiseGrantor>& grantors, const std::map<NodeId, TimePoint>& promises)
    {
        std::vector<TimePoint> ends;
        for (const PromiseGrantor& grantor : grantors) {
            const auto found = promises.find(grantor.node);
            if (found != promises.end())
                ends.push_back(found->second);
        }
        const std::size_t needed = quorumSize(grantors.size());
        if (grantors.empty() || ends.size() < needed)
            return {};
        std::sort(ends.rbegin(), ends.rend());
        return ends[needed - 1];
    }

    bool containsGrantor(const std::vector<PromiseGrantor>& grantors, const NodeId& node, Incarnation incarnation)
    {
        return std::any_of(grantors.begin(), grantors.end(),
            [&](const PromiseGrantor& grantor) { return grantor.node == node && grantor.incarnation == incarnation; });
    }

}

TimePoint HeldLease::promisedUntil() const
{
    const TimePoint stored = majorityPromisedUntil(this->grantors, this->promises);
    if (!this->unconfirmedGrantors)
        return stored;
    return std::min(stored, majorityPromisedUntil(*this->unconfirmedGrantors, this->promises));
}

void HeldLease::onWritten(
    ObjectVersion newVersion, TimePoint writeStart, Milliseconds duration, std::vector<PromiseGrantor> named)
{
    this->version = newVersion;
    this->validUntil = std::max(this->validUntil, writeStart + duration);
    this->grantors = std::move(named);
    this->unconfirmedGrantors.reset();
}

void HeldLease::onPromise(const NodeId& grantor, Incarnation incarnation, TimePoint until)
{
    const bool stored = containsGrantor(this->grantors, grantor, incarnation);
    const bool unconfirmed
        = this->unconfirmedGrantors && containsGrantor(*this->unconfirmedGrantors, grantor, incarnation);
    if (!stored && !unconfirmed)
        return;
    TimePoint& end = this->promises[grantor];
    end = std::max(end, until);
}

// Observer ---------------------------------------------------------------------------------------------------------

TimePoint ObservedLease::expiresAt(Milliseconds margin) const
{
    if (this->lease.released || this->lease.revoked)
        return this->firstSeen;
    return this->firstSeen + this->lease.duration + margin;
}

bool ObservedLease::hasExpired(TimePoint now, Milliseconds margin) const { return now >= this->expiresAt(margin); }

bool ObservedLease::onSeen(ObjectVersion seen, const LeaseObject& value, TimePoint now)
{
    if (seen <= this->version)
        return false;
    this->version = seen;
    this->lease = value;
    this->firstSeen = now;
    return true;
}

// Grantor ----------------------------------------------------------------------------------------------------------

bool PromiseTable::promise(const NodeId& holder, ObjectVersion leaseVersion, TimePoint now)
{
    const auto released = this->releasedVersions.find(holder);
    if (released != this->releasedVersions.end() && leaseVersion <= released->second)
        return false;
    this->promisedUntil[holder] = now + this->lifetime;
    return true;
}

Milliseconds PromiseTable::release(const NodeId& holder, ObjectVersion leaseVersion, TimePoint now)
{
    TimePoint promiseEnd = this->noReleaseUntil;
    const auto promised = this->promisedUntil.find(holder);
    if (promised != this->promisedUntil.end())
        promiseEnd = std::max(promiseEnd, promised->second);
    if (now < promiseEnd)
        return std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(promiseEnd - now));
    ObjectVersion& released = this->releasedVersions[holder];
    released = std::max(released, leaseVersion);
    return Milliseconds(0);
}

}
