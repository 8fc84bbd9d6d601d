#pragma once

/// Names of the platform's protocol. Other folders use only the kinds and names of objects.
namespace Platform::Names {

// Headers of calls and answers, in lower case
constexpr const char* requestId = "request-id";
constexpr const char* deadline = "deadline-ms";
constexpr const char* expectedInstance = "expect-instance";
constexpr const char* expectedVersion = "expect-version";
constexpr const char* priority = "request-priority";
constexpr const char* notRun = "not-run";
/// Calls that run, calls that wait, slots, and, where instances share their machines, how long work takes at this
/// moment in percent of the usual time. Further figures may follow.
constexpr const char* load = "server-load";
/// Requests a second that an instance takes from all machines together, as a decimal number.
constexpr const char* limit = "server-limit";
/// Set to "1" in all answers of an instance that leaves.
constexpr const char* leaving = "server-leaving";
/// The instance's signature on its answer.
constexpr const char* signature = "response-seal";
constexpr const char* instance = "instance-id";
constexpr const char* prompt = "prompt-prefix";
/// Number of prompt tokens and maximum number of output tokens.
constexpr const char* tokenCounts = "token-counts";
/// The caller's estimate of the number of output tokens.
constexpr const char* lengthHint = "length-hint";
constexpr const char* lastEvent = "last-event-id";
/// The request that brought the first event of the stream that a request resumes.
constexpr const char* resumedRequest = "resumes";
constexpr const char* program = "program-id";
constexpr const char* session = "session-id";
constexpr const char* tokenBudget = "token-budget";
constexpr const char* previousTurn = "previous-turn";
constexpr const char* retryAfter = "retry-after";
/// The caller's key, behind `keyScheme` and a space.
constexpr const char* authorization = "authorization";
constexpr const char* keyScheme = "Token";
/// Tells a caller that was refused for its key which scheme is expected.
constexpr const char* authenticate = "www-authenticate";
/// Tells an instance the organisation of the caller.
constexpr const char* organisation = "tenant";
/// Cookie that names the subject of a call.
constexpr const char* subjectCookie = "Affinity-Key";
// Control of engines' memory. The gateway removes these headers from callers' requests.
constexpr const char* pin = "pin-ms";
constexpr const char* hold = "hold";
constexpr const char* memoryBackup = "kv-backup";
constexpr const char* memoryFrom = "kv-from";
constexpr const char* memoryFetch = "kv-fetch";

// What an instance tells of itself
constexpr const char* reportPath = "/api/report";
/// Time at which the process started, in milliseconds since the Unix epoch.
constexpr const char* startedAt = "born";

// Kinds and names of objects
constexpr const char* objectsPath = "/api/objects/";
constexpr const char* endpointsKind = "servers";
constexpr const char* configKind = "config";
constexpr const char* configName = "main";
constexpr const char* retirementsKind = "retirements";
/// Kind defined by this project: the current journal set.
constexpr const char* journalsKind = "rattandeck-journals";
constexpr const char* journalsName = "set";

}
