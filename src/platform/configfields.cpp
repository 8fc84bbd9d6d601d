#include "configreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>

using namespace Rattandeck;
using Json = nlohmann::json;

namespace Platform {

// Known fields -------------------------------------------------------------------------------------------------------

namespace {

    enum class Shape {
        /// Read by other programs only.
        Unread,
        Text,
        /// A text that is not empty.
        Name,
        /// One of `callKinds`.
        CallKind,
        Number,
        /// A number whose fraction is left out when it is read.
        Whole,
        Flag,
        List,
        Object,
    };

    /// What a field with an invalid value costs.
    enum class Cost { Default, Entry };

    /// As in `readConfig`: larger numbers are not exact.
    constexpr double maxNumber = 9007199254740992;
    constexpr double maxUnsigned = UINT32_MAX;

    struct Field {
        const char* name;
        Shape shape = Shape::Unread;
        bool isRequired = false;
        Cost cost = Cost::Default;
        double minimum = 0;
        double maximum = maxNumber;
    };

    constexpr std::array callKinds { "safe", "unsafe", "streaming" };

    constexpr std::array documentFields {
        Field { "version", Shape::Whole, true, Cost::Entry, 1 },
        Field { "routes", Shape::List, true, Cost::Entry },
        Field { "services", Shape::List },
        Field { "limits", Shape::Object },
        Field { "tenants", Shape::List, false, Cost::Entry },
    };

    constexpr std::array routeFields {
        Field { "name", Shape::Text },
        Field { "host", Shape::Text, true, Cost::Entry },
        Field { "path_prefix", Shape::Text, true, Cost::Entry },
        Field { "kind", Shape::CallKind, true, Cost::Entry },
        Field { "timeout_ms", Shape::Number, false, Cost::Default, -maxNumber },
        Field { "goal_ms", Shape::Number, false, Cost::Default, -maxNumber },
        Field { "priority", Shape::Whole, false, Cost::Default, 0, maxUnsigned },
        Field { "service", Shape::Text },
        Field { "split", Shape::List },
        Field { "attempts", Shape::Whole, false, Cost::Default, 1, maxUnsigned },
        Field { "retain", Shape::Flag },
        Field { "retain_s", Shape::Number, false, Cost::Default, -maxNumber },
        Field { "public", Shape::Flag },
        Field { "sticky", Shape::Flag },
        Field { "can_resume", Shape::Flag },
        Field { "gap_target_ms" },
    };

    constexpr std::array splitFields {
        Field { "service", Shape::Text, true },
        Field { "weight", Shape::Whole, true, Cost::Default, 0, maxUnsigned },
    };

    constexpr std::array serviceFields {
        Field { "name", Shape::Text, true, Cost::Entry },
        Field { "health_path" },
        Field { "max_conns", Shape::Whole, false, Cost::Default, 1, maxUnsigned },
        Field { "protocol" },
        Field { "tls" },
        Field { "engine", Shape::Object },
    };

    constexpr std::array engineFields {
        Field { "slots", Shape::Whole, false, Cost::Default, 1, maxUnsigned },
        Field { "kv_capacity_tokens", Shape::Whole },
        Field { "tokens_per_event", Shape::Whole, false, Cost::Default, 1 },
    };

    constexpr std::array limitFields {
        Field { "max_header_bytes", Shape::Whole, false, Cost::Default, 1 },
        Field { "max_body_bytes", Shape::Whole, false, Cost::Default, 1 },
        Field { "header_timeout_ms", Shape::Number, false, Cost::Default, 1 },
        Field { "idle_timeout_ms", Shape::Number, false, Cost::Default, 1 },
    };

    constexpr std::array organisationFields {
        Field { "name", Shape::Name, true, Cost::Entry },
        Field { "api_keys", Shape::List, true, Cost::Entry },
        Field { "priority", Shape::Whole, false, Cost::Default, 0, maxUnsigned },
        Field { "rate_per_s", Shape::Number, false, Cost::Entry },
        Field { "burst", Shape::Number, false, Cost::Entry },
    };

}

// One field ----------------------------------------------------------------------------------------------------------

namespace {

