#pragma once

#include <string>
#include <string_view>

/// Steps of writing files that must outlive a loss of power. Each returns whether it succeeded; `errno` tells why not.

/// Writes all bytes to an open file.
bool writeAll(int descriptor, std::string_view bytes);
/// Makes what was written to a file durable, by whichever process.
bool syncFile(const std::string& path);
/// Makes names that were created, renamed or removed in a folder durable.
bool syncFolder(const std::string& folder);
