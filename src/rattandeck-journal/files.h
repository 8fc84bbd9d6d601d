#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

/// Helpers for writing files durably. Each returns whether it succeeded; on failure, `errno` holds the reason.

/// Bound on the size of all files in a folder, beyond which writes are refused as by a full disk.
///
/// Thread safety: synchronised.
class FolderQuota {
public:
    explicit FolderQuota(std::string folder);

    /// 0 means that there is no bound.
    void setMaxBytes(std::uint64_t maxBytes) { this->maxBytes = maxBytes; }
    /// Bytes that may still be written.
    std::uint64_t room() const;

private:
    std::string folder;
    std::atomic<std::uint64_t> maxBytes { 0 };
};

/// Opens a file for writing and creates it if needed. Returns its descriptor; -1 on failure.
int openForWriting(const std::string& path, int flags, const FolderQuota& quota);
/// Writes all bytes to an open file. On failure, a part may have been written.
bool writeAll(int descriptor, std::string_view bytes, const FolderQuota& quota);
/// Makes the contents of a file durable, whichever process wrote them.
bool syncFile(const std::string& path);
/// Makes the creation, renaming and removal of files in a folder durable.
bool syncFolder(const std::string& folder);
