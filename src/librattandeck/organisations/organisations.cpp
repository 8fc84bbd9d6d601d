#include "Rattandeck/organisations.h"

#include <openssl/sha.h>

#include <array>
#include <unordered_map>

namespace Rattandeck {

KeyDigest digestOfKey(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes {};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), bytes.data());
    return KeyDigest(std::string(bytes.begin(), bytes.end()));
}

std::vector<SharedKey> findSharedKeys(const std::vector<Organisation>& organisations)
{
    std::vector<SharedKey> shared;
    std::unordered_map<KeyDigest, const Organisation*> holders;
    for (const Organisation& organisation : organisations) {
        for (const KeyDigest& key : organisation.keys) {
            const Organisation* holder = holders.emplace(key, &organisation).first->second;
            if (holder != &organisation)
                shared.push_back({ holder->id, organisation.id });
        }
    }
    return shared;
}

struct OrganisationDirectory::Impl {
    std::vector<Organisation> organisations;
    std::unordered_map<KeyDigest, const Organisation*> byKey;
    std::unordered_map<OrganisationId, const Organisation*> byId;
};

OrganisationDirectory::OrganisationDirectory(std::vector<Organisation> organisations)
    : impl(std::make_unique<Impl>())
{
    this->impl->organisations = std::move(organisations);
    for (const Organisation& organisation : this->impl->organisations) {
        this->impl->byId.emplace(organisation.id, &organisation);
        for (const KeyDigest& key : organisation.keys)
            this->impl->byKey.emplace(key, &organisation);
    }
}

OrganisationDirectory::~OrganisationDirectory() = default;

const std::vector<Organisation>& OrganisationDirectory::organisations() const { return this->impl->organisations; }

const Organisation* OrganisationDirectory::findByKey(const KeyDigest& key) const
{
    const auto found = this->impl->byKey.find(key);
    return found == this->impl->byKey.end() ? nullptr : found->second;
}

const Organisation* OrganisationDirectory::find(const OrganisationId& id) const
{
    const auto found = this->impl->byId.find(id);
    return found == this->impl->byId.end() ? nullptr : found->second;
}

}
