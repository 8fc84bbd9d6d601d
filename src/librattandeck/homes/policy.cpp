#include "Rattandeck/policy.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>

namespace Rattandeck {

using Json = nlohmann::json;

// Parsing of objects -------------------------------------------------------------------------------------------------

namespace {

    constexpr double maxWeight = 1000;

    struct EndpointObject {
        Labels labels;
    };

    struct ProgramObject {
        Selector match;
        Labels labels;
    };

    struct PolicyObject {
        Selector programs;
        std::optional<Selector> endpoints;
        bool admit = true;
        std::optional<double> waitWeight;
        std::optional<double> missingPrefixWeight;
        std::optional<double> transferWeight;
    };

    // Reads the fields of one object. Keeps the first error; later reads have no effect.
    class ObjectReader {
    public:
        explicit ObjectReader(const std::string& value)
            : object(Json::parse(value, nullptr, false))
        {
            if (!this->object.is_object())
                this->failure = PolicyError { PolicyErrorKind::NotJson, {}, {} };
        }

        void readLabels(const char* field, Labels& labels)
        {
            const Json* value = this->take(field);
            if (!value)
                return;
            if (!value->is_object())
                return this->fail(PolicyErrorKind::WrongType, field);
            for (const auto& [name, text] : value->items()) {
                if (!text.is_string())
                    return this->fail(PolicyErrorKind::WrongType, std::string(field) + "." + name);
                labels[name] = text.get<std::string>();
            }
        }

        void readSelector(const char* field, std::optional<Selector>& selector)
        {
            const Json* value = this->take(field);
            if (!value)
                return;
            if (!value->is_string())
                return this->fail(PolicyErrorKind::WrongType, field);
            auto parsed = parseSelector(value->get<std::string>());
            if (!parsed) {
                this->fail(PolicyErrorKind::BadSelector, field);
                this->failure->selector = parsed.error();
                return;
            }
            selector = std::move(*parsed);
        }

        void readBoolean(const char* field, bool& flag)
        {
            const Json* value = this->take(field);
            if (!value)
                return;
            if (!value->is_boolean())
                return this->fail(PolicyErrorKind::WrongType, field);
            flag = value->get<bool>();
        }

        void readWeight(const char* field, std::optional<double>& weight)
        {
            const Json* value = this->take(field);
            if (!value)
                return;
            if (!value->is_number())
                return this->fail(PolicyErrorKind::WrongType, field);
            const double number = value->get<double>();
            if (!(number >= 0 && number <= maxWeight))
                return this->fail(PolicyErrorKind::OutOfRange, field);
            weight = number;
        }

        // Must be called last: reports any field that has not been read as unknown.
        std::optional<PolicyError> finish()
        {
            if (!this->failure && !this->object.empty())
                this->fail(PolicyErrorKind::UnknownField, this->object.begin().key());
            return this->failure;
        }

    private:
        void fail(PolicyErrorKind kind, const std::string& field)
        {
            if (!this->failure)
                this->failure = PolicyError { kind, field, {} };
        }

        const Json* take(const char* field)
        {
            if (this->failure || !this->object.contains(field))
                return nullptr;
            this->taken = std::move(this->object[field]);
            this->object.erase(field);
            return &this->taken;
        }

        Json object;
        Json taken;
        std::optional<PolicyError> failure;
    };

    std::optional<PolicyError> read(const std::string& value, EndpointObject& endpoint)
    {
        ObjectReader reader(value);
        reader.readLabels("labels", endpoint.labels);
        return reader.finish();
    }

    std::optional<PolicyError> read(const std::string& value, ProgramObject& program)
    {
        ObjectReader reader(value);
        std::optional<Selector> match;
        reader.readSelector("match", match);
        reader.readLabels("labels", program.labels);
        program.match = match.value_or(Selector {});
        return reader.finish();
    }

