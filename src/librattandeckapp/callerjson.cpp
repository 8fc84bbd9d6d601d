#include "RattandeckApp/callerjson.h"

#include "Rattandeck/describe.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <set>

namespace RattandeckApp {

using namespace Rattandeck;
using Json = nlohmann::ordered_json;

// Requests -----------------------------------------------------------------------------------------------------------

namespace {

    constexpr std::size_t maximumNameLength = 128;
    constexpr std::size_t maximumKeyLength = 256;
    constexpr std::int64_t maximumTokens = 100'000'000;
    constexpr std::int64_t maximumMilliseconds = 30LL * 24 * 3600 * 1000;

    // Reads the fields of one JSON object. Keeps the first error; later reads return defaults and don't replace it.
    class FieldReader {
    public:
        explicit FieldReader(const std::string& body)
            : object(Json::parse(body, nullptr, false))
        {
            if (!this->object.is_object())
                this->fail("", "the body must be a JSON object");
        }

        std::string text(const char* field, std::size_t longest, bool required)
        {
            const Json* value = this->take(field, required);
            if (!value)
                return {};
            if (!value->is_string() || value->get_ref<const std::string&>().size() > longest) {
                this->fail(field, "must be a string of at most " + std::to_string(longest) + " bytes");
                return {};
            }
            return value->get<std::string>();
        }

        std::int64_t number(const char* field, std::int64_t largest, bool required)
        {
            const Json* value = this->take(field, required);
            if (!value)
                return 0;
            const bool inRange
                = value->is_number_unsigned() && value->get<std::uint64_t>() <= static_cast<std::uint64_t>(largest);
            if (!inRange) {
                this->fail(field, "must be a whole number from 0 to " + std::to_string(largest));
                return 0;
            }
            return value->get<std::int64_t>();
        }

        bool boolean(const char* field, bool otherwise)
        {
            const Json* value = this->take(field, false);
            if (!value)
                return otherwise;
            if (!value->is_boolean())
                this->fail(field, "must be true or false");
            return value->is_boolean() && value->get<bool>();
        }

        void fail(const std::string& field, const std::string& reason)
        {
            if (!this->error)
                this->error = RequestError { field, reason };
        }

        // Must be called last: fields that have not been read by then are reported as unknown.
        tl::expected<CallerRequest, RequestError> finish(CallerRequest request)
        {
            if (!this->error) {
                for (const auto& [name, value] : this->object.items()) {
                    if (!this->taken.contains(name))
                        this->fail(name, "is not a field of this request");
                }
            }
            if (this->error)
                return tl::unexpected(*this->error);
            return request;
        }

    private:
        const Json* take(const char* field, bool required)
        {
            if (this->error)
                return nullptr;
            this->taken.insert(field);
            const auto found = this->object.find(field);
            if (found != this->object.end())
                return &*found;
            if (required)
                this->fail(field, "is missing");
            return nullptr;
        }

        Json object;
        std::set<std::string> taken;
        std::optional<RequestError> error;
    };

    std::string headerOr(const std::map<std::string, std::string>& headers, const std::string& name)
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    void readHeaders(FieldReader& reader, const std::map<std::string, std::string>& headers, CallerRequest& request)
    {
        const std::string organisation = headerOr(headers, "x-organisation");
        if (!organisation.empty())
            request.organisation = OrganisationId(organisation);
        request.key = IdempotencyKey(headerOr(headers, "idempotency-key"));
        if (request.key.value.size() > maximumKeyLength)
            reader.fail("Idempotency-Key", "must be at most " + std::to_string(maximumKeyLength) + " bytes");

        const std::string deadline = headerOr(headers, "x-deadline-ms");
        constexpr Milliseconds defaultDeadline { 60000 };
        request.timeLeft = defaultDeadline;
        if (deadline.empty())
            return;
        std::int64_t milliseconds = 0;
        const char* end = deadline.data() + deadline.size();
        const auto parsed = std::from_chars(deadline.data(), end, milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds <= 0 || milliseconds > maximumMilliseconds)
            reader.fail("X-Deadline-Ms", "must be a whole number of milliseconds above 0");
        request.timeLeft = Milliseconds(milliseconds);
    }

