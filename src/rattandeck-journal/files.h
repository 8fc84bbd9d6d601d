#pragma once

#include <string>
#include <string_view>

/// Helpers for writing files durably. Each returns whether it succeeded; on failure, `errno` holds the reason.

/// Writes all bytes to an open file.
bool writeAll(int descriptor, std::string_view bytes);
/// Makes the contents of a file durable, whichever process wrote them.
bool syncFile(const std::string& path);
/// Makes the creation, renaming and removal of files in a folder durable.
bool syncFolder(const std::string& folder);
