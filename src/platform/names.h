#pragma once

/// Names of the platform's protocol. Nothing outside this folder knows them.
namespace Platform::Names {

// Headers of calls and answers, in lower case
constexpr const char* requestId = "request-id";
constexpr const char* deadline = "deadline-ms";
constexpr const char* expectedInstance = "expect-instance";
constexpr const char* expectedVersion = "expect-version";
constexpr const char* priority = "request-priority";
constexpr const char* notRun = "not-run";
constexpr const char* load = "server-load";
/// The instance's signature on its answer.
constexpr const char* signature = "response-seal";
constexpr const char* instance = "instance-id";
constexpr const char* prompt = "prompt-prefix";
/// Prompt tokens and the most output tokens.
constexpr const char* tokenCounts = "token-counts";
constexpr const char* lastEvent = "last-event-id";
constexpr const char* program = "program-id";
constexpr const char* session = "session-id";
constexpr const char* tokenBudget = "token-budget";
constexpr const char* previousTurn = "previous-turn";
constexpr const char* retryAfter = "retry-after";
/// Cookie that names the subject of a call.
constexpr const char* subjectCookie = "Affinity-Key";
// Memory of engines, which callers may not order about
constexpr const char* pin = "pin-ms";
constexpr const char* hold = "hold";
constexpr const char* memoryBackup = "kv-backup";
constexpr const char* memoryFrom = "kv-from";
constexpr const char* memoryFetch = "kv-fetch";

// Kinds and names of objects
constexpr const char* objectsPath = "/api/objects/";
constexpr const char* endpointsKind = "servers";
constexpr const char* configKind = "config";
constexpr const char* configName = "main";
constexpr const char* retirementsKind = "retirements";
/// A kind of our own: the journals in force.
constexpr const char* journalsKind = "rattandeck-journals";
constexpr const char* journalsName = "set";

}