    std::optional<PolicyError> read(const std::string& value, PolicyObject& policy)
    {
        ObjectReader reader(value);
        std::optional<Selector> programs;
        reader.readSelector("programs", programs);
        reader.readSelector("endpoints", policy.endpoints);
        reader.readBoolean("admit", policy.admit);
        reader.readWeight("wait_weight", policy.waitWeight);
        reader.readWeight("missing_prefix_weight", policy.missingPrefixWeight);
        reader.readWeight("transfer_weight", policy.transferWeight);
        policy.programs = programs.value_or(Selector {});
        return reader.finish();
    }

}

std::string describe(const PolicyError& error)
{
    switch (error.kind) {
    case PolicyErrorKind::NotJson:
        return "the value is not a JSON object";
    case PolicyErrorKind::UnknownKind:
        return "unknown kind of object '" + error.field + "'";
    case PolicyErrorKind::UnknownField:
        return "unknown field '" + error.field + "'";
    case PolicyErrorKind::WrongType:
        return "field '" + error.field + "' has the wrong type";
    case PolicyErrorKind::OutOfRange:
        return "field '" + error.field + "' is out of range";
    case PolicyErrorKind::BadSelector:
        return "field '" + error.field + "': " + (error.selector ? describe(*error.selector) : "malformed selector");
    }
    return "malformed object";
}

std::optional<PolicyError> checkConfigObject(const std::string& kind, const std::string& value)
{
    if (kind == "endpoint") {
        EndpointObject endpoint;
        return read(value, endpoint);
    }
    if (kind == "program") {
        ProgramObject program;
        return read(value, program);
    }
    if (kind == "policy") {
        PolicyObject policy;
        return read(value, policy);
    }
    return PolicyError { PolicyErrorKind::UnknownKind, kind, {} };
}

// PolicySet ----------------------------------------------------------------------------------------------------------

struct PolicySet::Impl {
    std::map<std::string, EndpointObject> endpoints;
    std::map<std::string, ProgramObject> programs;
    std::map<std::string, PolicyObject> policies;
    std::uint64_t generation = 0;

    template <typename Object> void replace(std::map<std::string, Object>& objects, const ConfigObject& changed)
    {
        Object object;
        if (changed.deleted)
            objects.erase(changed.name);
        else if (!read(changed.value, object))
            objects[changed.name] = std::move(object);
    }
};

PolicySet::PolicySet()
    : impl(std::make_unique<Impl>())
{
}

PolicySet::~PolicySet() = default;
PolicySet::PolicySet(PolicySet&&) noexcept = default;
PolicySet& PolicySet::operator=(PolicySet&&) noexcept = default;

void PolicySet::apply(const ConfigObject& object)
{
    if (object.kind == "endpoint")
        this->impl->replace(this->impl->endpoints, object);
    else if (object.kind == "program")
        this->impl->replace(this->impl->programs, object);
    else if (object.kind == "policy")
        this->impl->replace(this->impl->policies, object);
    else
        return;
    ++this->impl->generation;
}

std::uint64_t PolicySet::generation() const { return this->impl->generation; }

Labels PolicySet::endpointLabels(const NodeId& node, const FailureDomain& domain, const ServiceName& service) const
{
    Labels labels;
    const auto found = this->impl->endpoints.find(node.value);
    if (found != this->impl->endpoints.end())
        labels = found->second.labels;
    labels["node"] = node.value;
    labels["domain"] = domain.value;
    labels["service"] = service.value;
    return labels;
}

Labels PolicySet::programLabels(const OrganisationId& organisation, const ServiceName& service) const
{
    const Labels own { { "organisation", organisation.value }, { "service", service.value } };
    Labels labels = own;
    for (const auto& [name, program] : this->impl->programs) {
        if (matches(program.match, own)) {
            for (const auto& [label, value] : program.labels)
                labels[label] = value;
        }
    }
    labels.insert_or_assign("organisation", organisation.value);
    labels.insert_or_assign("service", service.value);
    return labels;
}

bool PolicySet::admits(const Labels& program, const Labels& endpoint) const
{
    for (const auto& [name, policy] : this->impl->policies) {
        if (!policy.endpoints || !matches(policy.programs, program))
            continue;
        if (matches(*policy.endpoints, endpoint) != policy.admit)
            return false;
    }
    return true;
}

PlacementSettings PolicySet::placementFor(const Labels& program, PlacementSettings defaults) const
{
    for (const auto& [name, policy] : this->impl->policies) {
        if (!matches(policy.programs, program))
            continue;
        defaults.waitWeight = policy.waitWeight.value_or(defaults.waitWeight);
        defaults.missingPrefixWeight = policy.missingPrefixWeight.value_or(defaults.missingPrefixWeight);
        defaults.transferWeight = policy.transferWeight.value_or(defaults.transferWeight);
    }
    return defaults;
}

}
