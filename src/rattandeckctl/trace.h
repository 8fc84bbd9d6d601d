#pragma once

#include <istream>
#include <string>
#include <vector>

/// What logs tell of one request or program, across processes.
struct Trace {
    struct Line {
        std::int64_t timeMs = 0;
        std::string process;
        std::string event;
        /// The line's other fields, as JSON.
        std::string fields;
        /// About what the request met, not about the request itself.
        bool isContext = false;
    };
    /// Ordered by time.
    std::vector<Line> lines;
    /// What a whole trace has and this one lacks.
    std::vector<std::string> missing;
};

/// Collects the lines of `id` (a request or a program) from logs of JSON lines; text in front of a line's first brace
/// is skipped. Lines about the instances, journals and the store that the request's processes logged around its time
/// come with it as context.
Trace collectTrace(const std::vector<std::istream*>& logs, const std::string& id);

/// Prints the trace of `id` from log files. Returns the program's exit code: a failure when nothing is known of it.
int printTrace(const std::string& id, const std::vector<std::string>& files);
