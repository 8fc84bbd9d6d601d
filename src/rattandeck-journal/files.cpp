#include "files.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

bool writeAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = write(descriptor, bytes.data(), bytes.size());
        if (size < 0 && errno == EINTR)
            continue;
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
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