    bool hasShape(const Json& value, Shape shape)
    {
        switch (shape) {
        case Shape::Unread:
            return true;
        case Shape::Text:
        case Shape::Name:
        case Shape::CallKind:
            return value.is_string();
        case Shape::Number:
        case Shape::Whole:
            return value.is_number();
        case Shape::Flag:
            return value.is_boolean();
        case Shape::List:
            return value.is_array();
        case Shape::Object:
            return value.is_object();
        }
        return false;
    }

    bool isCallKind(const std::string& text)
    {
        return std::ranges::any_of(callKinds, [&](const char* kind) { return text == kind; });
    }

    /// Whether the product reads the value, if need be without its fraction. Precondition: it has the field's shape.
    bool isRead(const Json& value, const Field& field)
    {
        if (field.shape == Shape::Name)
            return !value.get_ref<const std::string&>().empty();
        if (field.shape == Shape::CallKind)
            return isCallKind(value.get_ref<const std::string&>());
        if (field.shape != Shape::Number && field.shape != Shape::Whole)
            return true;
        const auto number = value.get<double>();
        const double read = field.shape == Shape::Whole ? std::trunc(number) : number;
        return read >= field.minimum && read <= field.maximum;
    }

    bool hasUnreadFraction(const Json& value, const Field& field)
    {
        return field.shape == Shape::Whole && std::trunc(value.get<double>()) != value.get<double>();
    }

    /// Collects the findings about the fields of one place.
    class FieldCheck {
    public:
        FieldCheck(std::vector<ConfigFinding>& findings, ConfigSection section, std::optional<std::size_t> entry)
            : findings(findings)
            , section(section)
            , entry(entry)
        {
        }

        void add(FindingKind kind, FindingSeverity severity, const std::string& field)
        {
            ConfigFinding finding;
            finding.kind = kind;
            finding.severity = severity;
            finding.place = { this->section, this->entry, field };
            this->findings.push_back(std::move(finding));
        }

        /// Adds a name to the latest finding.
        void name(const std::string& concerned) { this->findings.back().names.push_back(concerned); }

        /// Checks the fields of an object that is found at `path` in the entry.
        void check(const Json& object, std::span<const Field> fields, const std::string& path = {})
        {
            for (const Field& field : fields)
                this->checkField(object, field, path);
            for (const auto& member : object.items()) {
                if (std::ranges::none_of(fields, [&](const Field& field) { return member.key() == field.name; }))
                    this->addUnknown(object, fields, path, member.key());
            }
        }

    private:
        std::vector<ConfigFinding>& findings;
        ConfigSection section;
        std::optional<std::size_t> entry;

        void checkField(const Json& object, const Field& field, const std::string& path)
        {
            const FindingSeverity severity
                = field.cost == Cost::Entry ? FindingSeverity::Error : FindingSeverity::Warning;
            const auto found = object.find(field.name);
            if (found == object.end()) {
                if (field.isRequired)
                    this->add(FindingKind::MissingField, severity, path + field.name);
                return;
            }
            if (!hasShape(*found, field.shape)) {
                this->add(FindingKind::WrongType, severity, path + field.name);
                return;
            }
            if (isRead(*found, field)) {
                if (hasUnreadFraction(*found, field))
                    this->add(FindingKind::IgnoredValue, FindingSeverity::Warning, path + field.name);
                return;
            }
            const bool isError = severity == FindingSeverity::Error;
            this->add(isError ? FindingKind::InvalidValue : FindingKind::IgnoredValue, severity, path + field.name);
            if (field.shape == Shape::CallKind)
                this->suggest(found->get<std::string>(), { callKinds.begin(), callKinds.end() });
        }

        void addUnknown(
            const Json& object, std::span<const Field> fields, const std::string& path, const std::string& name)
        {
            this->add(FindingKind::UnknownField, FindingSeverity::Notice, path);
            std::vector<std::string> absent;
            for (const Field& field : fields) {
                if (!object.contains(field.name))
                    absent.emplace_back(field.name);
            }
            this->suggest(name, absent);
        }

