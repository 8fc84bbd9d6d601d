#pragma once

#include <istream>
#include <string>
#include <vector>

/// Log lines about one request or program, collected across processes.
struct Trace {
    struct Line {
        std::int64_t timeMs = 0;
        std::string process;
        std::string event;
        /// The remaining fields of the log line, as JSON.
        std::string fields;
        /// The line is about conditions at the time of the request, such as a lost link, and not about the request
        /// itself.
        bool isContext = false;
    };
    /// Ordered by time.
    std::vector<Line> lines;
    /// One message for each request that was sent but has no line about its end.
    std::vector<std::string> missing;
};

/// Collects the lines about `id` (a request or a program) from logs of JSON lines. Text before a line's first brace is
/// skipped. Lines about instances, journals and the store that the processes of the request logged around that time are
/// included as context.
Trace collectTrace(const std::vector<std::istream*>& logs, const std::string& id);

/// Prints the trace of `id` from log files. Returns the program's exit code, which is a failure if no line matches.
int printTrace(const std::string& id, const std::vector<std::string>& files);
