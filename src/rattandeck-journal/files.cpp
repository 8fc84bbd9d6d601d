#include "files.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <limits>
#include <unistd.h>

// Quota --------------------------------------------------------------------------------------------------------------

FolderQuota::FolderQuota(std::string path)
    : folder(std::move(path))
{
}

std::uint64_t FolderQuota::room() const
{
    const std::uint64_t bound = this->maxBytes;
    if (bound == 0)
        return std::numeric_limits<std::uint64_t>::max();
    std::uint64_t used = 0;
    // No exception: the writer thread has no handler, and files may be removed meanwhile.
    std::error_code error;
    std::filesystem::directory_iterator entry(this->folder, error);
    while (!error && entry != std::filesystem::directory_iterator()) {
        std::error_code sizeError;
        const std::uintmax_t size = entry->file_size(sizeError);
        used += sizeError ? 0 : size;
        entry.increment(error);
    }
    return bound > used ? bound - used : 0;
}

// Writing ------------------------------------------------------------------------------------------------------------

int openForWriting(const std::string& path, int flags, const FolderQuota& quota)
{
    if (quota.room() == 0) {
        errno = ENOSPC;
        return -1;
    }
    return open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | flags, 0644);
}

bool writeAll(int descriptor, std::string_view bytes, const FolderQuota& quota)
{
    const std::uint64_t room = bytes.empty() ? 0 : quota.room();
    const bool isFull = bytes.size() > room;
    bytes = bytes.substr(0, std::min<std::uint64_t>(bytes.size(), room));
    while (!bytes.empty()) {
        const ssize_t size = write(descriptor, bytes.data(), bytes.size());
        if (size < 0 && errno == EINTR)
            continue;
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    if (isFull)
        errno = ENOSPC;
    return !isFull;
}

static bool syncPath(const std::string& path, int flags)
{
    const int descriptor = open(path.c_str(), flags | O_CLOEXEC);
    if (descriptor < 0)
        return false;
    const bool isSynced = fsync(descriptor) == 0;
    close(descriptor);
    return isSynced;
}

bool syncFile(const std::string& path) { return syncPath(path, O_WRONLY); }

bool syncFolder(const std::string& folder) { return syncPath(folder, O_RDONLY | O_DIRECTORY); }