        /// Adds the name and the nearest known one to the latest finding.
        void suggest(const std::string& name, const std::vector<std::string>& known)
        {
            this->findings.back().names = { name };
            this->findings.back().suggestion = nearestName(name, known);
        }
    };

}

// Sections -----------------------------------------------------------------------------------------------------------

namespace {

    void checkSplit(const Json& route, FieldCheck& fields)
    {
        const auto split = route.find("split");
        if (split == route.end() || !split->is_array())
            return;
        for (std::size_t part = 0; part < split->size(); ++part) {
            const std::string path = "split[" + std::to_string(part) + "]";
            if ((*split)[part].is_object())
                fields.check((*split)[part], splitFields, path + ".");
            else
                fields.add(FindingKind::WrongType, FindingSeverity::Warning, path);
        }
    }

    void checkEngine(const Json& service, FieldCheck& fields)
    {
        const auto engine = service.find("engine");
        if (engine != service.end() && engine->is_object())
            fields.check(*engine, engineFields, "engine.");
    }

    void checkKeys(const Json& organisation, FieldCheck& fields)
    {
        const auto keys = organisation.find("api_keys");
        if (keys == organisation.end() || !keys->is_array())
            return;
        for (std::size_t key = 0; key < keys->size(); ++key) {
            const Json& value = (*keys)[key];
            if (!value.is_string() || value.get_ref<const std::string&>().empty())
                fields.add(
                    FindingKind::IgnoredValue, FindingSeverity::Warning, "api_keys[" + std::to_string(key) + "]");
        }
    }

    void checkOrganisation(const Json& organisation, FieldCheck& fields)
    {
        checkKeys(organisation, fields);
        const auto rate = organisation.find("rate_per_s");
        const auto burst = organisation.find("burst");
        const bool hasBurst = burst != organisation.end() && burst->is_number() && burst->get<double>() > 0;
        if (!hasBurst || (rate != organisation.end() && *rate != 0))
            return;
        fields.add(FindingKind::BurstWithoutRate, FindingSeverity::Warning, {});
        const auto name = organisation.find("name");
        if (name != organisation.end() && name->is_string())
            fields.name(name->get<std::string>());
    }

    /// Checks each entry of the list `name`, and what lies deeper with `checkInner`.
    void checkEntries(const Json& spec, const char* name, ConfigSection section, std::span<const Field> known,
        void (*checkInner)(const Json&, FieldCheck&), std::vector<ConfigFinding>& findings)
    {
        const auto list = spec.find(name);
        if (list == spec.end() || !list->is_array())
            return;
        for (std::size_t entry = 0; entry < list->size(); ++entry) {
            FieldCheck fields(findings, section, entry);
            const Json& value = (*list)[entry];
            if (!value.is_object()) {
                fields.add(FindingKind::WrongType, FindingSeverity::Error, {});
                continue;
            }
            fields.check(value, known);
            checkInner(value, fields);
        }
    }

}

std::vector<ConfigFinding> checkConfigFields(const Json& spec)
{
    std::vector<ConfigFinding> findings;
    FieldCheck document(findings, ConfigSection::Document, std::nullopt);
    if (!spec.is_object()) {
        document.add(FindingKind::WrongType, FindingSeverity::Error, {});
        return findings;
    }
    document.check(spec, documentFields);
    checkEntries(spec, "routes", ConfigSection::Routes, routeFields, checkSplit, findings);
    checkEntries(spec, "services", ConfigSection::Services, serviceFields, checkEngine, findings);
    const auto limits = spec.find("limits");
    if (limits != spec.end() && limits->is_object())
        FieldCheck(findings, ConfigSection::Limits, std::nullopt).check(*limits, limitFields);
    checkEntries(spec, "tenants", ConfigSection::Organisations, organisationFields, checkOrganisation, findings);
    return findings;
}

}