    ProgramId readParent(FieldReader& reader)
    {
        ProgramId parent;
        const std::string text = reader.text("parent", maximumNameLength, false);
        if (!text.empty() && (!parseProgramId(text, parent) || parent.serial == 0))
            reader.fail("parent", "is not a program id");
        return parent;
    }

}

tl::expected<CallerRequest, RequestError> readOpening(const std::string& body)
{
    FieldReader reader(body);
    CallerRequest request;
    request.kind = CallKind::OpenProgram;
    request.organisation = OrganisationId(reader.text("organisation", maximumNameLength, true));
    request.service = ServiceName(reader.text("service", maximumNameLength, true));
    request.latencyTarget = Milliseconds(reader.number("aim_ms", maximumMilliseconds, true));
    request.budget = TokenCount(reader.number("budget_tokens", maximumTokens, true));
    request.program = readParent(reader);
    constexpr Milliseconds openingDeadline { 10000 };
    request.timeLeft = openingDeadline;
    return reader.finish(std::move(request));
}

tl::expected<CallerRequest, RequestError> readCall(
    const ProgramId& program, const std::string& body, const std::map<std::string, std::string>& headers)
{
    FieldReader reader(body);
    CallerRequest request;
    request.kind = CallKind::Call;
    request.program = program;
    request.service = ServiceName(reader.text("service", maximumNameLength, false));
    request.input = reader.text("input", std::numeric_limits<std::size_t>::max(), true);
    request.maxOutputTokens = TokenCount(reader.number("max_tokens", maximumTokens, false));
    request.turn = TurnNumber(
        static_cast<std::uint32_t>(reader.number("turn", std::numeric_limits<std::uint32_t>::max(), false)));
    request.head = Digest(reader.text("head", maximumNameLength, false));
    request.idempotent = reader.boolean("idempotent", true);
    request.expectedPause = Milliseconds(reader.number("expected_pause_ms", maximumMilliseconds, false));
    readHeaders(reader, headers, request);
    return reader.finish(std::move(request));
}

tl::expected<CallerRequest, RequestError> readKeyedCall(
    const std::string& body, const std::map<std::string, std::string>& headers)
{
    FieldReader reader(body);
    CallerRequest request;
    request.kind = CallKind::Call;
    request.organisation = OrganisationId(reader.text("organisation", maximumNameLength, true));
    request.service = ServiceName(reader.text("service", maximumNameLength, true));
    request.input = reader.text("input", std::numeric_limits<std::size_t>::max(), true);
    request.idempotent = false;
    readHeaders(reader, headers, request);
    if (request.key.value.empty())
        reader.fail("Idempotency-Key", "is missing: a call without a program needs one");
    return reader.finish(std::move(request));
}

// Answers ------------------------------------------------------------------------------------------------------------

namespace {

    struct ProblemText {
        ProblemKind kind;
        const char* name;
        const char* title;
        int status;
    };

    constexpr std::array<ProblemText, 17> problemTexts { {
        { ProblemKind::BadRequest, "bad-request", "The request can't be understood", 400 },
        { ProblemKind::UnknownProgram, "unknown-program", "There is no such program", 404 },
        { ProblemKind::ProgramEnded, "program-ended", "The program has ended", 410 },
        { ProblemKind::OutOfOrder, "out-of-order", "The call is not the program's next one", 409 },
        { ProblemKind::BudgetExceeded, "budget-exceeded", "The call could exceed the program's budget", 402 },
        { ProblemKind::KeyReused, "key-reused", "The key belongs to another request", 422 },
        { ProblemKind::HistoryMismatch, "history-mismatch", "The head is not that of the program's history", 409 },
        { ProblemKind::HistoryLost, "history-lost", "Part of the program's history was lost", 410 },
        { ProblemKind::UnknownService, "unknown-service", "No endpoint serves this", 404 },
        { ProblemKind::NoCapacity, "no-capacity", "No endpoint has room", 503 },
        { ProblemKind::Overloaded, "overloaded", "The aim can't be met now", 429 },
        { ProblemKind::DeadlineExceeded, "deadline-exceeded", "The deadline passed", 504 },
        { ProblemKind::Quarantined, "quarantined", "Requests like this one have crashed endpoints", 422 },
        { ProblemKind::OutcomeUnknown, "outcome-unknown", "Nobody can tell whether the call ran", 502 },
        { ProblemKind::EndpointFailed, "endpoint-failed", "The endpoint failed", 502 },
        { ProblemKind::NotServing, "not-serving", "This instance can't serve the program now", 503 },
        { ProblemKind::ShuttingDown, "shutting-down", "This instance is leaving; ask another", 503 },
    } };

    const ProblemText& textOf(ProblemKind kind)
    {
        for (const ProblemText& text : problemTexts) {
            if (text.kind == kind)
                return text;
        }
        return problemTexts[0];
    }

    std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}

std::string toJson(const AnswerTokens& tokens)
{
    // Hot path of streaming, so the JSON is concatenated by hand; only the text needs the library's escaping.
    const Json text(tokens.text);
    return "{\"text\":" + dump(text) + ",\"tokens\":" + std::to_string(tokens.tokens.value) + "}";
}

std::string toJson(const AnswerDone& done)
{
    return dump({ { "program", toString(done.program) }, { "turn", done.turn.value }, { "head", done.head.value },
        { "output", done.output }, { "charged", done.charged.value }, { "budget_left", done.budgetLeft.value },
        { "cached_tokens", done.cachedTokens.value }, { "prefilled_tokens", done.prefilledTokens.value } });
}

std::string toJson(const Problem& problem)
{
    const ProblemText& text = textOf(problem.kind);
    Json json { { "type", std::string("urn:rattandeck:problem:") + text.name }, { "title", text.title },
        { "status", text.status }, { "ran", describe(problem.ran) } };
    if (!problem.detail.empty())
        json["detail"] = problem.detail;
    if (problem.retryAfter.count() > 0)
        json["retry_after_ms"] = problem.retryAfter.count();
    return dump(json);
}

std::string toJson(const RequestError& error)
{
    const std::string detail = error.field.empty() ? error.reason : "'" + error.field + "' " + error.reason;
    return toJson(Problem { ProblemKind::BadRequest, Ran::No, Milliseconds(0), detail });
}

int httpStatus(const Problem& problem) { return textOf(problem.kind).status; }

}
