/// Preloaded into a journal by the cases, to stand for a slow disk: each sync takes as long as the file named in the
/// environment variable `SLOW_DISK` says, in milliseconds. A missing or empty file delays nothing.

#include <chrono>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <thread>

namespace {

using Sync = int (*)(int);

void waitAsTold()
{
    const char* path = std::getenv("SLOW_DISK");
    std::ifstream file(path ? path : "");
    int milliseconds = 0;
    if (file >> milliseconds && milliseconds > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

}

extern "C" int fdatasync(int descriptor)
{
    static const auto next = reinterpret_cast<Sync>(dlsym(RTLD_NEXT, "fdatasync"));
    waitAsTold();
    return next(descriptor);
}
